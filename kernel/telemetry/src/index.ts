export {createMetrics} from './createMetrics.js';
export type {CreateMetricsOptions, Metrics} from './createMetrics.js';
export {createTracer} from './createTracer.js';
export type {
  CreateTracerOptions,
  HeaderValues,
  HopSpan,
  SpanAttributes,
  Tracer,
} from './createTracer.js';
export {METRICS} from './metricTable.js';
export type {MetricDefinition, MetricName} from './metricTable.js';
