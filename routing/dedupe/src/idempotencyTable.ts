import {setImmediate as nextEventLoopTurn} from 'node:timers/promises';
import {MedlarlaneError} from '@medlarlane/errors';
import {systemClock} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';
import {decodeChunk, encodeChunk} from './handoverChunk.js';
import type {HandoverChunk, HandoverRecord} from './handoverChunk.js';
import {RangeCoverage} from './rangeCoverage.js';
import {packResponse, unpackResponse} from './recordedResponse.js';
import type {RecordedResponse} from './recordedResponse.js';
import {idBytesOf, positionOf, recordKey} from './recordKey.js';
import {recordBytes, RecordStore} from './recordStore.js';
import type {IdempotencyRecord, RecordLocator} from './recordStore.js';
import {parseRequestId, requestIdOf} from './requestId.js';
import type {RequestId} from './requestId.js';

export interface IdempotencyTableOptions {
  /** Age of an id above which it is refused and its record may be evicted. */
  readonly retentionMs?: number;
  /** Maximum of the accounted bytes of all records. */
  readonly maxBytes?: number;
  /** Largest encoded response (headers and body) that is kept for replay. */
  readonly maxResponseBytes?: number;
  /** Maximum difference between any two wall clocks, including those of callers. */
  readonly maxClockSkewMs?: number;
  /** How far an id may be ahead of this daemon's wall clock; below `maxClockSkewMs`. */
  readonly maxAheadMs?: number;
  readonly clock?: Clock;
}

/** A range of positions of one service; `to` is exclusive. */
export interface ServiceRange {
  readonly service: string;
  readonly from: number;
  readonly to: number;
}

export interface MovedRange extends ServiceRange {
  /** Id of the planned move, equal on both sides. */
  readonly moveId: string;
}

export interface BeginRequest {
  readonly service: string;
  readonly position: number;
  /** Value of the `Idempotency-Key` header. */
  readonly id: string;
  /** Digest of the request. The same id with another digest identifies a different request. */
  readonly digest: string;
  /** Deadline, on the monotonic clock, for the end of an earlier attempt. */
  readonly deadlineMs: number;
  readonly signal?: AbortSignal;
}

export type BeginResult =
  | {readonly kind: 'run'; readonly run: Run}
  | {readonly kind: 'recorded'; readonly response: RecordedResponse};

/** Permission to run a request once. Call exactly one method; further calls have no effect. */
export interface Run {
  /** The target responded. `response` is absent when it is too large to keep. */
  finish(response?: RecordedResponse): void;
  /** The request may have run, for example because the connection failed. */
  markUnknown(): void;
  /** The request definitely did not run, so a resend may. */
  markNotRun(): void;
}

export interface IdempotencyStats {
  readonly records: number;
  readonly bytes: number;
  readonly maxBytes: number;
}

interface ServiceState {
  readonly store: RecordStore;
  readonly coverage: RangeCoverage;
}

interface StagedImport {
  readonly moveId: string;
  nextSequence: number;
  horizons?: NonNullable<HandoverChunk['horizons']>;
}

type Attempt = BeginResult | {readonly kind: 'wait'; readonly record: IdempotencyRecord};

const DEFAULT_RETENTION_MS = 600_000;
const DEFAULT_MAX_CLOCK_SKEW_MS = 500;
const SWEEP_INTERVAL_MS = 1_000;
const MAX_WAITERS_PER_RUN = 16;
// Importing 250 records takes 3 to 4 ms and blocks the event loop.
const MAX_CHUNK_RECORDS = 250;
const MAX_CHUNK_BYTES = 256 * 1024;
// Scanning this many records takes about 3 ms, after which the event loop gets a turn.
const RECORDS_PER_TURN = 10_000;
// Node.js fires timers with a longer delay immediately.
const MAX_WAIT_MS = 2 ** 31 - 1;
const MAX_STAGED_IMPORTS = 1_024;

