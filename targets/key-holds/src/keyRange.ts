/** A range of keys; both ends are inclusive. */
export interface KeyRange {
  readonly fromKey: number;
  readonly toKey: number;
}

/** Subtracts an overlapping range; returns the remaining parts. */
export function without(part: KeyRange, excluded: KeyRange): KeyRange[] {
  const left = {fromKey: part.fromKey, toKey: excluded.fromKey - 1};
  const right = {fromKey: excluded.toKey + 1, toKey: part.toKey};
  return [left, right].filter(({fromKey, toKey}) => fromKey <= toKey);
}

export function overlaps(a: KeyRange, b: KeyRange): boolean {
  return a.fromKey <= b.toKey && b.fromKey <= a.toKey;
}

/** Returns the keys that both ranges contain; `undefined` when there are none. */
export function intersection(a: KeyRange, b: KeyRange): KeyRange | undefined {
  if (!overlaps(a, b)) return undefined;
  return {fromKey: Math.max(a.fromKey, b.fromKey), toKey: Math.min(a.toKey, b.toKey)};
}

/** Whether the parts, which must not overlap each other, contain every key of `whole`. */
export function covers(parts: readonly KeyRange[], whole: KeyRange): boolean {
  const covered = parts.reduce((sum, part) => {
    const overlap = intersection(part, whole);
    return sum + (overlap ? overlap.toKey - overlap.fromKey + 1 : 0);
  }, 0);
  return covered === whole.toKey - whole.fromKey + 1;
}
