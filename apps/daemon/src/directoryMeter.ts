import type {Directory} from '@medlarlane/directory';
import type {Clock} from '@medlarlane/lifecycle';
import {POSITION_END} from '@medlarlane/model';
import type {Range} from '@medlarlane/model';
import type {Metrics} from '@medlarlane/telemetry';

type Cause = 'planned' | 'loss';

export interface DirectoryMeterOptions {
  readonly directory: Directory;
  readonly metrics: Metrics;
  readonly clock: Clock;
}

/** Counts changes of owners, and the time during which positions have none, as the directory shows them. */
export class DirectoryMeter {
  private readonly rangesByService = new Map<string, readonly Range[]>();
  private readonly unownedByService = new Map<string, {share: number; sinceMs: number}>();

  constructor(private readonly opts: DirectoryMeterOptions) {
    opts.directory.onChange(() => this.update());
  }

  /** Adds the time without owner up to now. */
  update(): void {
    for (const [service] of this.opts.directory.services) {
      const ranges = this.opts.directory.ranges(service)?.all ?? [];
      this.countUnowned(service, ranges);
      const previous = this.rangesByService.get(service);
      this.rangesByService.set(service, ranges);
      if (previous && previous !== ranges) this.countMoves(service, previous, ranges);
    }
  }

  private countUnowned(service: string, ranges: readonly Range[]): void {
    const nowMs = this.opts.clock.nowMs();
    const before = this.unownedByService.get(service);
    if (before && before.share > 0) {
      const elapsedS = (nowMs - before.sinceMs) / 1000;
      this.opts.metrics.unavailableSeconds.inc({service}, before.share * elapsedS);
    }
    const share = ranges.reduce(
      (sum, {ownerSessionId}, index) => (ownerSessionId === 0 ? sum + shareOf(ranges, index) : sum),
      0,
    );
    this.unownedByService.set(service, {share, sinceMs: nowMs});
  }

  private countMoves(service: string, previous: readonly Range[], ranges: readonly Range[]): void {
    const {metrics} = this.opts;
    let at = 0;
    ranges.forEach((range, index) => {
      while (at + 1 < previous.length && previous[at + 1]!.startPosition <= range.startPosition) {
        at += 1;
      }
      const before = previous[at];
      if (!before || before.ownerSessionId === range.ownerSessionId) return;
      // The first owner of a range is no change of owner.
      if (before.ownerSessionId === 0) return;
      const cause = this.causeOf(before.ownerSessionId);
      metrics.movedRanges.inc({service, cause});
      metrics.movedShare.inc({service, cause}, shareOf(ranges, index));
    });
  }

  private causeOf(previousOwner: number): Cause {
    return this.opts.directory.session(previousOwner) ? 'planned' : 'loss';
  }
}

function shareOf(ranges: readonly Range[], index: number): number {
  const endPosition = ranges[index + 1]?.startPosition ?? POSITION_END;
  return (endPosition - ranges[index]!.startPosition) / POSITION_END;
}
