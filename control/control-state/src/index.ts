export {ControlState} from './controlState.js';
export type {ServicePoisonReport} from './controlState.js';
export {commandResultSchema} from './stateSnapshot.js';
export type {CommandResult, DocumentRevision} from './stateSnapshot.js';
