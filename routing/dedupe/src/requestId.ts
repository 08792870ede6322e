import {parse, validate, version} from 'uuid';
import {MedlarlaneError} from '@medlarlane/errors';

/** A caller's idempotency key. */
export interface RequestId {
  /** 16 bytes. */
  readonly bytes: Uint8Array;
  /** Creation time on the caller's wall clock. */
  readonly createdMs: number;
}

export const ID_BYTES = 16;
const TIMESTAMP_BYTES = 6;

/**
 * Parses a UUIDv7.
 * @throws MedlarlaneError `IDEMPOTENCY_KEY_REQUIRED` for anything else.
 */
export function parseRequestId(text: string): RequestId {
  if (!validate(text) || version(text) !== 7) {
    throw new MedlarlaneError('IDEMPOTENCY_KEY_REQUIRED', 'Idempotency-Key is not a UUIDv7');
  }
  return requestIdOf(parse(text));
}

/** Returns the id with these 16 bytes. */
export function requestIdOf(bytes: Uint8Array): RequestId {
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  return {bytes, createdMs: buffer.readUIntBE(0, TIMESTAMP_BYTES)};
}
