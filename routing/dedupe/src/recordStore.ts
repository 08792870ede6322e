import {positionOf} from './recordKey.js';

/** Recorded state of one non-repeatable request. */
export interface IdempotencyRecord {
  readonly digest: string;
  state: 'running' | 'done' | 'unknown';
  /** Packed response; absent while running and for responses that are too large. */
  response: string | undefined;
}

/** Identifies a record in the store. */
export interface RecordLocator {
  readonly key: string;
  /** Creation time of the id. */
  readonly createdMs: number;
}

interface Bucket {
  readonly records: Map<string, IdempotencyRecord>;
  bytes: number;
}

/**
 * Heap bytes of a record without digest and response: the object, its key and its slot in a map that has
 * just doubled its capacity. `dedupeCostBench` compares the accounted bytes with measured ones.
 */
export const RECORD_OVERHEAD_BYTES = 192;

// Whole buckets are evicted, so that eviction has no cost per record.
const BUCKET_MS = 10_000;

/** Records of one service, grouped by the creation time of their ids. */
export class RecordStore {
  private readonly buckets = new Map<number, Bucket>();
  bytes = 0;
  count = 0;

  find({key, createdMs}: RecordLocator): IdempotencyRecord | undefined {
    return this.buckets.get(bucketIndexOf(createdMs))?.records.get(key);
  }

  add({key, createdMs}: RecordLocator, record: IdempotencyRecord): void {
    const index = bucketIndexOf(createdMs);
    let bucket = this.buckets.get(index);
    if (!bucket) this.buckets.set(index, (bucket = {records: new Map(), bytes: 0}));
    bucket.records.set(key, record);
    this.addBytes(bucket, recordBytes(record));
    this.count += 1;
  }

  /** Ends a run, unless its record was evicted. */
  end(
    {key, createdMs}: RecordLocator,
    record: IdempotencyRecord,
    end: {readonly state: 'done' | 'unknown'; readonly response?: string | undefined},
  ): void {
    const bucket = this.buckets.get(bucketIndexOf(createdMs));
    if (bucket?.records.get(key) !== record) return;
    this.addBytes(bucket, (end.response?.length ?? 0) - (record.response?.length ?? 0));
    record.state = end.state;
    record.response = end.response;
  }

  remove({key, createdMs}: RecordLocator, record: IdempotencyRecord): void {
    const bucket = this.buckets.get(bucketIndexOf(createdMs));
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
    for (const [index, bucket] of this.buckets) {
      const endMs = (index + 1) * BUCKET_MS;
      if (endMs > beforeMs) continue;
      this.buckets.delete(index);
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
    this.addBytes(bucket, -recordBytes(record));
    this.count -= 1;
  }

  private addBytes(bucket: Bucket, bytes: number): void {
    bucket.bytes += bytes;
    this.bytes += bytes;
  }
}

/** Returns the accounted bytes of a record. */
export function recordBytes(record: Pick<IdempotencyRecord, 'digest' | 'response'>): number {
  return RECORD_OVERHEAD_BYTES + record.digest.length + (record.response?.length ?? 0);
}

function bucketIndexOf(createdMs: number): number {
  return Math.floor(createdMs / BUCKET_MS);
}
