import type {IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';

// Covers nearly all bookings and grants; uploads are larger and are streamed.
const REPLAY_LIMIT_BYTES = 65_536;

/**
 * The body of a caller's request. A small body is held, so that it can be sent again after a refusal;
 * a large one is streamed and can be sent once.
 */
export class RequestBody {
  private constructor(
    private readonly held: Buffer | undefined,
    private readonly prefix: readonly Buffer[],
    private readonly rest: Readable | undefined,
  ) {}

  private streamStarted = false;

  /** Reads until the body ends or exceeds the limit. */
  static async read(request: IncomingMessage): Promise<RequestBody> {
    if (!hasBody(request)) return new RequestBody(undefined, [], undefined);
    const chunks: Buffer[] = [];
    let bytes = 0;
    for (;;) {
      const chunk = await nextChunk(request);
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
    return this.rest !== undefined;
  }

  /** The first bytes, for a digest. */
  get firstBytes(): Buffer {
    return this.held ?? this.prefix[0] ?? Buffer.alloc(0);
  }

  /** The body for one attempt; `null` when there is none. */
  open(): Buffer | Readable | null {
    if (!this.rest) return this.held ?? null;
    this.streamStarted = true;
    return Readable.from(this.stream(this.rest), {objectMode: false});
  }

  private async *stream(rest: Readable): AsyncGenerator<Buffer> {
    yield* this.prefix;
    // A caller that goes away in the middle makes this throw, which resets the onward connection.
    for await (const chunk of rest) yield chunk as Buffer;
  }
}

function hasBody(request: IncomingMessage): boolean {
  const {headers} = request;
  return (
    headers['transfer-encoding'] !== undefined ||
    (headers['content-length'] !== undefined && headers['content-length'] !== '0')
  );
}

/** Returns the next chunk, or `undefined` at the end; rejects when the caller goes away. */
function nextChunk(request: IncomingMessage): Promise<Buffer | undefined> {
  return new Promise((resolve, reject) => {
    const settle = (act: () => void): void => {
      request
        .off('readable', tryRead)
        .off('end', onEnd)
        .off('error', onError)
        .off('close', onClose);
      act();
    };
    const tryRead = (): void => {
      const chunk = request.read() as Buffer | null;
      if (chunk !== null) settle(() => resolve(chunk));
      else if (request.readableEnded) onEnd();
    };
    const onEnd = (): void => settle(() => resolve(undefined));
    const onError = (error: Error): void => settle(() => reject(error));
    const onClose = (): void => settle(() => reject(new Error('Caller closed the connection')));
    request.on('readable', tryRead).on('end', onEnd).on('error', onError).on('close', onClose);
    if (request.readableEnded) onEnd();
    else if (request.destroyed) onClose();
    else tryRead();
  });
}
