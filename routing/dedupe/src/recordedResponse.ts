import {z} from 'zod';
import {decodeValue, encodeValue} from '@medlarlane/model';

/** A response as it is replayed to a resend. */
export interface RecordedResponse {
  readonly status: number;
  /** Name and value of each header, in order; a name may occur more than once. */
  readonly headers: ReadonlyArray<readonly [string, string]>;
  readonly body: Uint8Array;
}

const responseSchema = z.object({
  status: z.int(),
  headers: z.array(z.tuple([z.string(), z.string()])),
  body: z.instanceof(Uint8Array),
});

/** Packs a response into a one-byte string, which has less overhead than a small buffer. */
export function packResponse(response: RecordedResponse): string {
  const bytes = encodeValue(response);
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('latin1');
}

export function unpackResponse(packed: string): RecordedResponse {
  const {buffer, byteOffset, byteLength} = Buffer.from(packed, 'latin1');
  // The decoder returns slices of the type it is given.
  return decodeValue(responseSchema, new Uint8Array(buffer, byteOffset, byteLength));
}
