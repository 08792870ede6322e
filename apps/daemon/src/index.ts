export {startDaemon} from './startDaemon.js';
export type {DaemonAddresses, RunningDaemon} from './startDaemon.js';
