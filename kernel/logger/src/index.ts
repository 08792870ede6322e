export {createLogger, createComponentLogger, silentLogger} from './createLogger.js';
export type {CreateLoggerOptions, Logger} from './createLogger.js';
