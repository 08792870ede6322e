import {POSITION_END, type Range} from '@medlarlane/model';

export interface MergeRangesOptions {
  /** Ranges that may remain; above this number, neighbours of the same owner are merged. */
  readonly maxRanges: number;
}

/**
 * Merges neighbouring ranges of the same owner, the narrowest first, until at most `maxRanges`
 * remain or no neighbours can be merged. Without this, each hot key that cools down leaves two
 * further ranges behind. Ranges that are being moved and ranges without an owner stay as they are.
 *
 * A merged range has the higher epoch of its parts. Pure and deterministic, for use in the
 * replicated state machine.
 */
export function mergeRanges(ranges: readonly Range[], opts: MergeRangesOptions): Range[] {
  const surplus = ranges.length - opts.maxRanges;
  if (surplus <= 0) return [...ranges];
  const narrowestFirst = mergeableStarts(ranges)
    .sort((a, b) => a.width - b.width || a.at - b.at)
    .slice(0, surplus);
  const dropped = new Set(narrowestFirst.map(({at}) => at));
  const merged: Range[] = [];
  for (const [at, range] of ranges.entries()) {
    const last = merged.at(-1);
    if (last && dropped.has(at)) {
      merged[merged.length - 1] = {...last, epoch: Math.max(last.epoch, range.epoch)};
    } else {
      merged.push(range);
    }
  }
  return merged;
}

/** Indexes of ranges that can join their predecessor, with the width of the narrower of the two. */
function mergeableStarts(ranges: readonly Range[]): Array<{at: number; width: number}> {
  const starts: Array<{at: number; width: number}> = [];
  for (let at = 1; at < ranges.length; at++) {
    const range = ranges[at]!;
    const previous = ranges[at - 1]!;
    if (range.ownerSessionId !== previous.ownerSessionId || range.ownerSessionId === 0) continue;
    if (range.nextSessionId !== 0 || previous.nextSessionId !== 0) continue;
    const end = ranges[at + 1]?.startPosition ?? POSITION_END;
    const width = Math.min(end - range.startPosition, range.startPosition - previous.startPosition);
    starts.push({at, width});
  }
  return starts;
}
