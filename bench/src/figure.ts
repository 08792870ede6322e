/** One measured figure. `pass` says whether `value` keeps `bound`. */
export interface Figure {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  readonly bound?: number;
  readonly pass?: boolean;
}

/** A figure that must not exceed `bound`. */
export function atMost(name: string, value: number, unit: string, bound: number): Figure {
  return {name, value, unit, bound, pass: value <= bound};
}
