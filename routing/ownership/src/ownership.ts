import type {Directory} from '@medlarlane/directory';
import type {Range} from '@medlarlane/model';
import type {Lease} from './lease.js';

/** Reason why this daemon may not run a request now. In all of these cases the request has not run. */
export type OwnershipRefusal = 'LEASE_EXPIRED' | 'NOT_OWNER' | 'RELEASING';

export type OwnershipCheck =
  | {readonly owned: true; readonly epoch: number}
  | {readonly owned: false; readonly refusal: OwnershipRefusal};

/** A request that this daemon has accepted. `end` must be called when it has ended. */
export interface RunningRequest {
  readonly epoch: number;
  /**
   * Whether the position is still owned under the same epoch; the last check before the request is sent
   * to the target. A release that has started since waits for the request.
   */
  isStillOwned(): boolean;
  end(): void;
}

/** Owned ranges with their epochs, for targets that check grants. */
export interface OwnershipGrant {
  readonly epoch: number;
  readonly leaseRemainingMs: number;
  readonly ranges?: ReadonlyArray<{startPosition: number; endPosition: number; epoch: number}>;
}

interface RunningRequestEntry {
  readonly service: string;
  readonly position: number | undefined;
}

/** Checks which requests this daemon may run and tracks the running ones. */
export class Ownership {
  private readonly running = new Set<RunningRequestEntry>();
  private readonly releasing = new Map<string, Range>();
  private readonly endListeners = new Set<() => void>();

  constructor(
    private readonly lease: Lease,
    private readonly directory: Directory,
  ) {}

  /** Checks the lease and the owner of `position`; without a position only the lease and the service. */
  check(service: string, position: number | undefined): OwnershipCheck {
    if (!this.lease.isValid()) return refuse('LEASE_EXPIRED');
    const epoch = this.ownedEpoch(service, position);
    if (epoch === undefined) return refuse('NOT_OWNER');
    const range = position === undefined ? undefined : this.directory.range(service, position);
    if (range && this.releasing.has(releaseKey(service, range))) return refuse('RELEASING');
    return {owned: true, epoch};
  }

  /** Returns the epoch under which this daemon owns the position now; `undefined` if it does not. */
  private ownedEpoch(service: string, position: number | undefined): number | undefined {
    if (!this.lease.isValid()) return undefined;
    const {sessionId} = this.lease;
    if (position === undefined) {
      return this.directory.session(sessionId)?.service === service ? 0 : undefined;
    }
    const range = this.directory.range(service, position);
    return range?.ownerSessionId === sessionId ? range.epoch : undefined;
  }

  /** Checks the ownership and, when owned, tracks the request until `end` is called. */
  beginRequest(service: string, position: number | undefined): RunningRequest | OwnershipRefusal {
    const check = this.check(service, position);
    if (!check.owned) return check.refusal;
    const entry: RunningRequestEntry = {service, position};
    this.running.add(entry);
    return {
      epoch: check.epoch,
      isStillOwned: () => this.ownedEpoch(service, position) === check.epoch,
      end: () => this.endEntry(entry),
    };
  }

  /** Returns the grant of the local target for the next `leaseRemainingMs`. */
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
    // Each directory change increases the index, so later grants have higher epochs.
    return {epoch: this.directory.appliedIndex, leaseRemainingMs, ranges};
  }

  /** Stops the admission of requests for the range. Returns whether this call started the release. */
  startRelease(service: string, range: Range): boolean {
    const key = releaseKey(service, range);
    if (this.releasing.has(key)) return false;
    this.releasing.set(key, range);
    return true;
  }

  /** Ends a release that was cancelled, so that requests are admitted again, or one that has finished. */
  endRelease(service: string, range: Range): void {
    this.releasing.delete(releaseKey(service, range));
  }

  /** Resolves when no request is running in [fromPosition, toPosition); rejects on abort. */
  async waitUntilIdle(
    service: string,
    fromPosition: number,
    toPosition: number,
    signal: AbortSignal,
  ): Promise<void> {
    const isInRange = (entry: RunningRequestEntry): boolean =>
      entry.service === service &&
      entry.position !== undefined &&
      entry.position >= fromPosition &&
      entry.position < toPosition;
    while ([...this.running].some(isInRange)) await this.waitForNextEnd(signal);
  }

  /** Resolves when no request is running on the local target; rejects on abort. */
  async waitUntilAllIdle(signal: AbortSignal): Promise<void> {
    while (this.running.size > 0) await this.waitForNextEnd(signal);
  }

  private endEntry(entry: RunningRequestEntry): void {
    if (!this.running.delete(entry)) return;
    for (const wake of this.endListeners) wake();
    this.endListeners.clear();
  }

  private waitForNextEnd(signal: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal.aborted) return reject(signal.reason);
      const onAbort = (): void => reject(signal.reason);
      signal.addEventListener('abort', onAbort, {once: true});
      this.endListeners.add(() => {
        signal.removeEventListener('abort', onAbort);
        resolve();
      });
    });
  }
}

function refuse(refusal: OwnershipRefusal): OwnershipCheck {
  return {owned: false, refusal};
}

function releaseKey(service: string, {startPosition, epoch}: Range): string {
  return `${service} ${startPosition} ${epoch}`;
}
