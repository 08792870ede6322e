export {ControlReporter} from './siteLink.js';
export type {ControlReporterOptions} from './siteLink.js';
