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

/** Header values in the form that node:http uses. */
export type HeaderValues = Record<string, string | string[] | number | undefined>;

export type SpanAttributes = Record<string, string | number | boolean>;

export interface CreateTracerOptions {
  /** Base URL of an OTLP/HTTP collector; empty disables tracing. */
  readonly otlpUrl: string;
  /** Fraction of the traces started by this process that are recorded, in [0, 1]. */
  readonly sampleRatio: number;
  /** Name of this program in the traces. */
  readonly serviceName: string;
}

/** A span for one hop of a request. */
export interface HopSpan {
  /** Whether the span is recorded. Expensive attributes need to be computed only then. */
  readonly isRecording: boolean;
  /**
   * Sets `traceparent` (and `tracestate`) for the next hop. Does nothing when tracing is disabled.
   */
  inject(headers: HeaderValues): void;
  startChild(name: string, attributes?: SpanAttributes): HopSpan;
  setAttributes(attributes: SpanAttributes): void;
  /** Marks the span as failed with an error code. */
  setError(code: string): void;
  end(): void;
}

export interface Tracer {
  /** Starts the span of a hop. Its parent is the span in the trace headers of `headers`, if any. */
  startHopSpan(name: string, headers: HeaderValues, attributes?: SpanAttributes): HopSpan;
  /** Sends the buffered spans. */
  flush(): Promise<void>;
  close(): Promise<void>;
}

/**
 * Creates the tracer of a process. With an empty `otlpUrl`, all spans are one shared no-op object.
 */
export function createTracer(opts: CreateTracerOptions): Tracer {
  if (opts.otlpUrl === '') return NOOP_TRACER;
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
      return new OtelHopSpan(tracer, parent, name, SpanKind.SERVER, attributes);
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

class OtelHopSpan implements HopSpan {
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
    return new OtelHopSpan(this.tracer, this.context, name, SpanKind.CLIENT, attributes);
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

const NOOP_SPAN: HopSpan = Object.freeze({
  isRecording: false,
  inject: () => undefined,
  startChild: () => NOOP_SPAN,
  setAttributes: () => undefined,
  setError: () => undefined,
  end: () => undefined,
});

const NOOP_TRACER: Tracer = Object.freeze({
  startHopSpan: () => NOOP_SPAN,
  flush: () => Promise.resolve(),
  close: () => Promise.resolve(),
});

function tracesUrl(otlpUrl: string): string {
  const base = otlpUrl.replace(/\/+$/, '');
  return base.endsWith(TRACES_PATH) ? base : `${base}${TRACES_PATH}`;
}
