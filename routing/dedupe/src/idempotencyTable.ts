import {setImmediate as nextTurn} from 'node:timers/promises';
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
import type {IdempotencyRecord, RecordPlace} from './recordStore.js';
import {parseRequestId, requestIdOf} from './requestId.js';
import type {RequestId} from './requestId.js';

export interface IdempotencyTableOptions {
  /** Age of an id from which its record may be evicted and the id is refused. */
  readonly retentionMs?: number;
  /** Bound of the accounted bytes of all records. */
  readonly maxBytes?: number;
  /** Largest encoded response (headers and body) that is kept for replay. */
  readonly maxResponseBytes?: number;
  /** Bound of the difference between any two wall clocks, callers' included. */
  readonly maxClockSkewMs?: number;
  /** How far an id may be ahead of this daemon's wall clock; below `skewMs`. */
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
  /** Names the planned move, equal on both sides. */
  readonly moveId: string;
}

export interface BeginRequest {
  readonly service: string;
  readonly position: number;
  /** Value of the `Idempotency-Key` header. */
  readonly id: string;
  /** Digest of the request; another digest under the same id is another request. */
  readonly digest: string;
  /** Deadline on the monotonic clock for waiting until an earlier attempt ends. */
  readonly deadlineMs: number;
  readonly signal?: AbortSignal;
}

export type BeginResult =
  | {readonly kind: 'run'; readonly run: Run}
  | {readonly kind: 'recorded'; readonly response: RecordedResponse};

/** The right to run a request once. Exactly one method is called; later calls have no effect. */
export interface Run {
  /** The target answered. `response` is absent when it is too large to keep. */
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

const RETENTION_MS = 600_000;
const SKEW_MS = 500;
const SWEEP_MS = 1_000;
const MAX_WAITERS = 16;
// Importing 250 records takes 3 to 4 ms, during which the daemon serves nothing else.
const CHUNK_RECORDS = 250;
const CHUNK_BYTES = 256 * 1024;
// About 3 ms of scanning between turns of the event loop.
const SCAN_RECORDS = 10_000;
// Node.js fires timers above this at once.
const MAX_WAIT_MS = 2 ** 31 - 1;
const MAX_STAGED = 1_024;

/**
 * At most one run of each non-repeatable request, for the ranges that this daemon owns. An id without
 * a record runs only if this daemon, or an owner that handed the range over, has known all runs of
 * the range since before the id was created.
 */
export class IdempotencyTable {
  private readonly clock: Clock;
  private readonly retentionMs: number;
  private readonly maxBytes: number;
  private readonly maxResponseBytes: number;
  private readonly skewMs: number;
  private readonly maxAheadMs: number;
  private readonly services = new Map<string, ServiceState>();
  private readonly staged = new Map<string, StagedImport>();
  /** Resends that wait for the end of a run. */
  private readonly waiters = new Map<IdempotencyRecord, Set<() => void>>();
  /** Ids created before this time may have been evicted. Only grows, even when the wall clock is set back. */
  private evictedBeforeMs = 0;
  private sweptMs = Number.NEGATIVE_INFINITY;

  constructor(opts: IdempotencyTableOptions = {}) {
    this.clock = opts.clock ?? systemClock;
    this.retentionMs = opts.retentionMs ?? RETENTION_MS;
    this.maxBytes = opts.maxBytes ?? 96 * 1024 * 1024;
    this.maxResponseBytes = opts.maxResponseBytes ?? 4 * 1024;
    this.skewMs = opts.maxClockSkewMs ?? SKEW_MS;
    this.maxAheadMs = opts.maxAheadMs ?? this.skewMs / 2;
  }

  get stats(): IdempotencyStats {
    let records = 0;
    for (const {store} of this.services.values()) records += store.count;
    return {records, bytes: this.bytes, maxBytes: this.maxBytes};
  }

  /**
   * Starts to own a range whose earlier owner handed nothing over, or that had no owner. Call it when
   * the ownership change is seen: no earlier owner runs a request after that moment.
   */
  takeOver(range: ServiceRange): void {
    const horizonMs = this.clock.wallMs() + this.skewMs;
    const {coverage} = this.stateOf(range.service);
    coverage.replace(range.from, range.to, [
      {from: range.from, to: range.to, horizonMs, paused: false},
    ]);
    this.staged.delete(stageKey(range));
  }

