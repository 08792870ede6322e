import type {Clock} from '@medlarlane/lifecycle';
import type {LoadedTarget, Transfer} from './planTransfers.js';

export interface PendingTransfer extends Transfer {
  readonly service: string;
  /** Requests per second that the moved keys carried when the transfer was planned. */
  readonly movedRps: number;
  readonly startedAtMs: number;
}

interface CompletedTransfer extends PendingTransfer {
  readonly completedAtMs: number;
}

/** A transfer takes up to two heartbeats of the target; it is abandoned after this time. */
const TRANSFER_TIMEOUT_MS = 4_000;
/**
 * A target releases the keys of all its transfers at the same time, so a transfer that is still pending this
 * long after the first release of a source got no keys.
 */
const UNFULFILLED_AFTER_MS = 500;
/** Time after a release until the source reports its load without the released keys. */
const SOURCE_SETTLING_MS = 400;
/** Time after an assignment until the new owner has served the keys long enough to measure their load. */
const DESTINATION_SETTLING_MS = 1_000;
/**
 * Moved keys are not served for up to three heartbeats, and hot stretches last 4 to 5 s, so correcting the rest
 * of an imbalance right after a move costs more requests than it gains.
 */
const MOVED_RECENTLY_MS = 4_000;
/** Time constant of the measured loads, in which they include the load of newly assigned keys. */
const LOAD_DECAY_MS = 1_500;

/**
 * Transfers of one leadership term that are pending or have completed recently. Corrects the reported loads
 * for them, so that targets that no transfer involves can be planned for meanwhile.
 */
export class TransferLedger {
  private lastId = 0;
  private readonly pending = new Map<number, PendingTransfer>();
  private completed: CompletedTransfer[] = [];

  constructor(private readonly clock: Clock) {}

  /** Number of transfers whose keys have not been released yet. */
  get pendingCount(): number {
    return this.pending.size;
  }

  /** Returns the id of the new transfer. */
  add(transfer: Transfer & {service: string; movedRps: number}): number {
    this.lastId += 1;
    this.pending.set(this.lastId, {...transfer, startedAtMs: this.clock.nowMs()});
    return this.lastId;
  }

  /** Records that the source has released keys. Returns the transfer, if it is still pending. */
  complete(transferId: number): PendingTransfer | undefined {
    const transfer = this.pending.get(transferId);
    if (!transfer) return undefined;
    this.pending.delete(transferId);
    this.completed.push({...transfer, completedAtMs: this.clock.nowMs()});
    return transfer;
  }

  /** Lists the transfers that are requested from a target. */
  requestedFrom(life: string | undefined): Array<{transferId: number; share: number}> {
    return [...this.pending]
      .filter(([, {fromLife}]) => fromLife === life)
      .map(([transferId, {share}]) => ({transferId, share}));
  }

  /** Must be called regularly. */
  removeExpired(): void {
    const nowMs = this.clock.nowMs();
    for (const [transferId, {fromLife, startedAtMs}] of this.pending) {
      const isUnfulfilled = this.completed.some(
        (other) =>
          other.fromLife === fromLife &&
          other.startedAtMs === startedAtMs &&
          nowMs - other.completedAtMs > UNFULFILLED_AFTER_MS,
      );
      if (isUnfulfilled || nowMs - startedAtMs > TRANSFER_TIMEOUT_MS) {
        this.pending.delete(transferId);
      }
    }
    this.completed = this.completed.filter(
      ({completedAtMs}) => nowMs - completedAtMs < MOVED_RECENTLY_MS,
    );
  }

  /** Returns the targets with the loads that they will have once their transfers have taken effect. */
  correctLoads(targets: readonly LoadedTarget[]): LoadedTarget[] {
    const nowMs = this.clock.nowMs();
    const addedRps = new Map<string, number>();
    const add = (life: string, rps: number): void => {
      addedRps.set(life, (addedRps.get(life) ?? 0) + rps);
    };
    const settling = new Set<string>();
    const moved = new Set(this.completed.flatMap(({fromLife, toLife}) => [fromLife, toLife]));
    for (const {fromLife, toLife, movedRps} of this.pending.values()) {
      settling.add(fromLife).add(toLife);
      add(fromLife, -movedRps);
      add(toLife, movedRps);
    }
    for (const {fromLife, toLife, movedRps, completedAtMs} of this.completed) {
      const ageMs = nowMs - completedAtMs;
      if (ageMs < SOURCE_SETTLING_MS) settling.add(fromLife);
      if (ageMs < DESTINATION_SETTLING_MS) settling.add(toLife);
      add(toLife, movedRps * Math.exp(-ageMs / LOAD_DECAY_MS));
    }
    return targets.map((target) => ({
      ...target,
      offeredRps: Math.max(0, target.offeredRps + (addedRps.get(target.life) ?? 0)),
      isSettling: settling.has(target.life),
      hasMovedKeys: moved.has(target.life),
    }));
  }
}
