export {decodeCommand, encodeCommand} from './siteCommands.js';
export type {KeyAssignment, SiteCommand} from './siteCommands.js';
export {KEY_COUNT, keyRangeSchema, replaceOverlappingRanges} from './keyRanges.js';
export type {KeyRange} from './keyRanges.js';
export {SiteState} from './siteState.js';
export type {ChangeOutcome} from './siteState.js';
export {evacuationChangeSchema} from './zoneEvacuations.js';
export type {EvacuationChange, EvacuationOutcome} from './zoneEvacuations.js';
