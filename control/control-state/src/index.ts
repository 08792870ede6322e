export {ControlState} from './controlState.js';
export type {ControlStateOptions} from './controlState.js';
export type {VerifySignature} from './documentChecks.js';
export {commandResultSchema} from './stateSnapshot.js';
export type {CommandResult, DocumentRevision} from './stateSnapshot.js';
