import {z} from 'zod';
import {decodeValue, encodeValue, POSITION_END, serviceNameSchema} from '@medlarlane/model';
import {isPackedResponse} from './recordedResponse.js';
import {ID_BYTES} from './requestId.js';

const MAX_RECORDS = 10_000;

const recordSchema = z.object({
  id: z.instanceof(Uint8Array).refine((bytes) => bytes.length === ID_BYTES),
  position: z.int().min(0).max(POSITION_END),
  digest: z.string().max(128),
  state: z.enum(['done', 'unknown']),
  response: z.instanceof(Uint8Array).refine(isPackedResponse).optional(),
});

const chunkSchema = z.object({
  version: z.literal(1),
  service: serviceNameSchema,
  from: z.number(),
  to: z.number(),
  /** Identifies the move, so that records of a cancelled move are not mistaken for those of a later one. */
  moveId: z.string().max(128),
  sequence: z.int().min(0),
  /** Present in the last chunk only. */
  horizons: z.array(z.object({from: z.number(), to: z.number(), horizonMs: z.number()})).optional(),
  records: z.array(recordSchema).max(MAX_RECORDS),
});

/** Some of the idempotency records of a range that moves to another daemon. */
export type HandoverChunk = z.infer<typeof chunkSchema>;
export type HandoverRecord = z.infer<typeof recordSchema>;

export function encodeChunk(chunk: HandoverChunk): Uint8Array {
  return encodeValue(chunk);
}

/** @throws MedlarlaneError `REQUEST_INVALID` for corrupt bytes, another version or another shape. */
export function decodeChunk(bytes: Uint8Array): HandoverChunk {
  return decodeValue(chunkSchema, bytes);
}
