import {createHash} from 'node:crypto';

export interface FingerprintedRequest {
  readonly method: string;
  readonly service: string;
  readonly key: string;
  readonly path: string;
  /** The first bytes of the body; the full body is streamed and never buffered. */
  readonly bodyPrefix?: Uint8Array;
  /** Value of Content-Length if known. */
  readonly bodyBytes?: number;
  readonly idempotencyKey?: string;
}

const DIGEST_CHARACTERS = 32;

/**
 * Computes the fingerprints that identify a request in the poison table: one of its content, because
 * a caller may resend the same content with a new idempotency key, and one of its idempotency key.
 */
export function requestFingerprints(request: FingerprintedRequest): string[] {
  const {method, service, key, path, bodyPrefix, bodyBytes, idempotencyKey} = request;
  const content = createHash('sha256')
    .update(JSON.stringify([method, service, key, path, bodyBytes ?? -1]))
    .update(bodyPrefix ?? new Uint8Array());
  const fingerprints = [`content:${shortened(content.digest('hex'))}`];
  if (idempotencyKey !== undefined) {
    const id = createHash('sha256').update(JSON.stringify([service, idempotencyKey]));
    fingerprints.push(`id:${shortened(id.digest('hex'))}`);
  }
  return fingerprints;
}

function shortened(hex: string): string {
  return hex.slice(0, DIGEST_CHARACTERS);
}
