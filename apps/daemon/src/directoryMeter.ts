import type {Directory} from '@medlarlane/directory';
import type {Clock} from '@medlarlane/lifecycle';
import {POSITION_END} from '@medlarlane/model';
import type {Range} from '@medlarlane/model';
import type {Metrics} from '@medlarlane/telemetry';

type MoveCause = 'planned' | 'loss';

export interface DirectoryMeterOptions {
  readonly directory: Directory;
  readonly metrics: Metrics;
  readonly clock: Clock;
}

/**
 * Measures ownership changes, and the time during which positions have no owner, from the
 * directory.
 */
export class DirectoryMeter {
  private readonly rangesByService = new Map<string, readonly Range[]>();
  private readonly unownedByService = new Map<string, {unownedFraction: number; sinceMs: number}>();

  constructor(private readonly opts: DirectoryMeterOptions) {
    opts.directory.onChange(() => this.update());
  }

  /** Updates the metrics, including the time without an owner up to now. */
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
    const previous = this.unownedByService.get(service);
    if (previous && previous.unownedFraction > 0) {
      const elapsedS = (nowMs - previous.sinceMs) / 1000;
      this.opts.metrics.unavailableSeconds.inc({service}, previous.unownedFraction * elapsedS);
    }
    const unownedFraction = ranges.reduce(
      (sum, {ownerSessionId}, index) =>
        ownerSessionId === 0 ? sum + rangeFraction(ranges, index) : sum,
      0,
    );
    this.unownedByService.set(service, {unownedFraction, sinceMs: nowMs});
  }

  private countMoves(service: string, previous: readonly Range[], ranges: readonly Range[]): void {
    const {metrics} = this.opts;
    let previousIndex = 0;
    ranges.forEach((range, index) => {
      while (
        previousIndex + 1 < previous.length &&
        previous[previousIndex + 1]!.startPosition <= range.startPosition
      ) {
        previousIndex += 1;
      }
      const previousRange = previous[previousIndex];
      if (!previousRange || previousRange.ownerSessionId === range.ownerSessionId) return;
      // The first assignment of a range is not a change of owner.
      if (previousRange.ownerSessionId === 0) return;
      const cause = this.causeOf(previousRange.ownerSessionId);
      metrics.movedRanges.inc({service, cause});
      metrics.movedShare.inc({service, cause}, rangeFraction(ranges, index));
    });
  }

  private causeOf(previousOwnerSessionId: number): MoveCause {
    return this.opts.directory.session(previousOwnerSessionId) ? 'planned' : 'loss';
  }
}

function rangeFraction(ranges: readonly Range[], index: number): number {
  const endPosition = ranges[index + 1]?.startPosition ?? POSITION_END;
  return (endPosition - ranges[index]!.startPosition) / POSITION_END;
}
