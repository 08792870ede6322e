/** A field that differs. `undefined` means that the field is absent. */
export interface Difference {
  /** Dotted path. */
  readonly path: string;
  readonly before?: unknown;
  readonly after?: unknown;
}

/** Compares two JSON values field by field; arrays are compared as a whole. */
export function diffValues(before: unknown, after: unknown, path = ''): Difference[] {
  if (isRecord(before) && isRecord(after)) {
    const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
    return names.flatMap((name) =>
      diffValues(before[name], after[name], path === '' ? name : `${path}.${name}`),
    );
  }
  if (JSON.stringify(before) === JSON.stringify(after)) return [];
  return [{path, before, after}];
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
