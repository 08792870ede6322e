export {ERROR_KINDS, isErrorCode} from './errorKinds.js';
export type {ErrorKind, ErrorCode, ExecutionStatus} from './errorKinds.js';
export {
  fromProblemDocument,
  MedlarlaneError,
  toMedlarlaneError,
  toProblemDocument,
} from './medlarlaneError.js';
export type {MedlarlaneErrorOptions, ProblemDocument} from './medlarlaneError.js';
