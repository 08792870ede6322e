export {ERROR_ANSWERS, isErrorCode} from './errorKinds.js';
export type {ErrorAnswer, ErrorCode, Ran} from './errorKinds.js';
export {
  fromProblemDocument,
  MedlarlaneError,
  toMedlarlaneError,
  toProblemDocument,
} from './medlarlaneError.js';
export type {MedlarlaneErrorOptions, ProblemDocument} from './medlarlaneError.js';
