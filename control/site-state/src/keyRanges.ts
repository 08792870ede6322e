import {z} from 'zod';

/** Keys are the integers in [0, KEY_COUNT). */
export const KEY_COUNT = 65_536;

export const keyRangeSchema = z.object({
  fromKey: z.int(),
  /** Last key of the range, inclusive. */
  toKey: z.int(),
  /** Incarnation of the owning target, or empty while the range is unowned. */
  ownerLife: z.string(),
  /** Fencing token: the log index of the command that assigned the range to its owner. */
  epoch: z.int(),
  /** Proof that the previous owner released the range in an orderly way, or empty. */
  handover: z.string(),
});

/** A contiguous range of keys with one owner. */
export type KeyRange = z.infer<typeof keyRangeSchema>;

/** Replaces the keys that `next` covers in a list of ranges that covers all keys. */
export function replaceRange(ranges: readonly KeyRange[], next: KeyRange): KeyRange[] {
  return mergeAdjacent(replaceOverlappingRanges(ranges, [next]));
}

/** Replaces the overlapped parts of `ranges` with the changed ranges. Both lists are sorted by key. */
export function replaceOverlappingRanges(
  ranges: readonly KeyRange[],
  changed: readonly KeyRange[],
): KeyRange[] {
  const result: KeyRange[] = [...changed];
  let next = 0;
  for (const range of ranges) {
    let {fromKey} = range;
    while (next < changed.length && changed[next]!.toKey < fromKey) next += 1;
    for (let i = next; i < changed.length && changed[i]!.fromKey <= range.toKey; i += 1) {
      const overlap = changed[i]!;
      if (overlap.fromKey > fromKey) result.push({...range, fromKey, toKey: overlap.fromKey - 1});
      fromKey = overlap.toKey + 1;
    }
    if (fromKey <= range.toKey) result.push({...range, fromKey});
  }
  return result.sort((a, b) => a.fromKey - b.fromKey);
}

/** Merges adjacent ranges that one command assigned to the same owner. */
function mergeAdjacent(ranges: readonly KeyRange[]): KeyRange[] {
  const result: KeyRange[] = [];
  for (const range of ranges) {
    const last = result.at(-1);
    const isSameAssignment =
      last &&
      last.ownerLife === range.ownerLife &&
      last.epoch === range.epoch &&
      last.handover === range.handover;
    if (isSameAssignment) result[result.length - 1] = {...last, toKey: range.toKey};
    else result.push(range);
  }
  return result;
}
