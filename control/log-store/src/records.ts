import {decode, encode} from '@msgpack/msgpack';
import {z} from 'zod';
import {MedlarlaneError} from '@medlarlane/errors';

/** The replicas of a group. `addresses` maps every replica id to its control address. */
export const memberSetSchema = z.object({
  voters: z.array(z.string()),
  learners: z.array(z.string()),
  addresses: z.record(z.string(), z.string()),
});
export type MemberSet = z.infer<typeof memberSetSchema>;

export type EntryKind = 'command' | 'members' | 'noop';

/** One entry of the replicated log. Indexes start at 1. */
export interface LogEntry {
  readonly index: number;
  readonly term: number;
  readonly kind: EntryKind;
  readonly payload: Uint8Array;
}

const hardStateSchema = z.object({
  term: z.int().min(0),
  votedFor: z.string(),
  catchingUp: z.boolean().optional(),
});

/** State that a replica must persist before it responds to other replicas. */
export interface HardState {
  readonly term: number;
  /** Replica that this replica voted for in `term`; empty when it has not voted. */
  readonly votedFor: string;
  /** Whether the replica started with an empty folder and may lack entries that it acknowledged. */
  readonly catchingUp?: boolean | undefined;
}

/** State of the state machine after the entry at `index` was applied. */
export interface Snapshot {
  readonly index: number;
  readonly term: number;
  readonly members: MemberSet;
  readonly payload: Uint8Array;
}

/** One append. The hard state is applied first, then the truncation, then the entries. */
export interface LogBatch {
  readonly hardState?: HardState;
  /** Removes the entries from this index on. */
  readonly truncateFrom?: number;
  readonly entries: readonly LogEntry[];
}

// Copies the bytes, because a view would keep the whole file in memory.
const bytesSchema = z.instanceof(Uint8Array).transform((bytes) => new Uint8Array(bytes));
const ENTRY_KINDS = ['command', 'members', 'noop'] as const;
const entrySchema = z
  .tuple([z.int().min(1), z.int().min(0), z.int().min(0).max(2), bytesSchema])
  .transform(([index, term, kind, payload]): LogEntry => ({
    index,
    term,
    kind: ENTRY_KINDS[kind]!,
    payload,
  }));
const batchSchema = z.object({
  hardState: hardStateSchema.optional(),
  truncateFrom: z.int().min(1).optional(),
  entries: z.array(entrySchema),
});
const frameSchema = z.array(batchSchema);
const headerSchema = z.object({
  replicaId: z.string(),
  baseIndex: z.int().min(0),
  baseTerm: z.int().min(0),
  hardState: hardStateSchema,
  entries: z.array(entrySchema),
});
const snapshotSchema = z.object({
  index: z.int().min(1),
  term: z.int().min(0),
  members: memberSetSchema,
  payload: bytesSchema,
});

/** First frame of a log file. Its entries follow the snapshot at `baseIndex`. */
export interface LogHeader {
  readonly replicaId: string;
  readonly baseIndex: number;
  readonly baseTerm: number;
  readonly hardState: HardState;
  readonly entries: readonly LogEntry[];
}

export type DecodedBatch = z.output<typeof batchSchema>;

export function encodeBatches(batches: readonly LogBatch[]): Uint8Array {
  return encodeRecord(batches.map((batch) => ({...batch, entries: batch.entries.map(entryTuple)})));
}

export function decodeBatches(payload: Uint8Array): DecodedBatch[] {
  return decodeRecord(frameSchema, payload);
}

export function encodeHeader(header: LogHeader): Uint8Array {
  return encodeRecord({...header, entries: header.entries.map(entryTuple)});
}

export function decodeHeader(payload: Uint8Array): LogHeader {
  return decodeRecord(headerSchema, payload);
}

export function encodeSnapshot(snapshot: Snapshot): Uint8Array {
  return encodeRecord(snapshot);
}

export function decodeSnapshot(payload: Uint8Array): Snapshot {
  return decodeRecord(snapshotSchema, payload);
}

function entryTuple({index, term, kind, payload}: LogEntry): unknown[] {
  return [index, term, ENTRY_KINDS.indexOf(kind), payload];
}

function encodeRecord(value: unknown): Uint8Array {
  return encode(value, {ignoreUndefined: true});
}

function decodeRecord<T>(schema: z.ZodType<T>, payload: Uint8Array): T {
  try {
    return schema.parse(decode(payload));
  } catch (cause) {
    throw new MedlarlaneError('LOG_CORRUPT', 'Log record cannot be decoded', {cause});
  }
}
