import {decode, encode} from '@msgpack/msgpack';
import type {z} from 'zod';
import {MedlarlaneError} from '@medlarlane/errors';

/** Encodes a value as msgpack. `undefined` fields are left out. */
export function encodeValue(value: unknown): Uint8Array {
  return encode(value, {ignoreUndefined: true});
}

/**
 * Decodes msgpack and checks it against `schema`.
 * @throws MedlarlaneError `REQUEST_INVALID` for damaged bytes or an unexpected shape.
 */
export function decodeValue<T>(schema: z.ZodType<T>, bytes: Uint8Array): T {
  let value: unknown;
  try {
    value = decode(bytes);
  } catch (cause) {
    throw new MedlarlaneError('REQUEST_INVALID', 'Message is not valid msgpack', {cause});
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  throw new MedlarlaneError('REQUEST_INVALID', 'Message has an unexpected shape', {
    details: {problems: parsed.error.issues.map(({path, message}) => ({path, message}))},
  });
}
