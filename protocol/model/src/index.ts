export {decodeValue, encodeValue} from './codec.js';
export {
  applyDocumentCommandSchema,
  claimTeamCommandSchema,
  commandSchema,
  moveSchema,
  signedText,
} from './commands.js';
export type {Command, CommandOf, Move} from './commands.js';
export {
  directoryChangeSchema,
  directorySnapshotSchema,
  POSITION_END,
  rangeSchema,
} from './directoryState.js';
export type {DirectoryChange, DirectorySnapshot, Range} from './directoryState.js';
export {poisonReportSchema} from './poisonReport.js';
export type {PoisonReport} from './poisonReport.js';
export {hostPortSchema, registrationSchema, sessionSchema} from './registration.js';
export type {Registration, Session} from './registration.js';
export {nameSchema, serviceDocumentSchema, serviceNameSchema, teamOf} from './serviceDocument.js';
export type {KeyRule, ServiceDocument} from './serviceDocument.js';
