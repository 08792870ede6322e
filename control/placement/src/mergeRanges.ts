import {POSITION_END, type Range} from '@medlarlane/model';

export interface MergeRangesOptions {
  /** Above this number of ranges, adjacent ranges of the same owner are merged. */
  readonly maxRanges: number;
}

/**
 * Merges adjacent ranges of the same owner, the narrowest first, until at most `maxRanges` remain or
 * no more can be merged. Without this, each former hot key would leave two additional ranges. Ranges
 * that are being moved and unowned ranges are not merged.
 *
 * A merged range has the highest epoch of its parts. Pure and deterministic, for use in the
 * replicated state machine.
 */
export function mergeRanges(ranges: readonly Range[], opts: MergeRangesOptions): Range[] {
  const surplus = ranges.length - opts.maxRanges;
  if (surplus <= 0) return [...ranges];
  const narrowestFirst = mergeableStarts(ranges)
    .sort((a, b) => a.width - b.width || a.index - b.index)
    .slice(0, surplus);
  const mergedIndexes = new Set(narrowestFirst.map(({index}) => index));
  const merged: Range[] = [];
  for (const [index, range] of ranges.entries()) {
    const last = merged.at(-1);
    if (last && mergedIndexes.has(index)) {
      merged[merged.length - 1] = {...last, epoch: Math.max(last.epoch, range.epoch)};
    } else {
      merged.push(range);
    }
  }
  return merged;
}

/** Indexes of ranges that can be merged with their predecessor, with the width of the narrower of the two. */
function mergeableStarts(ranges: readonly Range[]): Array<{index: number; width: number}> {
  const starts: Array<{index: number; width: number}> = [];
  for (let index = 1; index < ranges.length; index++) {
    const range = ranges[index]!;
    const previous = ranges[index - 1]!;
    if (range.ownerSessionId !== previous.ownerSessionId || range.ownerSessionId === 0) continue;
    if (range.nextSessionId !== 0 || previous.nextSessionId !== 0) continue;
    const end = ranges[index + 1]?.startPosition ?? POSITION_END;
    const width = Math.min(end - range.startPosition, range.startPosition - previous.startPosition);
    starts.push({index, width});
  }
  return starts;
}
