import type {IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';
import {MedlarlaneError} from '@medlarlane/errors';
import type {Clock} from '@medlarlane/lifecycle';

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

  /**
   * Reads until the body ends or exceeds the limit.
   * @throws MedlarlaneError `CANCELLED` when the caller goes away, `DEADLINE_EXCEEDED`.
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
    return this.rest !== undefined;
  }

  /**
   * The first bytes, for a digest. Their number does not depend on how the body was cut into chunks,
   * which differs from one resend to the next.
   */
  get firstBytes(): Buffer {
    return this.held ?? Buffer.concat(this.prefix).subarray(0, REPLAY_LIMIT_BYTES);
  }

  /** Bytes of a body that is held; `undefined` for one that is streamed. */
  get heldBytes(): number | undefined {
    return this.rest ? undefined : (this.held?.length ?? 0);
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
    // When the onward side stops reading, the caller's connection stays open for the answer.
    for await (const chunk of rest.iterator({destroyOnReturn: false})) yield chunk as Buffer;
  }
}

function hasBody(request: IncomingMessage): boolean {
  const {headers} = request;
  return (
    headers['transfer-encoding'] !== undefined ||
    (headers['content-length'] !== undefined && headers['content-length'] !== '0')
  );
}

/** Returns the next chunk, or `undefined` at the end; rejects when the caller goes away or is late. */
function nextChunk(request: IncomingMessage, timeoutMs: number): Promise<Buffer | undefined> {
  return new Promise((resolve, reject) => {
    const onTimeout = (): void => settle(() => reject(new MedlarlaneError('DEADLINE_EXCEEDED')));
    const timer = setTimeout(onTimeout, timeoutMs);
    const settle = (act: () => void): void => {
      clearTimeout(timer);
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
    const onError = (cause: Error): void => settle(() => reject(callerGone(cause)));
    const onClose = (): void => settle(() => reject(callerGone(undefined)));
    request.on('readable', tryRead).on('end', onEnd).on('error', onError).on('close', onClose);
    if (request.readableEnded) onEnd();
    else if (request.destroyed) onClose();
    else tryRead();
  });
}

function callerGone(cause: Error | undefined): MedlarlaneError {
  return new MedlarlaneError('CANCELLED', 'Caller closed the connection', {ran: 'no', cause});
}
