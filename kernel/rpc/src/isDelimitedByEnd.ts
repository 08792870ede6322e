const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
const FIRST_FINAL_STATUS = 200;
const CHUNKED_LAST = /(?:^|,)[ \t]*chunked[ \t]*$/i;

/** What tells how the body of a response is delimited. */
export interface ResponseFraming {
  /** Method of the request. */
  readonly method: string;
  readonly status: number;
  readonly contentLength: string | undefined;
  readonly transferEncoding: string | undefined;
}

/** Whether only the end of its connection ends the body of a response (RFC 9112, section 6.3). */
export function isDelimitedByEnd(framing: ResponseFraming): boolean {
  const {method, status, contentLength, transferEncoding} = framing;
  if (method === 'HEAD' || status < FIRST_FINAL_STATUS || BODILESS_STATUSES.has(status))
    return false;
  if (transferEncoding !== undefined) return !CHUNKED_LAST.test(transferEncoding);
  return contentLength === undefined;
}
