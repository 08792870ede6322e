export {LoadMeter} from './loadMeter.js';
export type {LoadMeterOptions, LoadReport} from './loadMeter.js';
