import type {MedlarlaneError} from '@medlarlane/errors';
import type {HeaderValues, HopSpan} from '@medlarlane/telemetry';

const TRACE_HEADERS = new Set(['traceparent', 'tracestate']);

/**
 * Sets `span` as the parent of the next hop in a flat list of headers. Without tracing, the caller's
 * trace headers are kept unchanged.
 */
export function withTraceHeaders(headers: string[], span: HopSpan): string[] {
  const injected: HeaderValues = {};
  span.inject(injected);
  const names = Object.keys(injected);
  if (names.length === 0) return headers;
  const others: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index]!;
    if (!TRACE_HEADERS.has(name.toLowerCase())) others.push(name, headers[index + 1]!);
  }
  return [...others, ...names.flatMap((name) => [name, String(injected[name])])];
}

/** Ends the span of a hop with the status or the error of the request. */
export function endSpan(span: HopSpan, status: number, error: MedlarlaneError | undefined): void {
  if (span.isRecording) span.setAttributes({'http.response.status_code': status});
  if (error) span.setError(error.code);
  span.end();
}
