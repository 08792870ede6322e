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
 * Tells the idempotency table which ranges this daemon owns, and whether their records were handed
 * over. Must be updated in the same turn in which the ownership check sees a new owner.
 */
export class IdempotencyRangeSync {
  private sessionId = 0;
  private owned: readonly OwnedRange[] = [];
  /** Ranges that are being moved to this daemon, by start position. */
  private incoming = new Map<number, Range>();

  constructor(private readonly opts: IdempotencyRangeSyncOptions) {}

  update(): void {
    const {directory, lease} = this.opts;
    if (lease.sessionId !== this.sessionId) this.reset(lease.sessionId);
    const service = directory.session(this.sessionId)?.service;
    if (service === undefined) return;
    const owned = this.collectOwned(service);
    this.coverNew(service, owned);
    this.owned = owned;
    this.noteIncoming(service);
  }

  /** Forgets what was handed over for a move that did not finish here. */
  private discardImport(service: string, from: number): void {
    const table = this.opts.directory.ranges(service);
    if (!table) return;
    const to = table.endOf(table.indexOf(from));
    this.opts.idempotency.discardImport({service, from, to});
  }

  private reset(sessionId: number): void {
    this.opts.idempotency.releaseAll();
    this.sessionId = sessionId;
    this.owned = [];
    this.incoming.clear();
  }

  private collectOwned(service: string): OwnedRange[] {
    const table = this.opts.directory.ranges(service);
    if (!table) return [];
    return table.all.flatMap(({ownerSessionId, startPosition, epoch}, index) =>
      ownerSessionId === this.sessionId
        ? [{startPosition, endPosition: table.endOf(index), epoch}]
        : [],
    );
  }

  private coverNew(service: string, owned: readonly OwnedRange[]): void {
    const {idempotency} = this.opts;
    for (const gained of owned) {
      if (this.wasOwned(gained)) continue;
      const {startPosition: from, endPosition: to} = gained;
      const before = this.incoming.get(from);
      const range = {service, from, to};
      if (before && this.isPlanned(before)) {
        idempotency.acceptMove({...range, moveId: moveIdOf(before)});
      } else {
        idempotency.takeOver(range);
      }
    }
  }

  /**
   * Whether this daemon has owned the whole range without interruption. A merge of own ranges gives
   * the newest of their epochs; a range that was lost and regained has a newer one.
   */
  private wasOwned({startPosition, endPosition, epoch}: OwnedRange): boolean {
    let coveredTo = startPosition;
    let newestEpoch = 0;
    for (const before of this.owned) {
      if (before.endPosition <= coveredTo || before.startPosition > coveredTo) continue;
      coveredTo = before.endPosition;
      newestEpoch = Math.max(newestEpoch, before.epoch);
      if (coveredTo >= endPosition) return epoch <= newestEpoch;
    }
    return false;
  }

  /** When the earlier owner has ended, it may have run requests after its handover. */
  private isPlanned(before: Range): boolean {
    return this.opts.directory.session(before.ownerSessionId) !== undefined;
  }

  private noteIncoming(service: string): void {
    const ranges = this.opts.directory.ranges(service)?.all ?? [];
    const incoming = new Map(
      ranges
        .filter(({nextSessionId}) => nextSessionId === this.sessionId)
        .map((range) => [range.startPosition, range] as const),
    );
    for (const [from] of this.incoming) {
      if (!incoming.has(from)) this.discardImport(service, from);
    }
    this.incoming = incoming;
  }
}