  /**
   * Starts to own a range at the end of a planned move. Only for a change made by `finishMoves` of
   * this move; after the loss of the earlier owner call `takeOver`, because that owner may have
   * resumed the range after its handover. Returns `false` when the handover is incomplete, in which
   * case the range is taken over as after a loss.
   */
  acceptMove(move: MovedRange): boolean {
    const staged = this.staged.get(stageKey(move));
    if (staged?.moveId !== move.moveId || !staged.horizons) {
      this.takeOver(move);
      return false;
    }
    this.staged.delete(stageKey(move));
    const horizonMs = this.clock.wallMs() + this.skewMs;
    const {coverage} = this.stateOf(move.service);
    // Positions that the earlier owner did not cover are taken over as after a loss.
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

  /** Forgets every range, when the session of this daemon has ended. */
  releaseAll(): void {
    for (const state of this.services.values()) {
      state.coverage.replace(Number.NEGATIVE_INFINITY, Number.POSITIVE_INFINITY, []);
    }
    this.staged.clear();
  }

  /** Continues to own a range after its planned move was cancelled. */
  resume(range: ServiceRange): void {
    this.setPaused(range, false);
  }

  /** Forgets a handover whose move was cancelled. The imported records stay valid. */
  discardImport(range: ServiceRange): void {
    this.staged.delete(stageKey(range));
  }

  /**
   * Begins the only run of a request, or returns the recorded response of an earlier one. Waits while
   * an earlier attempt runs.
   * @throws MedlarlaneError `IDEMPOTENCY_KEY_REQUIRED`, `IDEMPOTENCY_KEY_REUSED`, `OUTCOME_UNKNOWN`,
   *     `OVERLOADED`, `NOT_OWNER`, `REQUEST_INVALID` or `CANCELLED`.
   */
  async begin(request: BeginRequest): Promise<BeginResult> {
    const id = parseRequestId(request.id);
    const place = {key: recordKey(id, request.position), createdMs: id.createdMs};
    for (;;) {
      const attempt = this.tryBegin(request, place);
      if (attempt.kind !== 'wait') return attempt;
      await this.waitForEnd(attempt.record, request);
    }
  }

  /**
   * Stops runs of a range from beginning and yields its records in chunks. A request that still runs
   * is handed over as `unknown`.
   */
  async *exportRange(move: MovedRange): AsyncGenerator<Uint8Array> {
    this.setPaused(move, true);
    const {store, coverage} = this.stateOf(move.service);
    let sequence = 0;
    let records: HandoverRecord[] = [];
    let bytes = 0;
    let scanned = 0;
    const chunk = (): HandoverChunk => {
      const {service, from, to, moveId} = move;
      return {version: 1, service, from, to, moveId, sequence: sequence++, records};
    };
    for (const [key, record] of store.all()) {
      scanned += 1;
      if (scanned % SCAN_RECORDS === 0) await nextTurn();
      const position = positionOf(key);
      if (position < move.from || position >= move.to) continue;
      records.push(toHandoverRecord(key, record));
      bytes += recordBytes(record);
      if (records.length < CHUNK_RECORDS && bytes < CHUNK_BYTES) continue;
      yield encodeChunk(chunk());
      records = [];
      bytes = 0;
    }
    // Computed last, so that records evicted during the export are covered by the horizon.
    const horizons = coverage.within(move.from, move.to).map(({from, to, horizonMs}) => ({
      from,
      to,
      horizonMs: Math.max(horizonMs, this.evictedBeforeMs),
    }));
    yield encodeChunk({...chunk(), horizons});
  }

  /**
   * Takes one chunk of a handover; chunks arrive in order. Returns whether the handover is complete.
   * @throws MedlarlaneError `REQUEST_INVALID` for a damaged chunk or a gap, `OVERLOADED` when the
   *     records do not fit. The range is then taken over as after a loss.
   */
  importRange(bytes: Uint8Array): boolean {
    const chunk = decodeChunk(bytes);
    const key = stageKey(chunk);
    let staged = this.staged.get(key);
    if (chunk.sequence === 0) {
      if (!staged && this.staged.size >= MAX_STAGED) {
        throw new MedlarlaneError('OVERLOADED', 'Too many handovers are in progress');
      }
      this.staged.set(key, (staged = {moveId: chunk.moveId, nextSequence: 0}));
    }
    if (staged?.moveId !== chunk.moveId || staged.nextSequence !== chunk.sequence) {
      this.staged.delete(key);
      throw new MedlarlaneError('REQUEST_INVALID', 'A chunk of the handover is missing');
    }
    try {
      for (const record of chunk.records) this.importRecord(chunk.service, record);
    } catch (failure) {
      this.staged.delete(key);
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

  private tryBegin(request: BeginRequest, place: RecordPlace): Attempt {
    this.sweep();
    const state = this.services.get(request.service);
    const covered = state?.coverage.find(request.position);
    if (!state || !covered || covered.paused) throw new MedlarlaneError('NOT_OWNER');
    const record = state.store.find(place);
    if (record) return resume(record, request);
    this.checkNeverRan(place, covered.horizonMs);
    const {digest} = request;
    const created: IdempotencyRecord = {digest, state: 'running', response: undefined};
    this.checkRoomFor(created);
    state.store.add(place, created);
    return {kind: 'run', run: this.runOf(state.store, place, created)};
  }

  /** Throws unless the absence of a record proves that the id has not run. */
  private checkNeverRan({createdMs}: Pick<RequestId, 'createdMs'>, horizonMs: number): void {
    const wallMs = this.clock.wallMs();
    if (createdMs > wallMs + this.maxAheadMs) {
      throw new MedlarlaneError('REQUEST_INVALID', 'Idempotency-Key was created in the future', {
        details: {aheadMs: createdMs - wallMs, maxAheadMs: this.maxAheadMs},
      });
    }
    const known = Math.max(horizonMs, this.evictedBeforeMs, wallMs - this.retentionMs);
    if (createdMs >= known) return;
    throw new MedlarlaneError(
      'OUTCOME_UNKNOWN',
      'Idempotency-Key is older than the knowledge of the owner',
      {details: {createdMs, knownSinceMs: known}},
    );
  }

  private checkRoomFor(record: IdempotencyRecord): void {
    if (this.bytes + recordBytes(record) <= this.maxBytes) return;
    throw new MedlarlaneError('OVERLOADED', 'Idempotency records use all of their memory');
  }

  private runOf(store: RecordStore, place: RecordPlace, record: IdempotencyRecord): Run {
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
          store.end(place, record, {state: 'done', response: packed});
        }),
      markUnknown: () => end(() => store.end(place, record, {state: 'unknown'})),
      markNotRun: () => end(() => store.remove(place, record)),
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
    if (remainingMs <= 0 || waiters.size >= MAX_WAITERS) throw stillRunning();
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
      if (reason === 'deadline') throw stillRunning();
      if (reason === 'cancelled') throw new MedlarlaneError('CANCELLED');
    } finally {
      waiters.delete(wakeUp);
      if (waiters.size === 0 && this.waiters.get(record) === waiters) this.waiters.delete(record);
      request.signal?.removeEventListener('abort', onAbort);
      abort.abort();
    }
  }