/**
 * Ensures that each non-repeatable request runs at most once, for the ranges that this daemon owns. An
 * id without a record runs only if it was created after this daemon, or an owner that handed the range
 * over, began to record all runs of the range.
 */
export class IdempotencyTable {
  private readonly clock: Clock;
  private readonly retentionMs: number;
  private readonly maxBytes: number;
  private readonly maxResponseBytes: number;
  private readonly maxClockSkewMs: number;
  private readonly maxAheadMs: number;
  private readonly services = new Map<string, ServiceState>();
  private readonly stagedImports = new Map<string, StagedImport>();
  /** Callbacks of resends that wait for a run to end. */
  private readonly waiters = new Map<IdempotencyRecord, Set<() => void>>();
  /** Ids created before this time may have been evicted. Never decreases, even if the wall clock does. */
  private evictedBeforeMs = 0;
  private lastSweepMs = Number.NEGATIVE_INFINITY;

  constructor(opts: IdempotencyTableOptions = {}) {
    this.clock = opts.clock ?? systemClock;
    this.retentionMs = opts.retentionMs ?? DEFAULT_RETENTION_MS;
    this.maxBytes = opts.maxBytes ?? 96 * 1024 * 1024;
    this.maxResponseBytes = opts.maxResponseBytes ?? 4 * 1024;
    this.maxClockSkewMs = opts.maxClockSkewMs ?? DEFAULT_MAX_CLOCK_SKEW_MS;
    this.maxAheadMs = opts.maxAheadMs ?? this.maxClockSkewMs / 2;
  }

  get stats(): IdempotencyStats {
    let records = 0;
    for (const {store} of this.services.values()) records += store.count;
    return {records, bytes: this.bytes, maxBytes: this.maxBytes};
  }

  /**
   * Begins the ownership of a range whose previous owner handed no records over, or that had no owner.
   * Call it when the ownership change is seen: no previous owner runs a request after that.
   */
  takeOver(range: ServiceRange): void {
    const horizonMs = this.clock.wallMs() + this.maxClockSkewMs;
    const {coverage} = this.stateOf(range.service);
    coverage.replace(range.from, range.to, [
      {from: range.from, to: range.to, horizonMs, paused: false},
    ]);
    this.stagedImports.delete(stagingKey(range));
  }

  /**
   * Begins the ownership of a range at the end of a planned move. Only for a change made by
   * `finishMoves` of this move. After the loss of the previous owner call `takeOver`, because that owner
   * may have resumed the range after its handover. Returns `false` when the handover is incomplete; the
   * range is then taken over as after a loss.
   */
  acceptMove(move: MovedRange): boolean {
    const staged = this.stagedImports.get(stagingKey(move));
    if (staged?.moveId !== move.moveId || !staged.horizons) {
      this.takeOver(move);
      return false;
    }
    this.stagedImports.delete(stagingKey(move));
    const horizonMs = this.clock.wallMs() + this.maxClockSkewMs;
    const {coverage} = this.stateOf(move.service);
    // Positions that the previous owner did not cover are taken over as after a loss.
    coverage.replace(move.from, move.to, [
      {from: move.from, to: move.to, horizonMs, paused: false},
    ]);
    for (const part of staged.horizons) {
      const from = Math.max(part.from, move.from);
      const to = Math.min(part.to, move.to);
      if (from < to) coverage.replace(from, to, [{...part, from, to, paused: false}]);
    }
    return true;
  }

  /** Ends the ownership of a range. Its records are kept until they expire, or dropped. */
  release(range: ServiceRange, opts: {readonly dropRecords?: boolean} = {}): void {
    const {coverage, store} = this.stateOf(range.service);
    coverage.replace(range.from, range.to, []);
    if (opts.dropRecords) store.removeRange(range.from, range.to);
  }

