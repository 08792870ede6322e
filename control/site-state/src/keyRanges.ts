import {z} from 'zod';

/** Keys are the integers in [0, KEY_COUNT). */
export const KEY_COUNT = 65_536;

export const keyRangeSchema = z.object({
  fromKey: z.int(),
  /** Inclusive. */
  toKey: z.int(),
  /** Life of the owning target, or empty while the range has no owner. */
  ownerLife: z.string(),
  /** Fencing token: the log index of the command that made the owner the owner. */
  epoch: z.int(),
  /** Proof of the orderly release by the previous owner, or empty. */
  handover: z.string(),
});

/** A stretch of keys with one owner. */
export type KeyRange = z.infer<typeof keyRangeSchema>;

/** Gives the stretch of `next` to its owner in a list of ranges that cover all keys. */
export function replaceStretch(ranges: readonly KeyRange[], next: KeyRange): KeyRange[] {
  return mergeEqual(replaceOverlappingRanges(ranges, [next]));
}

/** Puts ranges that changed in place of what they overlap; both lists are in the order of keys. */
export function replaceOverlappingRanges(
  ranges: readonly KeyRange[],
  changed: readonly KeyRange[],
): KeyRange[] {
  const result: KeyRange[] = [...changed];
  let next = 0;
  for (const range of ranges) {
    let {fromKey} = range;
    while (next < changed.length && changed[next]!.toKey < fromKey) next += 1;
    for (let at = next; at < changed.length && changed[at]!.fromKey <= range.toKey; at += 1) {
      const gone = changed[at]!;
      if (gone.fromKey > fromKey) result.push({...range, fromKey, toKey: gone.fromKey - 1});
      fromKey = gone.toKey + 1;
    }
    if (fromKey <= range.toKey) result.push({...range, fromKey});
  }
  return result.sort((a, b) => a.fromKey - b.fromKey);
}

/** Joins neighbours that one command gave to one owner. */
function mergeEqual(ranges: readonly KeyRange[]): KeyRange[] {
  const result: KeyRange[] = [];
  for (const range of ranges) {
    const last = result.at(-1);
    const same =
      last &&
      last.ownerLife === range.ownerLife &&
      last.epoch === range.epoch &&
      last.handover === range.handover;
    if (same) result[result.length - 1] = {...last, toKey: range.toKey};
    else result.push(range);
  }
  return result;
}
