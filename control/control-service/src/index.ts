export type {ControlObserver} from './controlObserver.js';
export {startControlService} from './controlService.js';
export type {ControlService, ControlServiceOptions} from './controlService.js';
export {ControlStateMachine} from './controlStateMachine.js';
