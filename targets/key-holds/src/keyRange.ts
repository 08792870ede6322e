/** A stretch of keys; both ends belong to it. */
export interface KeyRange {
  readonly fromKey: number;
  readonly toKey: number;
}

/** What remains of a stretch when an overlapping one is taken out. */
export function without(part: KeyRange, gone: KeyRange): KeyRange[] {
  const left = {fromKey: part.fromKey, toKey: gone.fromKey - 1};
  const right = {fromKey: gone.toKey + 1, toKey: part.toKey};
  return [left, right].filter(({fromKey, toKey}) => fromKey <= toKey);
}

export function overlaps(a: KeyRange, b: KeyRange): boolean {
  return a.fromKey <= b.toKey && b.fromKey <= a.toKey;
}

/** The keys of both; `undefined` when there are none. */
export function intersection(a: KeyRange, b: KeyRange): KeyRange | undefined {
  if (!overlaps(a, b)) return undefined;
  return {fromKey: Math.max(a.fromKey, b.fromKey), toKey: Math.min(a.toKey, b.toKey)};
}

/** Whether every key of `whole` is in one of the parts, which do not overlap each other. */
export function covers(parts: readonly KeyRange[], whole: KeyRange): boolean {
  const covered = parts.reduce((sum, part) => {
    const common = intersection(part, whole);
    return sum + (common ? common.toKey - common.fromKey + 1 : 0);
  }, 0);
  return covered === whole.toKey - whole.fromKey + 1;
}
