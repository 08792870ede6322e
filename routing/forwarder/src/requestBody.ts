import type {IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';
import {MedlarlaneError} from '@medlarlane/errors';
import type {Clock} from '@medlarlane/lifecycle';

// Covers nearly all request bodies. Uploads are larger and are streamed.
const REPLAY_LIMIT_BYTES = 65_536;

/**
 * The body of a caller's request. A small body is buffered, so that it can be sent again after a refusal;
 * a large one is streamed and can be sent only once.
 */
export class RequestBody {
  private constructor(
    private readonly buffered: Buffer | undefined,
    private readonly prefix: readonly Buffer[],
    private readonly remaining: Readable | undefined,
  ) {}

  private streamStarted = false;

  /**
   * Reads until the body ends or exceeds the limit.
   * @throws MedlarlaneError `CANCELLED` when the caller disconnects, `DEADLINE_EXCEEDED`.
   */
  static async read(
    request: IncomingMessage,
    deadlineMs: number,
    clock: Clock,
  ): Promise<RequestBody> {
    if (!hasBody(request)) return new RequestBody(undefined, [], undefined);
    const chunks: Buffer[] = [];
    let bytes = 0;
    for (;;) {
      const chunk = await nextChunk(request, deadlineMs - clock.nowMs());
      if (chunk === undefined) return new RequestBody(Buffer.concat(chunks), [], undefined);
      chunks.push(chunk);
      bytes += chunk.length;
      if (bytes > REPLAY_LIMIT_BYTES) return new RequestBody(undefined, chunks, request);
    }
  }

  /** Whether the body can be sent (again). */
  get isReplayable(): boolean {
    return !this.streamStarted;
  }

  get isStreamed(): boolean {
    return this.remaining !== undefined;
  }

  /**
   * The first bytes, for a digest. Their number does not depend on how the body was split into chunks,
   * which differs between resends.
   */
  get firstBytes(): Buffer {
    return this.buffered ?? Buffer.concat(this.prefix).subarray(0, REPLAY_LIMIT_BYTES);
  }

  /** Size of a buffered body; `undefined` for a streamed one. */
  get bufferedBytes(): number | undefined {
    return this.remaining ? undefined : (this.buffered?.length ?? 0);
  }

  /** Returns the body for one attempt; `null` when there is none. */
  open(): Buffer | Readable | null {
    if (!this.remaining) return this.buffered ?? null;
    this.streamStarted = true;
    return Readable.from(this.stream(this.remaining), {objectMode: false});
  }

  private async *stream(remaining: Readable): AsyncGenerator<Buffer> {
    yield* this.prefix;
    // Throws when the caller disconnects before the end of the body, which resets the upstream
    // connection. When upstream stops reading, the caller's connection stays open for the response.
    for await (const chunk of remaining.iterator({destroyOnReturn: false})) yield chunk as Buffer;
  }
}

function hasBody(request: IncomingMessage): boolean {
  const {headers} = request;
  return (
    headers['transfer-encoding'] !== undefined ||
    (headers['content-length'] !== undefined && headers['content-length'] !== '0')
  );
}

/** Returns the next chunk, or `undefined` at the end; rejects on disconnect and on timeout. */
function nextChunk(request: IncomingMessage, timeoutMs: number): Promise<Buffer | undefined> {
  return new Promise((resolve, reject) => {
    const onTimeout = (): void => settle(() => reject(new MedlarlaneError('DEADLINE_EXCEEDED')));
    const timer = setTimeout(onTimeout, timeoutMs);
    const settle = (complete: () => void): void => {
      clearTimeout(timer);
      request
        .off('readable', tryRead)
        .off('end', onEnd)
        .off('error', onError)
        .off('close', onClose);
      complete();
    };
    const tryRead = (): void => {
      const chunk = request.read() as Buffer | null;
      if (chunk !== null) settle(() => resolve(chunk));
      else if (request.readableEnded) onEnd();
    };
    const onEnd = (): void => settle(() => resolve(undefined));
    const onError = (cause: Error): void => settle(() => reject(disconnectError(cause)));
    const onClose = (): void => settle(() => reject(disconnectError(undefined)));
    request.on('readable', tryRead).on('end', onEnd).on('error', onError).on('close', onClose);
    if (request.readableEnded) onEnd();
    else if (request.destroyed) onClose();
    else tryRead();
  });
}

function disconnectError(cause: Error | undefined): MedlarlaneError {
  return new MedlarlaneError('CANCELLED', 'Caller closed the connection', {ran: 'no', cause});
}
