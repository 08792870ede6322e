import type {IdempotencyTable} from '@medlarlane/dedupe';
import type {Directory} from '@medlarlane/directory';
import type {Range} from '@medlarlane/model';
import type {Lease} from '@medlarlane/ownership';
import {moveIdOf} from './handOverRecords.js';

interface OwnedRange {
  readonly startPosition: number;
  readonly endPosition: number;
  readonly epoch: number;
}

export interface IdempotencyRangeSyncOptions {
  readonly directory: Directory;
  readonly lease: Lease;
  readonly idempotency: IdempotencyTable;
}

/**
 * Updates the idempotency table with the ranges that this daemon owns and whether their records were
 * handed over. Must run in the same event loop turn in which the ownership check sees a new owner.
 */
export class IdempotencyRangeSync {
  private sessionId = 0;
  private ownedRanges: readonly OwnedRange[] = [];
  /** Ranges that are being moved to this daemon, by start position. */
  private incomingRanges = new Map<number, Range>();

  constructor(private readonly opts: IdempotencyRangeSyncOptions) {}

  update(): void {
    const {directory, lease} = this.opts;
    if (lease.sessionId !== this.sessionId) this.reset(lease.sessionId);
    const service = directory.session(this.sessionId)?.service;
    if (service === undefined) return;
    const owned = this.listOwnedRanges(service);
    this.addGainedRanges(service, owned);
    this.ownedRanges = owned;
    this.updateIncoming(service);
  }

  /** Discards the handover of a move to this daemon that was cancelled. */
  private discardImport(service: string, from: number): void {
    const table = this.opts.directory.ranges(service);
    if (!table) return;
    const to = table.endOf(table.indexOf(from));
    this.opts.idempotency.discardImport({service, from, to});
  }

  private reset(sessionId: number): void {
    this.opts.idempotency.releaseAll();
    this.sessionId = sessionId;
    this.ownedRanges = [];
    this.incomingRanges.clear();
  }

  private listOwnedRanges(service: string): OwnedRange[] {
    const table = this.opts.directory.ranges(service);
    if (!table) return [];
    return table.all.flatMap(({ownerSessionId, startPosition, epoch}, index) =>
      ownerSessionId === this.sessionId
        ? [{startPosition, endPosition: table.endOf(index), epoch}]
        : [],
    );
  }

  private addGainedRanges(service: string, owned: readonly OwnedRange[]): void {
    const {idempotency} = this.opts;
    for (const gained of owned) {
      if (this.wasOwned(gained)) continue;
      const {startPosition: from, endPosition: to} = gained;
      const incomingRange = this.incomingRanges.get(from);
      const range = {service, from, to};
      if (incomingRange && this.isPreviousOwnerActive(incomingRange)) {
        idempotency.acceptMove({...range, moveId: moveIdOf(incomingRange)});
      } else {
        idempotency.takeOver(range);
      }
    }
  }

  /**
   * Whether this daemon has owned the whole range without interruption. A range merged from owned ranges
   * has the newest of their epochs; a range that was lost and regained has a newer one.
   */
  private wasOwned({startPosition, endPosition, epoch}: OwnedRange): boolean {
    let coveredTo = startPosition;
    let newestEpoch = 0;
    for (const previous of this.ownedRanges) {
      if (previous.endPosition <= coveredTo || previous.startPosition > coveredTo) continue;
      coveredTo = previous.endPosition;
      newestEpoch = Math.max(newestEpoch, previous.epoch);
      if (coveredTo >= endPosition) return epoch <= newestEpoch;
    }
    return false;
  }

  /**
   * Whether the previous owner still has its session. Otherwise it may have run requests after its
   * handover.
   */
  private isPreviousOwnerActive(range: Range): boolean {
    return this.opts.directory.session(range.ownerSessionId) !== undefined;
  }

  private updateIncoming(service: string): void {
    const ranges = this.opts.directory.ranges(service)?.all ?? [];
    const incoming = new Map(
      ranges
        .filter(({nextSessionId}) => nextSessionId === this.sessionId)
        .map((range) => [range.startPosition, range] as const),
    );
    for (const [from] of this.incomingRanges) {
      if (!incoming.has(from)) this.discardImport(service, from);
    }
    this.incomingRanges = incoming;
  }
}
