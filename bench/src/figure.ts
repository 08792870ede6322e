/** One measured figure of a bench. */
export interface Figure {
  /** Dotted name, unique across benches, for example `imbalance.servers-5.settled`. */
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  readonly bound?: number;
  /** Whether the value meets the bound. */
  readonly pass?: boolean;
  /** Measured points from which the value is derived, for plots. */
  readonly points?: ReadonlyArray<readonly [x: number, y: number]>;
  readonly pointsX?: string;
}

export interface BenchOptions {
  /** Number of repetitions, each with its own seed in benches that use seeds. */
  readonly trials: number;
}

export interface Bench {
  /** `count`: deterministic; `timed`: depends on the machine; `slope`: cost per unit, for capacity. */
  readonly kind: 'count' | 'timed' | 'slope';
  readonly description: string;
  /** Trials when the command line sets none; default 3. */
  readonly defaultTrials?: number;
  readonly run: (opts: BenchOptions) => Figure[] | Promise<Figure[]>;
}

/** Creates a figure that must not exceed its bound. */
export function atMost(name: string, value: number, unit: string, bound: number): Figure {
  return {name, value, unit, bound, pass: value <= bound};
}

/** Creates a figure that must not fall below its bound. */
export function atLeast(name: string, value: number, unit: string, bound: number): Figure {
  return {name, value, unit, bound, pass: value >= bound};
}

/** Rounds to four significant digits. */
export function roundFigure(value: number): number {
  return Number(value.toPrecision(4));
}