  /** Ends the ownership of all ranges, after the session of this daemon has ended. */
  releaseAll(): void {
    for (const state of this.services.values()) {
      state.coverage.replace(Number.NEGATIVE_INFINITY, Number.POSITIVE_INFINITY, []);
    }
    this.stagedImports.clear();
  }

  /** Resumes runs in a range whose planned move was cancelled. */
  resume(range: ServiceRange): void {
    this.setPaused(range, false);
  }

  /** Discards a handover whose move was cancelled. The imported records stay valid. */
  discardImport(range: ServiceRange): void {
    this.stagedImports.delete(stagingKey(range));
  }

  /**
   * Begins the only run of a request, or returns the recorded response of an earlier run. Waits while an
   * earlier attempt is running.
   * @throws MedlarlaneError `IDEMPOTENCY_KEY_REQUIRED`, `IDEMPOTENCY_KEY_REUSED`, `OUTCOME_UNKNOWN`,
   *     `OVERLOADED`, `NOT_OWNER`, `REQUEST_INVALID` or `CANCELLED`.
   */
  async begin(request: BeginRequest): Promise<BeginResult> {
    const id = parseRequestId(request.id);
    const locator = {key: recordKey(id, request.position), createdMs: id.createdMs};
    for (;;) {
      const attempt = this.tryBegin(request, locator);
      if (attempt.kind !== 'wait') return attempt;
      await this.waitForEnd(attempt.record, request);
    }
  }

  /**
   * Prevents new runs in a range and yields its records in chunks. A request that is still running is
   * handed over as `unknown`.
   */
  async *exportRange(move: MovedRange): AsyncGenerator<Uint8Array> {
    this.setPaused(move, true);
    const {store, coverage} = this.stateOf(move.service);
    let sequence = 0;
    let records: HandoverRecord[] = [];
    let bytes = 0;
    let scanned = 0;
    const nextChunk = (): HandoverChunk => {
      const {service, from, to, moveId} = move;
      return {version: 1, service, from, to, moveId, sequence: sequence++, records};
    };
    for (const [key, record] of store.all()) {
      scanned += 1;
      if (scanned % RECORDS_PER_TURN === 0) await nextEventLoopTurn();
      const position = positionOf(key);
      if (position < move.from || position >= move.to) continue;
      records.push(toHandoverRecord(key, record));
      bytes += recordBytes(record);
      if (records.length < MAX_CHUNK_RECORDS && bytes < MAX_CHUNK_BYTES) continue;
      yield encodeChunk(nextChunk());
      records = [];
      bytes = 0;
    }
    // Computed last, so that records evicted during the export are covered by the horizon.
    const horizons = coverage.within(move.from, move.to).map(({from, to, horizonMs}) => ({
      from,
      to,
      horizonMs: Math.max(horizonMs, this.evictedBeforeMs),
    }));
    yield encodeChunk({...nextChunk(), horizons});
  }

  /**
   * Imports one chunk of a handover. Chunks must arrive in order. Returns whether the handover is
   * complete.
   * @throws MedlarlaneError `REQUEST_INVALID` for a corrupt or missing chunk, `OVERLOADED` when the
   *     records do not fit. The range is then taken over as after a loss.
   */
  importRange(bytes: Uint8Array): boolean {
    const chunk = decodeChunk(bytes);
    const key = stagingKey(chunk);
    let staged = this.stagedImports.get(key);
    if (chunk.sequence === 0) {
      if (!staged && this.stagedImports.size >= MAX_STAGED_IMPORTS) {
        throw new MedlarlaneError('OVERLOADED', 'Too many handovers are in progress');
      }
      this.stagedImports.set(key, (staged = {moveId: chunk.moveId, nextSequence: 0}));
    }
    if (staged?.moveId !== chunk.moveId || staged.nextSequence !== chunk.sequence) {
      this.stagedImports.delete(key);
      throw new MedlarlaneError('REQUEST_INVALID', 'A chunk of the handover is missing');
    }
    try {
      for (const record of chunk.records) this.importRecord(chunk.service, record);
    } catch (failure) {
      this.stagedImports.delete(key);
      throw failure;
    }
    staged.nextSequence += 1;
    if (chunk.horizons) staged.horizons = chunk.horizons;
    return chunk.horizons !== undefined;
  }

