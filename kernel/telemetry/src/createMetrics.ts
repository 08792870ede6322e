import {collectDefaultMetrics, Counter, Gauge, Histogram, Registry} from 'prom-client';
import {METRICS} from './metricTable.js';
import type {MetricDefinition, MetricName} from './metricTable.js';

export interface CreateMetricsOptions {
  /** Adds the runtime metrics of Node.js: CPU, memory, event loop and garbage collection. */
  readonly includeRuntimeMetrics?: boolean;
}

type InstrumentOf<D extends MetricDefinition> = D['kind'] extends 'counter'
  ? Counter<D['labels'][number]>
  : D['kind'] extends 'gauge'
    ? Gauge<D['labels'][number]>
    : Histogram<D['labels'][number]>;

/** The instruments of `METRICS` by key, and their registry. */
export type Metrics = {
  readonly [K in MetricName]: InstrumentOf<(typeof METRICS)[K]>;
} & {
  readonly registry: Registry;
  /** Returns the exposition for `GET /metrics`. */
  expose(): Promise<{contentType: string; text: string}>;
};

/** Creates the instruments of one process in their own registry. */
export function createMetrics(opts: CreateMetricsOptions = {}): Metrics {
  const registry = new Registry();
  if (opts.includeRuntimeMetrics) collectDefaultMetrics({register: registry});
  const instruments = Object.fromEntries(
    Object.entries<MetricDefinition>(METRICS).map(([key, row]) => [
      key,
      createInstrument(row, registry),
    ]),
  );
  return {
    ...instruments,
    registry,
    expose: async () => ({contentType: registry.contentType, text: await registry.metrics()}),
  } as Metrics;
}

function createInstrument(row: MetricDefinition, registry: Registry): Counter | Gauge | Histogram {
  const common = {
    name: row.name,
    help: row.help,
    labelNames: [...row.labels],
    registers: [registry],
  };
  switch (row.kind) {
    case 'counter':
      return new Counter(common);
    case 'gauge':
      return new Gauge(common);
    case 'histogram':
      return new Histogram({...common, buckets: [...(row.buckets ?? [])]});
  }
}
