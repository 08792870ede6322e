/** What the table knows of the ids of a range of positions. */
export interface CoveredRange {
  readonly from: number;
  /** End, exclusive. */
  readonly to: number;
  /** Ids created before this wall time may have run at an earlier owner although no record shows it. */
  readonly horizonMs: number;
  /** Whether the range is being handed over, so that no run may begin. */
  readonly paused: boolean;
}

/** Ranges of one service for which this daemon may begin runs: sorted, without overlap. */
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

  /** The covered parts of [from, to). */
  within(from: number, to: number): CoveredRange[] {
    return this.ranges
      .filter((range) => range.from < to && range.to > from)
      .map((range) => ({
        ...range,
        from: Math.max(range.from, from),
        to: Math.min(range.to, to),
      }));
  }

  /** Replaces what is known of [from, to) by `parts`, which lie inside it. */
  replace(from: number, to: number, parts: readonly CoveredRange[]): void {
    const outside = [
      ...this.within(Number.NEGATIVE_INFINITY, from),
      ...this.within(to, Number.POSITIVE_INFINITY),
    ];
    this.ranges = joinNeighbours([...outside, ...parts].sort((a, b) => a.from - b.from));
  }
}

function joinNeighbours(ranges: readonly CoveredRange[]): CoveredRange[] {
  const joined: CoveredRange[] = [];
  for (const range of ranges) {
    const last = joined.at(-1);
    const joins =
      last?.to === range.from && last.horizonMs === range.horizonMs && last.paused === range.paused;
    if (last && joins) joined[joined.length - 1] = {...last, to: range.to};
    else joined.push(range);
  }
  return joined;
}