  private get bytes(): number {
    let bytes = 0;
    for (const {store} of this.services.values()) bytes += store.bytes;
    return bytes;
  }

  private stateOf(service: string): ServiceState {
    let state = this.services.get(service);
    if (!state) {
      state = {store: new RecordStore(), coverage: new RangeCoverage()};
      this.services.set(service, state);
    }
    return state;
  }

  private setPaused(range: ServiceRange, paused: boolean): void {
    const {coverage} = this.stateOf(range.service);
    for (const part of coverage.within(range.from, range.to)) {
      coverage.replace(part.from, part.to, [{...part, paused}]);
    }
  }

  private tryBegin(request: BeginRequest, locator: RecordLocator): Attempt {
    this.sweep();
    const state = this.services.get(request.service);
    const range = state?.coverage.find(request.position);
    if (!state || !range || range.paused) throw new MedlarlaneError('NOT_OWNER');
    const record = state.store.find(locator);
    if (record) return resultForResend(record, request);
    this.assertNeverRan(locator, range.horizonMs);
    const {digest} = request;
    const created: IdempotencyRecord = {digest, state: 'running', response: undefined};
    this.assertCapacityFor(created);
    state.store.add(locator, created);
    return {kind: 'run', run: this.createRun(state.store, locator, created)};
  }

  /** Throws unless the absence of a record proves that the id has not run. */
  private assertNeverRan({createdMs}: Pick<RequestId, 'createdMs'>, horizonMs: number): void {
    const wallMs = this.clock.wallMs();
    if (createdMs > wallMs + this.maxAheadMs) {
      throw new MedlarlaneError('REQUEST_INVALID', 'Idempotency-Key was created in the future', {
        details: {aheadMs: createdMs - wallMs, maxAheadMs: this.maxAheadMs},
      });
    }
    const knownSinceMs = Math.max(horizonMs, this.evictedBeforeMs, wallMs - this.retentionMs);
    if (createdMs >= knownSinceMs) return;
    throw new MedlarlaneError(
      'OUTCOME_UNKNOWN',
      'Idempotency-Key was created before the records of the owner begin',
      {details: {createdMs, knownSinceMs}},
    );
  }

  private assertCapacityFor(record: IdempotencyRecord): void {
    if (this.bytes + recordBytes(record) <= this.maxBytes) return;
    throw new MedlarlaneError('OVERLOADED', 'Idempotency records have reached their memory limit');
  }

  private createRun(store: RecordStore, locator: RecordLocator, record: IdempotencyRecord): Run {
    let ended = false;
    const end = (change: () => void): void => {
      if (ended) return;
      ended = true;
      change();
      const waiters = this.waiters.get(record);
      this.waiters.delete(record);
      for (const wakeUp of waiters ?? []) wakeUp();
    };
    return {
      finish: (response) =>
        end(() => {
          const packed = response && this.packIfFits(response);
          store.end(locator, record, {state: 'done', response: packed});
        }),
      markUnknown: () => end(() => store.end(locator, record, {state: 'unknown'})),
      markNotRun: () => end(() => store.remove(locator, record)),
    };
  }

  private packIfFits(response: RecordedResponse): string | undefined {
    if (response.body.length > this.maxResponseBytes) return undefined;
    const packed = packResponse(response);
    const fits = packed.length <= this.maxResponseBytes;
    return fits && this.bytes + packed.length <= this.maxBytes ? packed : undefined;
  }

