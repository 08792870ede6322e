import {POSITION_END} from '@medlarlane/model';
import type {Range} from '@medlarlane/model';

/** The sorted ranges of one service. They cover [0, POSITION_END) without gaps. */
export class RangeTable {
  private ranges: readonly Range[];

  constructor(ranges: readonly Range[]) {
    this.ranges = ranges;
  }

  get all(): readonly Range[] {
    return this.ranges;
  }

  find(position: number): Range | undefined {
    return this.ranges[this.indexOf(position)];
  }

  /** End of the range at `index`, exclusive. */
  endOf(index: number): number {
    return this.ranges[index + 1]?.startPosition ?? POSITION_END;
  }

  /** Index of the range that contains `position`, or -1 in an empty table. */
  indexOf(position: number): number {
    return rangeIndexAt(this.ranges, position);
  }

  /** Splits ranges so that one starts at each of the positions. All parts keep owner and epoch. */
  splitAt(...positions: readonly number[]): void {
    const sorted = positions
      .filter((position) => position > 0 && position < POSITION_END)
      .sort((a, b) => a - b);
    let next = 0;
    // A single pass, because a plan may split many ranges of a table with tens of thousands of them.
    this.ranges = this.ranges.flatMap((range, index) => {
      const parts = [range];
      const endPosition = this.endOf(index);
      while (next < sorted.length && sorted[next]! < endPosition) {
        const startPosition = sorted[next]!;
        if (startPosition > parts.at(-1)!.startPosition) parts.push({...range, startPosition});
        next += 1;
      }
      return parts;
    });
  }

  /** Replaces all ranges that start in [fromPosition, toPosition). */
  replace(fromPosition: number, toPosition: number, replacement: readonly Range[]): void {
    const first = this.ranges.findIndex(({startPosition}) => startPosition >= fromPosition);
    const from = first < 0 ? this.ranges.length : first;
    let to = from;
    while (to < this.ranges.length && this.ranges[to]!.startPosition < toPosition) to++;
    this.ranges = this.ranges.toSpliced(from, to - from, ...replacement);
  }

  /**
   * Replaces ranges by the result of `transform`, which returns the same object for an unchanged range.
   * Returns the changes; adjacent changed ranges are combined into one change.
   */
  update(transform: (range: Range, index: number) => Range): RangeChange[] {
    const changes: RangeChange[] = [];
    let previousChangedIndex = -2;
    const updated = this.ranges.map((range, index) => {
      const next = transform(range, index);
      if (next === range) return range;
      const endPosition = this.endOf(index);
      const last = changes.at(-1);
      if (last && previousChangedIndex === index - 1) {
        last.ranges.push(next);
        last.toPosition = endPosition;
      } else {
        changes.push({
          fromPosition: range.startPosition,
          toPosition: endPosition,
          ranges: [next],
        });
      }
      previousChangedIndex = index;
      return next;
    });
    this.ranges = updated;
    return changes;
  }
}

/** Index of the range that contains `position` in ranges sorted by start, or -1 if there is none. */
export function rangeIndexAt(ranges: readonly Range[], position: number): number {
  let low = 0;
  let high = ranges.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (ranges[middle]!.startPosition <= position) low = middle + 1;
    else high = middle;
  }
  return low - 1;
}

/** A span of positions and the ranges that now cover it. */
export interface RangeChange {
  fromPosition: number;
  toPosition: number;
  ranges: Range[];
}

/** Creates equally sized ranges without owner over the whole position space. */
export function evenRanges(count: number): Range[] {
  return Array.from({length: count}, (_, index) => ({
    startPosition: Math.floor((POSITION_END / count) * index),
    ownerSessionId: 0,
    nextSessionId: 0,
    epoch: 0,
  }));
}
