import type http from 'node:http';

const EMPTY_BODY = Buffer.alloc(0);
/** A longer body of known length is received into its final buffer, so that it is not held twice at its end. */
const MIN_PREALLOCATED_BYTES = 262_144;

/**
 * Reads the whole body of a message. Uses plain events, because an async iterator costs several
 * times as much for the short bodies of most messages.
 * @throws Error when the body exceeds `maxBytes` (`code` is `BODY_TOO_LARGE`) or is truncated.
 */
export function readMessageBody(message: http.IncomingMessage, maxBytes: number): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const body = new BodyBuffer(Number(message.headers['content-length']), maxBytes);
    message.on('data', (chunk: Buffer) => {
      if (body.add(chunk)) return;
      message.removeAllListeners('data');
      reject(Object.assign(new Error('Body is too large'), {code: 'BODY_TOO_LARGE'}));
    });
    message.on('end', () => {
      if (!message.complete) reject(new Error('Body is truncated'));
      else resolve(body.take());
    });
    message.on('error', reject);
    message.on('close', () => reject(new Error('Body is truncated')));
  });
}

/** The bytes of a body while it is received. */
class BodyBuffer {
  private readonly chunks: Buffer[] = [];
  private readonly whole: Buffer | undefined;
  private sizeBytes = 0;

  constructor(
    statedBytes: number,
    private readonly maxBytes: number,
  ) {
    const isKnown = statedBytes >= MIN_PREALLOCATED_BYTES && statedBytes <= maxBytes;
    if (isKnown) this.whole = Buffer.allocUnsafeSlow(statedBytes);
  }

  /** Returns false if the body is too large. */
  add(chunk: Buffer): boolean {
    const start = this.sizeBytes;
    this.sizeBytes += chunk.length;
    if (this.sizeBytes > (this.whole?.length ?? this.maxBytes)) return false;
    if (this.whole) chunk.copy(this.whole, start);
    else this.chunks.push(chunk);
    return true;
  }

  take(): Buffer {
    if (this.whole) return this.whole.subarray(0, this.sizeBytes);
    const [first, ...others] = this.chunks;
    if (!first) return EMPTY_BODY;
    return others.length === 0 ? first : Buffer.concat(this.chunks);
  }
}
