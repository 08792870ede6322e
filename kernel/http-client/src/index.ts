export {createStrictClient} from './createStrictClient.js';
