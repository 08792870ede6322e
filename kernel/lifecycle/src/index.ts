export {BackgroundTasks} from './backgroundTasks.js';
export type {BackgroundTasksOptions} from './backgroundTasks.js';
export {ManualClock, systemClock, timeoutSignal} from './clock.js';
export type {Clock} from './clock.js';
export {DisposableStore} from './disposableStore.js';
export {createDeferred} from './deferred.js';
export type {Deferred} from './deferred.js';
export {linkAbort} from './linkAbort.js';
export type {LinkAbortOptions, LinkedAbort} from './linkAbort.js';
