import type {z} from 'zod';
import {MedlarlaneError} from '@medlarlane/errors';
import type {ErrorCode} from '@medlarlane/errors';
import {serviceDocumentSchema} from '@medlarlane/model';
import type {ServiceDocument} from '@medlarlane/model';
import {formatProblems, toFieldProblems} from './problems.js';
import {ADMIN_OPERATIONS} from './operations.js';
import type {AdminOperation, AdminRequest, AdminResponse} from './operations.js';

/**
 * Validates the body of a request.
 * @throws MedlarlaneError `REQUEST_INVALID` with `details.problems`.
 */
export function parseAdminRequest<O extends AdminOperation>(
  operation: O,
  body: unknown,
): AdminRequest<O> {
  const schema: z.ZodType = ADMIN_OPERATIONS[operation].request;
  return parseOrThrow(schema, body, 'REQUEST_INVALID', operation) as AdminRequest<O>;
}

/**
 * Validates the body of a response.
 * @throws MedlarlaneError `INTERNAL` with `details.problems`, for example when the daemon runs
 *     another version.
 */
export function parseAdminResponse<O extends AdminOperation>(
  operation: O,
  body: unknown,
): AdminResponse<O> {
  const schema: z.ZodType = ADMIN_OPERATIONS[operation].response;
  return parseOrThrow(schema, body, 'INTERNAL', `Response of ${operation}`) as AdminResponse<O>;
}

/**
 * Validates a service document and fills in its defaults.
 * @throws MedlarlaneError `DOCUMENT_INVALID` with `details.problems`, one entry for each problem.
 */
export function parseServiceDocument(value: unknown): ServiceDocument {
  return parseOrThrow(serviceDocumentSchema, value, 'DOCUMENT_INVALID', 'Document');
}

function parseOrThrow<T>(
  schema: z.ZodType<T>,
  value: unknown,
  code: ErrorCode,
  subject: string,
): T {
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  const problems = toFieldProblems(parsed.error, value);
  throw new MedlarlaneError(code, `${subject} is invalid:\n${formatProblems(problems)}`, {
    details: {problems},
  });
}
