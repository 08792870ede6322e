import type {RequestId} from './requestId.js';

/** What is known of one non-repeatable request. */
export interface IdempotencyRecord {
  readonly id: RequestId['compact'];
  readonly position: number;
  readonly digest: string;
  state: 'running' | 'done' | 'unknown';
  /** Encoded response as a one-byte string; absent while running and for responses that are too large. */
  response: string | undefined;
  /** Resends that wait for the end of the run. */
  waiters: Set<() => void> | undefined;
}

interface Bucket {
  readonly records: Map<string, IdempotencyRecord>;
  bytes: number;
}

/**
 * Heap bytes of a record beyond its strings: the object, its key and its place in the map.
 * `dedupeCostBench` compares the accounted bytes with the measured ones.
 */
export const RECORD_OVERHEAD_BYTES = 200;

// Records are evicted by whole buckets, so eviction costs nothing per record.
const BUCKET_MS = 10_000;

/** Records of one service, grouped by the creation time of their ids. */
export class RecordStore {
  private readonly buckets = new Map<number, Bucket>();
  bytes = 0;
  count = 0;

  find(id: RequestId, position: number): IdempotencyRecord | undefined {
    return this.buckets.get(bucketOf(id.createdMs))?.records.get(keyOf(id.compact, position));
  }

  add(createdMs: number, record: IdempotencyRecord): void {
    const number = bucketOf(createdMs);
    let bucket = this.buckets.get(number);
    if (!bucket) this.buckets.set(number, (bucket = {records: new Map(), bytes: 0}));
    bucket.records.set(keyOf(record.id, record.position), record);
    this.charge(bucket, recordBytes(record));
    this.count += 1;
  }

  /** Ends a run. Returns `false` when the record was evicted or has ended before. */
  end(
    createdMs: number,
    record: IdempotencyRecord,
    end: {readonly state: 'done' | 'unknown'; readonly response?: string},
  ): boolean {
    const bucket = this.buckets.get(bucketOf(createdMs));
    if (bucket?.records.get(keyOf(record.id, record.position)) !== record) return false;
    this.charge(bucket, (end.response?.length ?? 0) - (record.response?.length ?? 0));
    record.state = end.state;
    record.response = end.response;
    return true;
  }

  remove(createdMs: number, record: IdempotencyRecord): void {
    const bucket = this.buckets.get(bucketOf(createdMs));
    const key = keyOf(record.id, record.position);
    if (bucket?.records.get(key) !== record) return;
    bucket.records.delete(key);
    this.charge(bucket, -recordBytes(record));
    this.count -= 1;
  }

  /** Removes the records of a range. */
  removeRange(from: number, to: number): void {
    for (const bucket of this.buckets.values()) {
      for (const [key, record] of bucket.records) {
        if (record.position < from || record.position >= to) continue;
        bucket.records.delete(key);
        this.charge(bucket, -recordBytes(record));
        this.count -= 1;
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

  *all(): Generator<IdempotencyRecord> {
    for (const {records} of this.buckets.values()) yield* records.values();
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

function keyOf(compactId: string, position: number): string {
  return compactId + position.toString(36);
}
