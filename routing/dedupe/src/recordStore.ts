import {positionOf} from './recordKey.js';

/** What is known of one non-repeatable request. */
export interface IdempotencyRecord {
  readonly digest: string;
  state: 'running' | 'done' | 'unknown';
  /** Packed response; absent while running and for responses that are too large. */
  response: string | undefined;
}

/** Where a record is found. */
export interface RecordPlace {
  readonly key: string;
  /** Creation time of the id. */
  readonly createdMs: number;
}

interface Bucket {
  readonly records: Map<string, IdempotencyRecord>;
  bytes: number;
}

/**
 * Heap bytes of a record beyond digest and response: the object, its key and its place in a map that
 * has just doubled its capacity. `dedupeCostBench` compares the accounted bytes with measured ones.
 */
export const RECORD_OVERHEAD_BYTES = 192;

// Records are evicted by whole buckets, so eviction costs nothing per record.
const BUCKET_MS = 10_000;

/** Records of one service, grouped by the creation time of their ids. */
export class RecordStore {
  private readonly buckets = new Map<number, Bucket>();
  bytes = 0;
  count = 0;

  find({key, createdMs}: RecordPlace): IdempotencyRecord | undefined {
    return this.buckets.get(bucketOf(createdMs))?.records.get(key);
  }

  add({key, createdMs}: RecordPlace, record: IdempotencyRecord): void {
    const number = bucketOf(createdMs);
    let bucket = this.buckets.get(number);
    if (!bucket) this.buckets.set(number, (bucket = {records: new Map(), bytes: 0}));
    bucket.records.set(key, record);
    this.charge(bucket, recordBytes(record));
    this.count += 1;
  }

  /** Ends a run, unless its record was evicted. */
  end(
    {key, createdMs}: RecordPlace,
    record: IdempotencyRecord,
    end: {readonly state: 'done' | 'unknown'; readonly response?: string | undefined},
  ): void {
    const bucket = this.buckets.get(bucketOf(createdMs));
    if (bucket?.records.get(key) !== record) return;
    this.charge(bucket, (end.response?.length ?? 0) - (record.response?.length ?? 0));
    record.state = end.state;
    record.response = end.response;
  }

  remove({key, createdMs}: RecordPlace, record: IdempotencyRecord): void {
    const bucket = this.buckets.get(bucketOf(createdMs));
    if (bucket?.records.get(key) === record) this.delete(bucket, key, record);
  }

  /** Removes the records of a range. */
  removeRange(from: number, to: number): void {
    for (const bucket of this.buckets.values()) {
      for (const [key, record] of bucket.records) {
        const position = positionOf(key);
        if (position >= from && position < to) this.delete(bucket, key, record);
      }
    }
  }

  /**
   * Evicts the buckets whose ids were all created before `beforeMs`. Returns the time before which
   * ids may have been evicted, or 0.
   */
  evict(beforeMs: number): number {
    let evictedBeforeMs = 0;
    for (const [number, bucket] of this.buckets) {
      const endMs = (number + 1) * BUCKET_MS;
      if (endMs > beforeMs) continue;
      this.buckets.delete(number);
      this.bytes -= bucket.bytes;
      this.count -= bucket.records.size;
      evictedBeforeMs = Math.max(evictedBeforeMs, endMs);
    }
    return evictedBeforeMs;
  }

  *all(): Generator<[key: string, record: IdempotencyRecord]> {
    for (const {records} of this.buckets.values()) yield* records;
  }

  private delete(bucket: Bucket, key: string, record: IdempotencyRecord): void {
    bucket.records.delete(key);
    this.charge(bucket, -recordBytes(record));
    this.count -= 1;
  }

  private charge(bucket: Bucket, bytes: number): void {
    bucket.bytes += bytes;
    this.bytes += bytes;
  }
}

/** Bytes that a record is counted with. */
export function recordBytes(record: Pick<IdempotencyRecord, 'digest' | 'response'>): number {
  return RECORD_OVERHEAD_BYTES + record.digest.length + (record.response?.length ?? 0);
}

function bucketOf(createdMs: number): number {
  return Math.floor(createdMs / BUCKET_MS);
}
