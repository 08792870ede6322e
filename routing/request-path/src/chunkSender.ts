import {CHUNK_WINDOW_BYTES, MAX_CHUNK_BYTES, PEER_OPERATION} from '@medlarlane/peer-rpc';
import type {MessageSocket} from '@medlarlane/peer-rpc';
import type {ResponseStream, StreamEnd} from './responseStream.js';

/** Sends a response stream to another daemon, as far as the daemon has given credit. */
export class ChunkSender {
  private readonly chunks: Uint8Array[] = [];
  private creditBytes = CHUNK_WINDOW_BYTES;
  private end: StreamEnd | undefined;
  private isDone = false;

  constructor(
    private readonly opts: {
      readonly exchangeId: number;
      readonly messages: MessageSocket;
      readonly stream: ResponseStream;
      /** Called once, after the end was sent or the sender was stopped. */
      readonly onDone: () => void;
    },
  ) {
    opts.stream.read({
      onChunk: (chunk) => {
        this.chunks.push(chunk);
        this.flush();
      },
      onEnd: (end) => {
        this.end = end;
        if (end === 'broken') this.chunks.length = 0;
        this.flush();
      },
    });
  }

  addCredit(bytes: number): void {
    this.creditBytes += bytes;
    this.flush();
  }

  /** Stops without an end, because nobody reads the stream any more. */
  stop(): void {
    if (this.isDone) return;
    this.isDone = true;
    this.chunks.length = 0;
    this.opts.stream.cancel();
    this.opts.onDone();
  }

  private flush(): void {
    const {exchangeId, messages, stream, onDone} = this.opts;
    while (!this.isDone && this.chunks.length > 0 && this.creditBytes > 0) {
      const [chunk] = this.chunks as [Uint8Array];
      const piece = chunk.subarray(0, Math.min(MAX_CHUNK_BYTES, this.creditBytes));
      if (piece.length === chunk.length) this.chunks.shift();
      else this.chunks[0] = chunk.subarray(piece.length);
      this.creditBytes -= piece.length;
      messages.sendWhenWritable([PEER_OPERATION.chunk, exchangeId, piece]);
      stream.take(piece.length);
    }
    if (this.isDone || this.end === undefined || this.chunks.length > 0) return;
    this.isDone = true;
    messages.sendWhenWritable([PEER_OPERATION.chunkEnd, exchangeId, this.end === 'complete']);
    onDone();
  }
}
