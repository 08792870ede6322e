export {ControlReporter} from './controlReporter.js';
export type {ControlReporterOptions} from './controlReporter.js';
