import {parse, validate, version} from 'uuid';
import {MedlarlaneError} from '@medlarlane/errors';

/** A caller's idempotency key. */
export interface RequestId {
  /** The 16 bytes as a one-byte string: a third of the memory of the text form. */
  readonly compact: string;
  /** Creation time on the caller's wall clock. */
  readonly createdMs: number;
}

const TIMESTAMP_BYTES = 6;

/**
 * Reads a UUIDv7.
 * @throws MedlarlaneError `IDEMPOTENCY_KEY_REQUIRED` for anything else.
 */
export function parseRequestId(text: string): RequestId {
  if (!validate(text) || version(text) !== 7) {
    throw new MedlarlaneError('IDEMPOTENCY_KEY_REQUIRED', 'Idempotency-Key is not a UUIDv7');
  }
  return fromBytes(parse(text));
}

/** The id of a handed-over record. `bytes` holds 16 bytes. */
export function fromBytes(bytes: Uint8Array): RequestId {
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  return {
    compact: buffer.toString('latin1'),
    createdMs: buffer.readUIntBE(0, TIMESTAMP_BYTES),
  };
}

export function toBytes(compact: string): Uint8Array<ArrayBuffer> {
  return Buffer.from(compact, 'latin1');
}
