import {randomUUID} from 'node:crypto';
import {z} from 'zod';
import {MedlarlaneError} from '@medlarlane/errors';
import {systemClock} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';

export interface PoisonTableOptions {
  /** Identifies this daemon in the crashes that it reports. */
  readonly reporterId: string;
  /** Number of crashes after which a request is quarantined. */
  readonly crashThreshold?: number;
  /** Time after the last crash until a suspect request is cleared. */
  readonly suspicionTtlMs?: number;
  readonly quarantineTtlMs?: number;
  /** Maximum number of entries. Suspect entries are evicted before quarantined ones, oldest first. */
  readonly maxEntries?: number;
  readonly clock?: Clock;
}

export interface InFlightRequest {
  readonly fingerprint: string;
  /** Monotonic time at which the request was sent to the target. */
  readonly startedAtMs: number;
}

export type PoisonState = 'clear' | 'suspect' | 'quarantined';

/** A suspect or quarantined request as shown by `status`. */
export interface PoisonEntry {
  readonly fingerprint: string;
  readonly state: PoisonState;
  readonly crashes: number;
  readonly expiresInMs: number;
}

/** Default number of crashes after which a request is quarantined. */
export const QUARANTINE_CRASH_THRESHOLD = 2;
const MAX_EXPORTED_ENTRIES = 10_000;
const MAX_CRASHES_PER_ENTRY = 8;

/** Entries as exchanged between daemons. Ages are relative, so clocks need not be synchronized. */
export const poisonExportSchema = z
  .array(
    z.object({
      fingerprint: z.string().min(1).max(64),
      quarantinedForMs: z.number().min(0).optional(),
      crashes: z
        .array(z.object({id: z.string().max(256), ageMs: z.number().min(0), cleared: z.boolean()}))
        .max(MAX_CRASHES_PER_ENTRY),
    }),
  )
  .max(MAX_EXPORTED_ENTRIES);
export type PoisonExport = z.infer<typeof poisonExportSchema>;

interface Crash {
  readonly atMs: number;
  /** Whether the request succeeded after this crash. */
  cleared: boolean;
}

interface Entry {
  readonly crashes: Map<string, Crash>;
  /** Monotonic time at which the request was quarantined. */
  quarantinedAtMs: number | undefined;
}

/** Tracks requests in flight during target crashes, and refuses those that crash targets repeatedly. */
export class PoisonTable {
  private readonly clock: Clock;
  private readonly crashThreshold: number;
  private readonly suspicionTtlMs: number;
  private readonly quarantineTtlMs: number;
  private readonly maxEntries: number;
  /** Entries by fingerprint, oldest first. */
  private readonly entries = new Map<string, Entry>();
  /** Makes crash IDs unique across restarts; the crash counter of a restarted daemon starts from 1 again. */
  private readonly incarnation = randomUUID();
  private crashCount = 0;
  private runningSuspect: string | undefined;

  constructor(private readonly opts: PoisonTableOptions) {
    this.clock = opts.clock ?? systemClock;
    this.crashThreshold = opts.crashThreshold ?? QUARANTINE_CRASH_THRESHOLD;
    this.suspicionTtlMs = opts.suspicionTtlMs ?? 600_000;
    this.quarantineTtlMs = opts.quarantineTtlMs ?? 600_000;
    this.maxEntries = Math.min(opts.maxEntries ?? MAX_EXPORTED_ENTRIES, MAX_EXPORTED_ENTRIES);
  }

  /** Records a crash of the target. Returns the fingerprints that were quarantined as a result. */
  recordCrash(inFlight: readonly InFlightRequest[]): string[] {
    const nowMs = this.clock.nowMs();
    this.crashCount += 1;
    const crashId = `${this.opts.reporterId}:${this.incarnation}:${this.crashCount}`;
    const quarantined: string[] = [];
    for (const {fingerprint, startedAtMs} of inFlight) {
      if (startedAtMs > nowMs) continue;
      const entry = this.entryOf(fingerprint);
      addCrash(entry, crashId, {atMs: nowMs, cleared: false});
      if (this.quarantineIfDue(entry, nowMs)) quarantined.push(fingerprint);
    }
    this.runningSuspect = undefined;
    this.evictExcess();
    return quarantined;
  }

  /** Clears the crashes of a request that completed. A quarantine is not lifted. */
  recordSuccess(fingerprint: string): void {
    const entry = this.entries.get(fingerprint);
    for (const crash of entry?.crashes.values() ?? []) crash.cleared = true;
  }

  /** Whether the table has no entries, in which case fingerprints need not be computed. */
  get isEmpty(): boolean {
    return this.entries.size === 0;
  }

  stateOf(fingerprint: string): PoisonState {
    const entry = this.entries.get(fingerprint);
    if (!entry) return 'clear';
    if (this.expiresInMs(entry) <= 0) {
      this.entries.delete(fingerprint);
      return 'clear';
    }
    if (entry.quarantinedAtMs !== undefined) return 'quarantined';
    return this.activeCrashes(entry) > 0 ? 'suspect' : 'clear';
  }

