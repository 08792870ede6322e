import {ROOT_CONTEXT, SpanKind, SpanStatusCode, trace} from '@opentelemetry/api';
import type {Context, Span, TextMapGetter, Tracer as OtelTracer} from '@opentelemetry/api';
import {W3CTraceContextPropagator} from '@opentelemetry/core';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {resourceFromAttributes} from '@opentelemetry/resources';
import {
  BatchSpanProcessor,
  NodeTracerProvider,
  ParentBasedSampler,
  TraceIdRatioBasedSampler,
} from '@opentelemetry/sdk-trace-node';

const TRACES_PATH = '/v1/traces';

/** Header values as node:http gives and takes them. */
export type HeaderValues = Record<string, string | string[] | number | undefined>;

export type SpanAttributes = Record<string, string | number | boolean>;

export interface CreateTracerOptions {
  /** Base URL of an OTLP HTTP collector; empty: no tracing. */
  readonly otlpUrl: string;
  /** Share of traces that start here and are recorded, in [0, 1]. */
  readonly sampleRatio: number;
  /** Name of this program in the traces. */
  readonly serviceName: string;
}

/** The span of one hop of a request. */
export interface HopSpan {
  /** Whether the span is recorded; costly attributes are worth computing only then. */
  readonly isRecording: boolean;
  /** Writes `traceparent` (and `tracestate`) for the next hop. Without tracing it writes nothing. */
  inject(headers: HeaderValues): void;
  startChild(name: string, attributes?: SpanAttributes): HopSpan;
  setAttributes(attributes: SpanAttributes): void;
  /** Marks the span as failed with an error code. */
  setError(code: string): void;
  end(): void;
}

export interface Tracer {
  /** Starts the span of a hop; its parent is the one that `headers` name, if any. */
  startHopSpan(name: string, headers: HeaderValues, attributes?: SpanAttributes): HopSpan;
  /** Sends what is buffered. */
  flush(): Promise<void>;
  close(): Promise<void>;
}

/** Creates the tracer of a process. Without `otlpUrl`, spans are one shared object that does nothing. */
export function createTracer(opts: CreateTracerOptions): Tracer {
  if (opts.otlpUrl === '') return NO_TRACER;
  const exporter = new OTLPTraceExporter({url: tracesUrl(opts.otlpUrl)});
  const provider = new NodeTracerProvider({
    resource: resourceFromAttributes({'service.name': opts.serviceName}),
    sampler: new ParentBasedSampler({root: new TraceIdRatioBasedSampler(opts.sampleRatio)}),
    spanProcessors: [new BatchSpanProcessor(exporter)],
  });
  const tracer = provider.getTracer('medlarlane');
  return {
    startHopSpan: (name, headers, attributes = {}) => {
      const parent = PROPAGATOR.extract(ROOT_CONTEXT, headers, HEADER_GETTER);
      return new RecordedSpan(tracer, parent, name, SpanKind.SERVER, attributes);
    },
    flush: () => provider.forceFlush(),
    close: () => provider.shutdown(),
  };
}

const PROPAGATOR = new W3CTraceContextPropagator();

const HEADER_GETTER: TextMapGetter<HeaderValues> = {
  keys: (headers) => Object.keys(headers),
  get: (headers, name) => {
    const value = headers[name];
    return typeof value === 'number' ? String(value) : value;
  },
};

const HEADER_SETTER = {
  set: (headers: HeaderValues, name: string, value: string): void => {
    headers[name] = value;
  },
};

class RecordedSpan implements HopSpan {
  private readonly span: Span;
  private readonly context: Context;

  constructor(
    private readonly tracer: OtelTracer,
    parent: Context,
    name: string,
    kind: SpanKind,
    attributes: SpanAttributes,
  ) {
    this.span = tracer.startSpan(name, {kind, attributes}, parent);
    this.context = trace.setSpan(parent, this.span);
  }

  get isRecording(): boolean {
    return this.span.isRecording();
  }

  inject(headers: HeaderValues): void {
    PROPAGATOR.inject(this.context, headers, HEADER_SETTER);
  }

  startChild(name: string, attributes: SpanAttributes = {}): HopSpan {
    return new RecordedSpan(this.tracer, this.context, name, SpanKind.CLIENT, attributes);
  }

  setAttributes(attributes: SpanAttributes): void {
    this.span.setAttributes(attributes);
  }

  setError(code: string): void {
    this.span.setStatus({code: SpanStatusCode.ERROR, message: code});
  }

  end(): void {
    this.span.end();
  }
}

const NO_SPAN: HopSpan = Object.freeze({
  isRecording: false,
  inject: () => undefined,
  startChild: () => NO_SPAN,
  setAttributes: () => undefined,
  setError: () => undefined,
  end: () => undefined,
});

const NO_TRACER: Tracer = Object.freeze({
  startHopSpan: () => NO_SPAN,
  flush: () => Promise.resolve(),
  close: () => Promise.resolve(),
});

function tracesUrl(otlpUrl: string): string {
  const base = otlpUrl.replace(/\/+$/, '');
  return base.endsWith(TRACES_PATH) ? base : `${base}${TRACES_PATH}`;
}
