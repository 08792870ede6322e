import {intersection, overlaps, without} from './keyRange.js';
import type {KeyRange} from './keyRange.js';

/** Keys that an incarnation released but that the control leader still assigns to it. */
export interface ReleasedKeyRange extends KeyRange {
  /** Proof of the release, or an empty string. */
  readonly handover: string;
  /** 0 when the keys were released without a transfer. */
  readonly transferId: number;
  /** Fencing token of the assignment that the keys were released from. */
  readonly epoch: number;
}

/** A request of the leader to move keys that carry a fraction of the target's requests. */
export interface RequestedTransfer {
  readonly transferId: number;
  readonly share: number;
}

/** A key range that a transfer moves to another target. */
interface OutgoingKeyRange extends KeyRange {
  readonly transferId: number;
}

interface KeyRelease extends KeyRange {
  readonly handover: string;
  readonly epoch: number;
}

/**
 * The keys of one incarnation that were released or are being transferred to another target. They are
 * not granted to the incarnation again.
 */
export class OutgoingKeys {
  private releases: KeyRelease[] = [];
  private transferredRanges: OutgoingKeyRange[] = [];

  /** Whether the leader still assigns released keys to this incarnation. */
  get hasPendingReleases(): boolean {
    return this.releases.length > 0;
  }

  /** Key ranges that transfers are to move to other targets. */
  get outgoingRanges(): readonly KeyRange[] {
    return this.transferredRanges;
  }

  get released(): ReleasedKeyRange[] {
    return this.releases.flatMap(({fromKey, toKey, handover, epoch}) =>
      this.splitByTransfer({fromKey, toKey}).map((part) => ({...part, handover, epoch})),
    );
  }

  hasHandover(handover: string): boolean {
    return this.releases.some((other) => other.handover === handover);
  }

  addRelease(range: KeyRange, release: {handover: string; epoch: number}): void {
    this.releases.push({...range, ...release});
  }

  /**
   * Removes releases whose keys the leader has assigned anew, to another incarnation or, after an
   * evacuation, to this one again.
   */
  retainAssigned(assigned: ReadonlyArray<KeyRange & {readonly epoch: number}>): void {
    this.releases = this.releases.filter((release) =>
      assigned.some((range) => overlaps(range, release) && range.epoch <= release.epoch),
    );
  }

  /** Removes transfers that the leader has cancelled or completed. Returns those without keys so far. */
  retainTransfers(transfers: readonly RequestedTransfer[]): RequestedTransfer[] {
    this.transferredRanges = this.transferredRanges.filter(({transferId}) =>
      transfers.some((transfer) => transfer.transferId === transferId),
    );
    return transfers.filter(
      ({transferId}) => !this.transferredRanges.some((range) => range.transferId === transferId),
    );
  }

  addTransfer(transferId: number, range: KeyRange | undefined): void {
    // An empty range records that no keys could be selected, so that the transfer is not tried again.
    this.transferredRanges.push({transferId, ...(range ?? {fromKey: 0, toKey: -1})});
  }

  /** Returns the parts of a key range that the target keeps. */
  remainingRanges({fromKey, toKey}: KeyRange): KeyRange[] {
    let parts: KeyRange[] = [{fromKey, toKey}];
    for (const excluded of [...this.releases, ...this.transferredRanges]) {
      parts = parts.flatMap((part) =>
        overlaps(part, excluded) ? without(part, excluded) : [part],
      );
    }
    return parts;
  }

  /** Clears the state for a new incarnation, which has no keys to release. */
  reset(): void {
    this.releases = [];
    this.transferredRanges = [];
  }

  private splitByTransfer(released: KeyRange): Array<KeyRange & {transferId: number}> {
    const parts: Array<KeyRange & {transferId: number}> = [];
    let remaining = [released];
    for (const outgoing of this.transferredRanges) {
      remaining = remaining.flatMap((part) => {
        const overlap = intersection(part, outgoing);
        if (!overlap) return [part];
        parts.push({...overlap, transferId: outgoing.transferId});
        return without(part, outgoing);
      });
    }
    return [...parts, ...remaining.map((part) => ({...part, transferId: 0}))];
  }
}
