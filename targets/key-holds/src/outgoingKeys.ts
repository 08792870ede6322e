import {intersection, overlaps, without} from './keyRange.js';
import type {KeyRange} from './keyRange.js';

/** Keys that a life gave back and that still count as its own at the control leader. */
export interface ReleasedKeyRange extends KeyRange {
  /** Proof of the release, or empty. */
  readonly handover: string;
  /** 0 when the keys were given back without a transfer. */
  readonly transferId: number;
}

/** A stretch that a transfer takes away. */
interface LeavingStretch extends KeyRange {
  readonly transferId: number;
}

interface GivenBackStretch extends KeyRange {
  readonly handover: string;
}

/** The keys of one life that are on their way to another target; none of them is granted again. */
export class DepartingKeys {
  private givenBack: GivenBackStretch[] = [];
  private leavingStretches: LeavingStretch[] = [];

  /** Whether the leader has still to take keys that were given back. */
  get hasGivenBack(): boolean {
    return this.givenBack.length > 0;
  }

  /** What transfers are to take away. */
  get leaving(): readonly KeyRange[] {
    return this.leavingStretches;
  }

  get released(): ReleasedKeyRange[] {
    return this.givenBack.flatMap(({fromKey, toKey, handover}) =>
      this.splitByTransfer({fromKey, toKey}).map((part) => ({...part, handover})),
    );
  }

  hasHandover(handover: string): boolean {
    return this.givenBack.some((other) => other.handover === handover);
  }

  takeBack(stretch: KeyRange, handover: string): void {
    this.givenBack.push({...stretch, handover});
  }

  /** Forgets what no longer belongs to this life. */
  keepAssigned(assigned: readonly KeyRange[]): void {
    this.givenBack = this.givenBack.filter((stretch) =>
      assigned.some((range) => overlaps(range, stretch)),
    );
  }

  /** Picks the keys for new transfers and forgets those that the leader gave up or has carried out. */
  takeTransfers(
    transfers: ReadonlyArray<{transferId: number; share: number}>,
    pick: (transfer: {transferId: number; share: number}) => KeyRange | undefined,
  ): void {
    this.leavingStretches = this.leavingStretches.filter(({transferId}) =>
      transfers.some((transfer) => transfer.transferId === transferId),
    );
    for (const transfer of transfers) {
      const {transferId} = transfer;
      if (this.leavingStretches.some((stretch) => stretch.transferId === transferId)) continue;
      // An empty stretch marks the transfer as looked at.
      this.leavingStretches.push({
        transferId,
        ...(pick(transfer) ?? {fromKey: 0, toKey: -1}),
      });
    }
  }

  /** The parts of a stretch that the target is to keep. */
  remaining({fromKey, toKey}: KeyRange): KeyRange[] {
    let parts: KeyRange[] = [{fromKey, toKey}];
    for (const gone of [...this.givenBack, ...this.leavingStretches]) {
      parts = parts.flatMap((part) => (overlaps(part, gone) ? without(part, gone) : [part]));
    }
    return parts;
  }

  /** Another life has nothing to give back. */
  reset(): void {
    this.givenBack = [];
    this.leavingStretches = [];
  }

  private splitByTransfer(freed: KeyRange): Array<KeyRange & {transferId: number}> {
    const parts: Array<KeyRange & {transferId: number}> = [];
    let rest = [freed];
    for (const stretch of this.leavingStretches) {
      rest = rest.flatMap((part) => {
        const common = intersection(part, stretch);
        if (!common) return [part];
        parts.push({...common, transferId: stretch.transferId});
        return without(part, stretch);
      });
    }
    return [...parts, ...rest.map((part) => ({...part, transferId: 0}))];
  }
}
