import {CHUNK_WINDOW_BYTES} from '@medlarlane/peer-rpc';
import type {MemoryBudget, MemoryHold} from './memoryBudget.js';

/** `complete` only if every byte of the response was received. */
export type StreamEnd = 'complete' | 'broken';

/** What ended a stream before its last byte was received. */
export type StreamFailure =
  | 'source-closed'
  | 'source-excess'
  | 'peer-closed'
  | 'peer-silent'
  | 'request-aborted'
  | 'memory-budget'
  | 'reader-gone';

/** Receives a stream; bytes that it has finished with are reported by `take`. */
export interface StreamReader {
  onChunk(chunk: Uint8Array): void;
  /** Called once; after `broken`, chunks that were not taken yet are worthless. */
  onEnd(end: StreamEnd): void;
}

export interface ResponseStreamOptions {
  /** Length of the response body. */
  readonly lengthBytes: number;
  readonly budget: MemoryBudget;
  /** Called when the reader has finished with bytes, so that the source may send as many more. */
  readonly onTaken: (bytes: number) => void;
  /** Called when the stream breaks before its source has ended, so that the source can stop. */
  readonly onCancel: () => void;
}

/** Only longer responses are streamed; the others fit into two fragments of a peer connection. */
export const MIN_STREAMED_BYTES = 16_384;
/** A source may exceed its window by one read of a socket; one that sends more is faulty. */
const MAX_UNTAKEN_BYTES = 8 * CHUNK_WINDOW_BYTES;

/** The body of a large response while it is received. Its source stops while the window is full. */
export class ResponseStream {
  readonly lengthBytes: number;
  private readonly hold: MemoryHold;
  private readonly endListeners: Array<(end: StreamEnd) => void> = [];
  /** Chunks received before there is a reader. */
  private chunks: Uint8Array[] = [];
  private reader: StreamReader | undefined;
  private receivedBytes = 0;
  private takenBytes = 0;
  private end: StreamEnd | undefined;
  private failureCause: StreamFailure | undefined;

  constructor(private readonly opts: ResponseStreamOptions) {
    this.lengthBytes = opts.lengthBytes;
    this.hold = opts.budget.open({isReader: true, onCut: () => this.cancel('memory-budget')});
  }

  /** What broke the stream; `undefined` unless it is broken. */
  get failure(): StreamFailure | undefined {
    return this.failureCause;
  }

  get untakenBytes(): number {
    return this.receivedBytes - this.takenBytes;
  }

  /** Adds bytes from the source. */
  push(chunk: Uint8Array): void {
    if (this.end) return;
    this.receivedBytes += chunk.length;
    if (this.receivedBytes > this.lengthBytes || this.untakenBytes > MAX_UNTAKEN_BYTES) {
      this.cancel('source-excess');
      return;
    }
    this.hold.add(chunk.length);
    // The budget may have cut this stream off.
    if (this.isBroken) return;
    if (this.reader) this.reader.onChunk(chunk);
    else this.chunks.push(chunk);
  }

  /** Ends the stream; it is broken, for the given cause, unless its whole length was received. */
  finish(end: StreamEnd, failure: StreamFailure = 'source-closed'): void {
    if (this.end) return;
    this.end = this.receivedBytes === this.lengthBytes ? end : 'broken';
    if (this.isBroken) {
      this.failureCause = failure;
      this.hold.close();
      this.chunks = [];
    }
    for (const listener of this.endListeners) listener(this.end);
    this.deliverEnd();
  }

  /** Breaks the stream and stops its source, unless all bytes were received. */
  cancel(failure: StreamFailure = 'reader-gone'): void {
    if (this.end) {
      this.hold.close();
      return;
    }
    this.finish('broken', failure);
    this.opts.onCancel();
  }

  /** Calls `listener` once the source has sent its last byte or failed. */
  onSourceEnd(listener: (end: StreamEnd) => void): void {
    if (this.end) listener(this.end);
    else this.endListeners.push(listener);
  }

  /** Passes all chunks to the reader; may be called once. */
  read(reader: StreamReader): void {
    this.reader = reader;
    for (let chunk = this.chunks.shift(); chunk; chunk = this.chunks.shift()) reader.onChunk(chunk);
    this.deliverEnd();
  }

  /** Reports that the reader has finished with bytes. */
  take(bytes: number): void {
    this.takenBytes += bytes;
    this.hold.remove(bytes);
    if (!this.end) this.opts.onTaken(bytes);
    else if (this.untakenBytes === 0) this.hold.close();
  }

  private deliverEnd(): void {
    // The chunks that were received before there was a reader come first.
    if (!this.end || !this.reader || this.chunks.length > 0) return;
    const {reader} = this;
    this.reader = undefined;
    reader.onEnd(this.end);
  }

  private get isBroken(): boolean {
    return this.end === 'broken';
  }
}

/** Reads a whole stream into memory; `undefined` if it breaks or exceeds `maxBytes`. */
export function collectStream(
  stream: ResponseStream,
  budget: MemoryBudget,
  maxBytes: number,
): Promise<Uint8Array | undefined> {
  return new Promise((resolve) => {
    const chunks: Uint8Array[] = [];
    const hold = budget.open({isReader: false, onCut: () => stream.cancel()});
    if (stream.lengthBytes > maxBytes) stream.cancel();
    stream.read({
      onChunk: (chunk) => {
        chunks.push(chunk);
        stream.take(chunk.length);
        hold.add(chunk.length);
      },
      onEnd: (end) => {
        hold.close();
        resolve(end === 'complete' ? Buffer.concat(chunks) : undefined);
      },
    });
  });
}
