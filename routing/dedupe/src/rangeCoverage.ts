/** A range of positions whose runs are recorded, and since when. */
export interface CoveredRange {
  readonly from: number;
  /** End, exclusive. */
  readonly to: number;
  /** Ids created before this wall time may have run at an earlier owner without a record. */
  readonly horizonMs: number;
  /** Whether the range is being handed over, so that no run may begin. */
  readonly paused: boolean;
}

/** Sorted, non-overlapping ranges of one service in which this daemon may begin runs. */
export class RangeCoverage {
  private ranges: CoveredRange[] = [];

  find(position: number): CoveredRange | undefined {
    let low = 0;
    let high = this.ranges.length - 1;
    while (low <= high) {
      const middle = (low + high) >> 1;
      const range = this.ranges[middle]!;
      if (position < range.from) high = middle - 1;
      else if (position >= range.to) low = middle + 1;
      else return range;
    }
    return undefined;
  }

  /** Returns the covered parts of [from, to). */
  within(from: number, to: number): CoveredRange[] {
    return this.ranges
      .filter((range) => range.from < to && range.to > from)
      .map((range) => ({
        ...range,
        from: Math.max(range.from, from),
        to: Math.min(range.to, to),
      }));
  }

  /** Replaces the coverage of [from, to) by `parts`, which must lie inside it. */
  replace(from: number, to: number, parts: readonly CoveredRange[]): void {
    const outside = [
      ...this.within(Number.NEGATIVE_INFINITY, from),
      ...this.within(to, Number.POSITIVE_INFINITY),
    ];
    this.ranges = mergeAdjacent([...outside, ...parts].sort((a, b) => a.from - b.from));
  }
}

function mergeAdjacent(ranges: readonly CoveredRange[]): CoveredRange[] {
  const merged: CoveredRange[] = [];
  for (const range of ranges) {
    const last = merged.at(-1);
    const isMergeable =
      last?.to === range.from && last.horizonMs === range.horizonMs && last.paused === range.paused;
    if (last && isMergeable) merged[merged.length - 1] = {...last, to: range.to};
    else merged.push(range);
  }
  return merged;
}
