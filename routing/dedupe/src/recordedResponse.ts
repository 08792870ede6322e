import {Decoder, Encoder} from '@msgpack/msgpack';
import {z} from 'zod';

/** A response that is replayed to resends. */
export interface RecordedResponse {
  readonly status: number;
  /** Name and value of each header, in order; a name may occur more than once. */
  readonly headers: ReadonlyArray<readonly [string, string]>;
  readonly body: Uint8Array;
}

/** Status, alternating names and values of the headers, body. */
const packedSchema = z.tuple([z.int(), z.array(z.string()), z.instanceof(Uint8Array)]);

const encoder = new Encoder();
const decoder = new Decoder();

/** Encodes a response as a one-byte string, which has less overhead than a small buffer. */
export function packResponse({status, headers, body}: RecordedResponse): string {
  const {buffer, byteOffset, byteLength} = encoder.encodeSharedRef([status, headers.flat(), body]);
  return Buffer.from(buffer, byteOffset, byteLength).toString('latin1');
}

export function unpackResponse(packed: string): RecordedResponse {
  const [status, names, body] = decoder.decode(bytesOf(packed)) as z.infer<typeof packedSchema>;
  const headers = names.flatMap((name, at) =>
    at % 2 === 0 ? [[name, names[at + 1] ?? ''] as const] : [],
  );
  return {status, headers, body};
}

/** Whether bytes received from another process are a packed response. */
export function isPackedResponse(bytes: Uint8Array): boolean {
  try {
    return packedSchema.safeParse(decoder.decode(bytes)).success;
  } catch {
    return false;
  }
}

function bytesOf(packed: string): Uint8Array {
  const {buffer, byteOffset, byteLength} = Buffer.from(packed, 'latin1');
  // The decoder returns slices of the type it is given.
  return new Uint8Array(buffer, byteOffset, byteLength);
}
