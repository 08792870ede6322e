import {ERROR_KINDS, isErrorCode} from './errorKinds.js';
import type {ErrorKind, ErrorCode, ExecutionStatus} from './errorKinds.js';

export interface MedlarlaneErrorOptions {
  /** Structured data for logs and problem documents. */
  readonly details?: Readonly<Record<string, unknown>>;
  readonly cause?: unknown;
  /** Overrides the value of the error kind when the failing step has more precise information. */
  readonly ran?: ExecutionStatus;
}

/** The error class of all packages. Programs compare `code`; the message is for people. */
export class MedlarlaneError extends Error {
  override readonly name = 'MedlarlaneError';
  readonly code: ErrorCode;
  readonly details: Readonly<Record<string, unknown>>;
  readonly ran: ExecutionStatus;

  constructor(code: ErrorCode, message?: string, opts: MedlarlaneErrorOptions = {}) {
    const {title, ran} = ERROR_KINDS[code];
    const {stackTraceLimit} = Error;
    // Rejections are frequent under overload, and capturing a stack costs more than the rejection
    // itself.
    if (ran === 'no') Error.stackTraceLimit = 0;
    super(message ?? title, {cause: opts.cause});
    Error.stackTraceLimit = stackTraceLimit;
    this.code = code;
    this.details = opts.details ?? {};
    this.ran = opts.ran ?? ran;
  }

  get errorKind(): ErrorKind {
    return ERROR_KINDS[this.code];
  }
}

/**
 * Converts a thrown value; one that is not a MedlarlaneError becomes the cause of an `INTERNAL`
 * error.
 */
export function toMedlarlaneError(thrown: unknown): MedlarlaneError {
  if (thrown instanceof MedlarlaneError) return thrown;
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return new MedlarlaneError('INTERNAL', message, {cause: thrown});
}

/** A problem document (RFC 9457) with the error code and whether the request ran. */
export interface ProblemDocument {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly code: ErrorCode;
  readonly ran: ExecutionStatus;
  readonly nextStep: string;
  readonly details?: Readonly<Record<string, unknown>>;
}

export function toProblemDocument(error: MedlarlaneError): ProblemDocument {
  const {status, title, nextStep} = error.errorKind;
  return {
    type: `urn:medlarlane:error:${error.code}`,
    title,
    status,
    detail: error.message,
    code: error.code,
    ran: error.ran,
    nextStep,
    ...(Object.keys(error.details).length > 0 ? {details: error.details} : {}),
  };
}

/**
 * Restores the error from a problem document of another process; returns `undefined` for any other
 * body and for an unknown code.
 */
export function fromProblemDocument(body: unknown): MedlarlaneError | undefined {
  if (typeof body !== 'object' || body === null) return undefined;
  const {code, detail, ran, details} = body as Partial<ProblemDocument>;
  if (typeof code !== 'string' || !isErrorCode(code)) return undefined;
  return new MedlarlaneError(code, detail, {
    ...(ran === 'no' || ran === 'unknown' ? {ran} : {}),
    ...(details ? {details} : {}),
  });
}
