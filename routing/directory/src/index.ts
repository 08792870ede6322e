export {Directory} from './directory.js';
export type {DocumentEntry} from './directory.js';