  private importRecord(service: string, handedOver: HandoverRecord): void {
    const {store} = this.stateOf(service);
    const {digest, state, response} = handedOver;
    const id = requestIdOf(handedOver.id);
    const place = {key: recordKey(id, handedOver.position), createdMs: id.createdMs};
    const existing = store.find(place);
    const record = existing ?? {digest, state, response: undefined};
    if (!existing) {
      this.checkRoomFor(record);
      store.add(place, record);
    } else if (existing.state !== 'unknown') {
      return;
    }
    // An existing record is unknown when the request ended after it was handed over as running.
    const packed = response && Buffer.from(response).toString('latin1');
    const fits = packed !== undefined && this.bytes + packed.length <= this.maxBytes;
    if (state === 'done') store.end(place, record, {state, response: fits ? packed : undefined});
  }

  private sweep(): void {
    const nowMs = this.clock.nowMs();
    if (nowMs - this.sweptMs < SWEEP_MS) return;
    this.sweptMs = nowMs;
    const beforeMs = this.clock.wallMs() - this.retentionMs;
    for (const {store} of this.services.values()) {
      this.evictedBeforeMs = Math.max(this.evictedBeforeMs, store.evict(beforeMs));
    }
  }
}

/** What a resend gets from the record of an earlier attempt. */
function resume(record: IdempotencyRecord, request: BeginRequest): Attempt {
  if (record.digest !== request.digest) throw new MedlarlaneError('IDEMPOTENCY_KEY_REUSED');
  switch (record.state) {
    case 'running':
      return {kind: 'wait', record};
    case 'unknown':
      throw new MedlarlaneError('OUTCOME_UNKNOWN');
    case 'done':
      if (record.response === undefined) {
        throw new MedlarlaneError('OUTCOME_UNKNOWN', 'Request ran; its response was not kept', {
          details: {ranBefore: true},
        });
      }
      return {kind: 'recorded', response: unpackResponse(record.response)};
  }
}

function stillRunning(): MedlarlaneError {
  return new MedlarlaneError('OUTCOME_UNKNOWN', 'An earlier attempt still runs');
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

function stageKey({service, from, to}: ServiceRange): string {
  return `${service} ${from} ${to}`;
}
