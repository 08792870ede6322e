import {collectDefaultMetrics, Counter, Gauge, Histogram, Registry} from 'prom-client';
import {METRICS} from './metricTable.js';
import type {MetricDefinition, MetricName} from './metricTable.js';

export interface CreateMetricsOptions {
  /** Adds the metrics of the runtime: processor, memory, event loop, garbage collection. */
  readonly includeRuntimeMetrics?: boolean;
}

type InstrumentOf<D extends MetricDefinition> = D['kind'] extends 'counter'
  ? Counter<D['labels'][number]>
  : D['kind'] extends 'gauge'
    ? Gauge<D['labels'][number]>
    : Histogram<D['labels'][number]>;

/** The instruments of the table by name, and their registry. */
export type Metrics = {
  readonly [K in MetricName]: InstrumentOf<(typeof METRICS)[K]>;
} & {
  readonly registry: Registry;
  /** The exposition for `GET /metrics`. */
  expose(): Promise<{contentType: string; text: string}>;
};

/** Creates the instruments of one process in a registry of their own. */
export function createMetrics(opts: CreateMetricsOptions = {}): Metrics {
  const registry = new Registry();
  if (opts.includeRuntimeMetrics) collectDefaultMetrics({register: registry});
  const instruments = Object.fromEntries(
    Object.entries<MetricDefinition>(METRICS).map(([key, row]) => [key, create(row, registry)]),
  );
  return {
    ...instruments,
    registry,
    expose: async () => ({contentType: registry.contentType, text: await registry.metrics()}),
  } as Metrics;
}

function create(row: MetricDefinition, registry: Registry): Counter | Gauge | Histogram {
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
