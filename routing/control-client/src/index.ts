export {ControlClient} from './controlClient.js';
export type {ControlClientOptions, LoadReport} from './controlClient.js';
