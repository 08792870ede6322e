import type {RecordedResponse} from '@medlarlane/dedupe';
import {targetResponseHeaders} from './headers.js';
import type {ResponseHeaders} from './headers.js';
import type {ResponseObserver} from './relay.js';

// Equal to the largest response that the idempotency table keeps.
const MAX_BODY_BYTES = 4096;

/** Records the response to a non-repeatable request, unless it is too large to keep. */
export class ResponseRecorder implements ResponseObserver {
  private status = 0;
  private headers: Array<readonly [string, string]> = [];
  private chunks: Buffer[] = [];
  private bodyBytes = 0;

  start(status: number, headers: ResponseHeaders): void {
    this.status = status;
    this.headers = Object.entries(targetResponseHeaders(headers)).flatMap(([name, value]) =>
      [value].flat().map((one) => [name, String(one)] as const),
    );
  }

  chunk(chunk: Buffer): void {
    this.bodyBytes += chunk.length;
    if (this.bodyBytes > MAX_BODY_BYTES) this.chunks = [];
    else this.chunks.push(chunk);
  }

  /** The response, or `undefined` when it is too large. */
  get response(): RecordedResponse | undefined {
    if (this.bodyBytes > MAX_BODY_BYTES) return undefined;
    return {status: this.status, headers: this.headers, body: Buffer.concat(this.chunks)};
  }
}
