import type {Directory} from '@medlarlane/directory';
import type {Range} from '@medlarlane/model';
import type {Lease} from './lease.js';

/** Why this daemon may not run a request now. Nothing has run in any of these cases. */
export type OwnershipRefusal = 'LEASE_EXPIRED' | 'NOT_OWNER' | 'RELEASING';

export type OwnershipCheck =
  | {readonly owned: true; readonly epoch: number}
  | {readonly owned: false; readonly refusal: OwnershipRefusal};

/** A request that this daemon has accepted. `leave` must be called when it has ended. */
export interface RunningRequest {
  readonly epoch: number;
  /** The last check before bytes leave for the target. A release that started meanwhile waits. */
  isStillOwned(): boolean;
  end(): void;
}

/** Ranges with their epochs, for targets that check grants. */
export interface OwnershipGrant {
  readonly epoch: number;
  readonly leaseRemainingMs: number;
  readonly ranges?: ReadonlyArray<{startPosition: number; endPosition: number; epoch: number}>;
}

interface RunningEntry {
  readonly service: string;
  readonly position: number | undefined;
}

/** What this daemon may run, and what it is running. */
export class Ownership {
  private readonly running = new Set<RunningEntry>();
  private readonly releasing = new Map<string, Range>();
  private readonly idleWaiters = new Set<() => void>();

  constructor(
    private readonly lease: Lease,
    private readonly directory: Directory,
  ) {}

  /** Checks the lease and the range of `position`; without a position only the lease and the service. */
  check(service: string, position: number | undefined): OwnershipCheck {
    if (!this.lease.isValid()) return refused('LEASE_EXPIRED');
    const epoch = this.ownedEpoch(service, position);
    if (epoch === undefined) return refused('NOT_OWNER');
    const range = position === undefined ? undefined : this.directory.range(service, position);
    if (range && this.releasing.has(releaseKey(service, range))) return refused('RELEASING');
    return {owned: true, epoch};
  }

  /** Epoch under which this daemon owns the position now; `undefined` when it does not. */
  private ownedEpoch(service: string, position: number | undefined): number | undefined {
    if (!this.lease.isValid()) return undefined;
    const {sessionId} = this.lease;
    if (position === undefined) {
      return this.directory.session(sessionId)?.service === service ? 0 : undefined;
    }
    const range = this.directory.range(service, position);
    return range?.ownerSessionId === sessionId ? range.epoch : undefined;
  }

  /** Checks and, when owned, counts the request as accepted until it leaves. */
  beginRequest(service: string, position: number | undefined): RunningRequest | OwnershipRefusal {
    const check = this.check(service, position);
    if (!check.owned) return check.refusal;
    const entry: RunningEntry = {service, position};
    this.running.add(entry);
    return {
      epoch: check.epoch,
      isStillOwned: () => this.ownedEpoch(service, position) === check.epoch,
      end: () => this.leave(entry),
    };
  }

  /** What the local target may work on for the next `leaseRemainingMs`. */
  createGrant(leaseRemainingMs: number): OwnershipGrant {
    const {sessionId} = this.lease;
    const service = this.directory.session(sessionId)?.service;
    const table = service === undefined ? undefined : this.directory.ranges(service);
    if (service === undefined || !table) return {epoch: sessionId, leaseRemainingMs};
    const ranges = table.all.flatMap((range, index) => {
      const owned = range.ownerSessionId === sessionId;
      if (!owned || this.releasing.has(releaseKey(service, range))) return [];
      const {startPosition, epoch} = range;
      return [{startPosition, endPosition: table.endOf(index), epoch}];
    });
    // Every change of the directory has a higher index, so later grants have higher epochs.
    return {epoch: this.directory.appliedIndex, leaseRemainingMs, ranges};
  }

  /** From now on no request enters the range. Returns whether this call started the release. */
  startRelease(service: string, range: Range): boolean {
    const key = releaseKey(service, range);
    if (this.releasing.has(key)) return false;
    this.releasing.set(key, range);
    return true;
  }

  /** Admits requests again, or forgets a release that has finished. */
  endRelease(service: string, range: Range): void {
    this.releasing.delete(releaseKey(service, range));
  }

  /** Resolves when no running request lies in [fromPosition, toPosition); rejects on abort. */
  async waitUntilIdle(
    service: string,
    fromPosition: number,
    toPosition: number,
    signal: AbortSignal,
  ): Promise<void> {
    const inside = (entry: RunningEntry): boolean =>
      entry.service === service &&
      entry.position !== undefined &&
      entry.position >= fromPosition &&
      entry.position < toPosition;
    while ([...this.running].some(inside)) await this.nextLeave(signal);
  }

  /** Resolves when nothing runs on the local target; rejects on abort. */
  async waitUntilAllIdle(signal: AbortSignal): Promise<void> {
    while (this.running.size > 0) await this.nextLeave(signal);
  }

  private leave(entry: RunningEntry): void {
    if (!this.running.delete(entry)) return;
    for (const wake of this.idleWaiters) wake();
    this.idleWaiters.clear();
  }

  private nextLeave(signal: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal.aborted) return reject(signal.reason);
      const onAbort = (): void => reject(signal.reason);
      signal.addEventListener('abort', onAbort, {once: true});
      this.idleWaiters.add(() => {
        signal.removeEventListener('abort', onAbort);
        resolve();
      });
    });
  }
}

function refused(refusal: OwnershipRefusal): OwnershipCheck {
  return {owned: false, refusal};
}

function releaseKey(service: string, {startPosition, epoch}: Range): string {
  return `${service} ${startPosition} ${epoch}`;
}