  /** @throws MedlarlaneError `POISON_REQUEST` if one of the fingerprints is quarantined. */
  assertNotQuarantined(fingerprints: readonly string[]): void {
    const quarantined = fingerprints.find(
      (fingerprint) => this.stateOf(fingerprint) === 'quarantined',
    );
    if (quarantined === undefined) return;
    throw new MedlarlaneError('POISON_REQUEST', undefined, {details: {fingerprint: quarantined}});
  }

  /**
   * Starts the run of a request. Suspect requests run one at a time, so that a second crash identifies
   * the cause. Returns a function that ends the run, or `undefined` while another suspect is running.
   */
  tryStartRun(fingerprints: readonly string[]): (() => void) | undefined {
    const suspect = fingerprints.find((fingerprint) => this.stateOf(fingerprint) === 'suspect');
    if (suspect === undefined) return () => undefined;
    if (this.runningSuspect !== undefined) return undefined;
    this.runningSuspect = suspect;
    return () => {
      if (this.runningSuspect === suspect) this.runningSuspect = undefined;
    };
  }

  /** Exports at most `maxEntries` entries for other daemons. */
  export(): PoisonExport {
    this.expire();
    const nowMs = this.clock.nowMs();
    return [...this.entries].map(([fingerprint, entry]) => ({
      fingerprint,
      ...(entry.quarantinedAtMs === undefined
        ? {}
        : {quarantinedForMs: nowMs - entry.quarantinedAtMs}),
      crashes: [...entry.crashes].map(([id, {atMs, cleared}]) => ({
        id,
        ageMs: nowMs - atMs,
        cleared,
      })),
    }));
  }

  /**
   * Merges the entries of another daemon. The operation is idempotent.
   * @throws MedlarlaneError `REQUEST_INVALID` when `remote` has an unexpected shape.
   */
  merge(remote: unknown): void {
    const parsed = poisonExportSchema.safeParse(remote);
    if (!parsed.success) {
      throw new MedlarlaneError('REQUEST_INVALID', 'Poison entries have an unexpected shape');
    }
    const nowMs = this.clock.nowMs();
    for (const {fingerprint, quarantinedForMs, crashes} of parsed.data) {
      const entry = this.entryOf(fingerprint);
      for (const {id, ageMs, cleared} of crashes) {
        if (ageMs >= this.suspicionTtlMs && quarantinedForMs === undefined) continue;
        addCrash(entry, id, {atMs: nowMs - ageMs, cleared});
      }
      // The first known time is kept; otherwise each exchange would extend the quarantine.
      if (quarantinedForMs !== undefined) entry.quarantinedAtMs ??= nowMs - quarantinedForMs;
      else this.quarantineIfDue(entry, nowMs);
    }
    this.expire();
    this.evictExcess();
  }

  /** Lists suspect and quarantined requests for `status`. */
  list(): PoisonEntry[] {
    this.expire();
    return [...this.entries]
      .map(([fingerprint, entry]) => ({
        fingerprint,
        state: this.stateOf(fingerprint),
        crashes: entry.crashes.size,
        expiresInMs: this.expiresInMs(entry),
      }))
      .filter(({state}) => state !== 'clear');
  }

  private entryOf(fingerprint: string): Entry {
    let entry = this.entries.get(fingerprint);
    if (!entry) {
      entry = {crashes: new Map(), quarantinedAtMs: undefined};
      this.entries.set(fingerprint, entry);
    }
    return entry;
  }

  private quarantineIfDue(entry: Entry, nowMs: number): boolean {
    if (entry.quarantinedAtMs !== undefined) return false;
    if (this.activeCrashes(entry) < this.crashThreshold) return false;
    entry.quarantinedAtMs = nowMs;
    return true;
  }

  private activeCrashes(entry: Entry): number {
    const sinceMs = this.clock.nowMs() - this.suspicionTtlMs;
    let active = 0;
    for (const {atMs, cleared} of entry.crashes.values()) {
      if (!cleared && atMs > sinceMs) active += 1;
    }
    return active;
  }

  private expiresInMs(entry: Entry): number {
    const nowMs = this.clock.nowMs();
    if (entry.quarantinedAtMs !== undefined) {
      return entry.quarantinedAtMs + this.quarantineTtlMs - nowMs;
    }
    let lastMs = Number.NEGATIVE_INFINITY;
    for (const {atMs} of entry.crashes.values()) lastMs = Math.max(lastMs, atMs);
    return lastMs + this.suspicionTtlMs - nowMs;
  }

  private expire(): void {
    for (const [fingerprint, entry] of this.entries) {
      if (this.expiresInMs(entry) <= 0) this.entries.delete(fingerprint);
    }
  }

  private evictExcess(): void {
    if (this.entries.size <= this.maxEntries) return;
    this.expire();
    this.deleteOldest((entry) => entry.quarantinedAtMs === undefined);
    this.deleteOldest(() => true);
  }

  private deleteOldest(canDelete: (entry: Entry) => boolean): void {
    for (const [fingerprint, entry] of this.entries) {
      if (this.entries.size <= this.maxEntries) return;
      if (canDelete(entry)) this.entries.delete(fingerprint);
    }
  }
}

function addCrash(entry: Entry, id: string, crash: Crash): void {
  const existing = entry.crashes.get(id);
  if (existing) existing.cleared ||= crash.cleared;
  else if (entry.crashes.size < MAX_CRASHES_PER_ENTRY) entry.crashes.set(id, crash);
}