  private async waitForEnd(record: IdempotencyRecord, request: BeginRequest): Promise<void> {
    const remainingMs = request.deadlineMs - this.clock.nowMs();
    const waiters = this.waiters.get(record) ?? new Set();
    if (remainingMs <= 0 || waiters.size >= MAX_WAITERS_PER_RUN) throw stillRunningError();
    this.waiters.set(record, waiters);
    const abort = new AbortController();
    const onAbort = (): void => abort.abort();
    request.signal?.addEventListener('abort', onAbort);
    if (request.signal?.aborted) abort.abort();
    let wakeUp = (): void => undefined;
    const ended = new Promise<'ended'>((resolve) => {
      wakeUp = () => resolve('ended');
    });
    waiters.add(wakeUp);
    const timedOut = this.clock
      .sleep(Math.min(remainingMs, MAX_WAIT_MS), {signal: abort.signal})
      .then(() => 'deadline' as const)
      .catch(() => 'cancelled' as const);
    try {
      const reason = await Promise.race([ended, timedOut]);
      if (reason === 'deadline') throw stillRunningError();
      if (reason === 'cancelled') throw new MedlarlaneError('CANCELLED');
    } finally {
      waiters.delete(wakeUp);
      if (waiters.size === 0 && this.waiters.get(record) === waiters) this.waiters.delete(record);
      request.signal?.removeEventListener('abort', onAbort);
      abort.abort();
    }
  }

  private importRecord(service: string, imported: HandoverRecord): void {
    const {store} = this.stateOf(service);
    const {digest, state, response} = imported;
    const id = requestIdOf(imported.id);
    const locator = {key: recordKey(id, imported.position), createdMs: id.createdMs};
    const existing = store.find(locator);
    const record = existing ?? {digest, state, response: undefined};
    if (!existing) {
      this.assertCapacityFor(record);
      store.add(locator, record);
    } else if (existing.state !== 'unknown') {
      return;
    }
    // The existing record is `unknown` when its request ended after it was handed over while running.
    const packed = response && Buffer.from(response).toString('latin1');
    const fits = packed !== undefined && this.bytes + packed.length <= this.maxBytes;
    if (state === 'done') store.end(locator, record, {state, response: fits ? packed : undefined});
  }

  private sweep(): void {
    const nowMs = this.clock.nowMs();
    if (nowMs - this.lastSweepMs < SWEEP_INTERVAL_MS) return;
    this.lastSweepMs = nowMs;
    const beforeMs = this.clock.wallMs() - this.retentionMs;
    for (const {store} of this.services.values()) {
      this.evictedBeforeMs = Math.max(this.evictedBeforeMs, store.evict(beforeMs));
    }
  }
}

/** Returns the result of a resend, given the record of an earlier attempt. */
function resultForResend(record: IdempotencyRecord, request: BeginRequest): Attempt {
  if (record.digest !== request.digest) throw new MedlarlaneError('IDEMPOTENCY_KEY_REUSED');
  switch (record.state) {
    case 'running':
      return {kind: 'wait', record};
    case 'unknown':
      throw new MedlarlaneError('OUTCOME_UNKNOWN');
    case 'done':
      if (record.response === undefined) {
        throw new MedlarlaneError('OUTCOME_UNKNOWN', 'Request ran, but its response was not kept', {
          details: {ranBefore: true},
        });
      }
      return {kind: 'recorded', response: unpackResponse(record.response)};
  }
}

function stillRunningError(): MedlarlaneError {
  return new MedlarlaneError('OUTCOME_UNKNOWN', 'An earlier attempt is still running');
}

function toHandoverRecord(
  key: string,
  {digest, state, response}: IdempotencyRecord,
): HandoverRecord {
  return {
    id: idBytesOf(key),
    position: positionOf(key),
    digest,
    state: state === 'done' ? 'done' : 'unknown',
    ...(response === undefined ? {} : {response: Buffer.from(response, 'latin1')}),
  };
}

function stagingKey({service, from, to}: ServiceRange): string {
  return `${service} ${from} ${to}`;
}
