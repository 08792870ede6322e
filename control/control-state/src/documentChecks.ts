import type {CommandOf, ServiceDocument} from '@medlarlane/model';
import {serviceDocumentSchema, teamOf} from '@medlarlane/model';
import {verifyDocumentChange} from '@medlarlane/signatures';
import type {CommandResult} from './stateSnapshot.js';

type Failure = Extract<CommandResult, {ok: false}>;

export function failure(
  code: Failure['code'],
  message: string,
  details?: Record<string, unknown>,
): Failure {
  return {ok: false, code, message, ...(details ? {details} : {})};
}

/** Parses the document of a command. A failure lists every problem with its path. */
export function parseDocument(
  command: CommandOf<'applyDocument'>,
): {ok: true; document: ServiceDocument} | Failure {
  let json: unknown;
  try {
    json = JSON.parse(command.documentJson);
  } catch {
    return failure('DOCUMENT_INVALID', 'Document is not valid JSON');
  }
  const parsed = serviceDocumentSchema.safeParse(json);
  if (!parsed.success) {
    const problems = parsed.error.issues.map((issue) => ({
      path: issue.path.join('.'),
      message: issue.message,
    }));
    return failure('DOCUMENT_INVALID', 'Document does not match the schema', {problems});
  }
  if (parsed.data.service !== command.service) {
    return failure('DOCUMENT_INVALID', `Document is for ${parsed.data.service}`);
  }
  return {ok: true, document: parsed.data};
}

/** Checks that the team's key signed the document together with its base revision and change id. */
export function checkSignature(
  command: CommandOf<'applyDocument'>,
  publicKeyPem: string,
): Failure | undefined {
  if (verifyDocumentChange(command, publicKeyPem)) return undefined;
  return failure(
    'SIGNATURE_INVALID',
    `Signature was not made with the key of team ${teamOf(command.service)}`,
  );
}
