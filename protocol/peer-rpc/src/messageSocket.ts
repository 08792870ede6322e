import type {Socket} from 'node:net';
import {decode, Encoder} from '@msgpack/msgpack';

export interface MessageSocketOptions {
  readonly onMessage: (message: unknown) => void;
  /** Called once when the connection is closed; `failure` is set when an error closed it. */
  readonly onClose: (failure: Error | undefined) => void;
}

/** A message that is sent in several fragments. */
interface FragmentedMessage {
  readonly streamId: number;
  readonly bytes: Uint8Array;
  sentBytes: number;
}

/** Length of the fragment (with the flag below) and its stream id, four bytes each. */
const FRAGMENT_HEADER_BYTES = 8;
/** Set in the length of each fragment of a message except the last one. */
const MORE_FLAG = 0x8000_0000;
/** Stream id of messages that fit into one fragment. */
const UNFRAGMENTED_STREAM_ID = 0;
/**
 * Maximum length of a fragment. On the slowest links of the known deployments (5.5 Mbit/s) a
 * fragment delays the next short message by 12 ms.
 */
const MAX_FRAGMENT_BYTES = 8_192;
/** Largest body that a configuration may allow, plus its frame. */
const MAX_MESSAGE_BYTES = 65 * 1024 * 1024;
/** Messages with a body of this size are encoded into a buffer of their own. */
const MIN_UNSHARED_BYTES = 262_144;
/** Bound of the fields of a message beside its body: a head of at most 64 KiB. */
const MESSAGE_OVERHEAD_BYTES = 131_072;
const EMPTY_BUFFER = Buffer.alloc(0);

/**
 * Sends and receives MessagePack messages over one connection. Short messages are written
 * immediately. Long messages are split into fragments, which are interleaved and respect
 * backpressure, so that no message blocks the others.
 */
export class MessageSocket {
  private readonly encoder = new Encoder({ignoreUndefined: true});
  private readonly sendQueue: FragmentedMessage[] = [];
  private readonly incompleteMessages = new Map<number, Buffer[]>();
  private unparsedBytes: Buffer = EMPTY_BUFFER;
  private lastStreamId = UNFRAGMENTED_STREAM_ID;
  private unsentBytes = 0;
  private incompleteBytes = 0;
  private failure: Error | undefined;
  private isEnding = false;

  constructor(
    private readonly socket: Socket,
    private readonly opts: MessageSocketOptions,
  ) {
    socket.setNoDelay(true);
    socket.on('data', (bytes: Buffer) => this.handleData(bytes));
    socket.on('drain', () => this.flushSendQueue());
    socket.on('error', (failure) => (this.failure = failure));
    socket.on('close', () => opts.onClose(this.failure));
  }

  send(message: unknown): void {
    if (this.socket.destroyed || this.isEnding) return;
    const bodyBytes = sizeOfBytes(message);
    if (bodyBytes >= MIN_UNSHARED_BYTES) {
      // The shared buffer would keep the size of the largest message, and its contents would have to be copied.
      const initialBufferSize = bodyBytes + MESSAGE_OVERHEAD_BYTES;
      const encoder = new Encoder({ignoreUndefined: true, initialBufferSize});
      this.enqueueLong(encoder.encodeSharedRef(message));
      return;
    }
    const bytes = this.encoder.encodeSharedRef(message);
    if (bytes.length <= MAX_FRAGMENT_BYTES) {
      this.writeFragment(UNFRAGMENTED_STREAM_ID, bytes, bytes.length);
      return;
    }
    // The encoder reuses its buffer for the next message.
    this.enqueueLong(bytes.slice());
  }

  /**
   * Sends a message that fits into one fragment once the socket has room for it, so that short messages
   * are not delayed. Such messages keep their order.
   */
  sendWhenWritable(message: unknown): void {
    if (this.socket.destroyed || this.isEnding) return;
    this.enqueue(UNFRAGMENTED_STREAM_ID, this.encoder.encodeSharedRef(message).slice());
  }

  /** Bytes that wait to be sent or for the rest of their message. */
  get heldBytes(): number {
    return this.outgoingBytes + this.incompleteBytes;
  }

  /** Bytes that wait to be sent. */
  get outgoingBytes(): number {
    return this.unsentBytes + this.socket.writableLength;
  }

  /** Closes the connection after all messages have been written. */
  end(): void {
    this.isEnding = true;
    this.flushSendQueue();
  }

  destroy(): void {
    this.socket.destroy();
  }

  private enqueueLong(bytes: Uint8Array): void {
    this.lastStreamId += 1;
    this.enqueue(this.lastStreamId, bytes);
  }

  private enqueue(streamId: number, bytes: Uint8Array): void {
    this.sendQueue.push({streamId, bytes, sentBytes: 0});
    this.unsentBytes += bytes.length;
    this.flushSendQueue();
  }

  private flushSendQueue(): void {
    while (this.sendQueue.length > 0 && !this.socket.writableNeedDrain) {
      const message = this.sendQueue.shift()!;
      const {streamId, bytes, sentBytes} = message;
      const fragment = bytes.subarray(sentBytes, sentBytes + MAX_FRAGMENT_BYTES);
      message.sentBytes += fragment.length;
      this.unsentBytes -= fragment.length;
      const hasMore = message.sentBytes < bytes.length;
      this.writeFragment(
        streamId,
        fragment,
        hasMore ? (fragment.length | MORE_FLAG) >>> 0 : fragment.length,
      );
      if (hasMore) this.sendQueue.push(message);
    }
    if (this.isEnding && this.sendQueue.length === 0) this.socket.end();
  }

  private writeFragment(streamId: number, fragment: Uint8Array, flaggedLength: number): void {
    const frame = Buffer.allocUnsafe(FRAGMENT_HEADER_BYTES + fragment.length);
    frame.writeUInt32BE(flaggedLength, 0);
    frame.writeUInt32BE(streamId, 4);
    frame.set(fragment, FRAGMENT_HEADER_BYTES);
    this.socket.write(frame);
  }

  private handleData(bytes: Buffer): void {
    let input =
      this.unparsedBytes.length === 0 ? bytes : Buffer.concat([this.unparsedBytes, bytes]);
    try {
      while (input.length >= FRAGMENT_HEADER_BYTES && !this.socket.destroyed) {
        const flaggedLength = input.readUInt32BE(0);
        const length = (flaggedLength & ~MORE_FLAG) >>> 0;
        if (length > MAX_FRAGMENT_BYTES) throw new Error('Fragment is too long');
        if (input.length < FRAGMENT_HEADER_BYTES + length) break;
        const fragment = input.subarray(FRAGMENT_HEADER_BYTES, FRAGMENT_HEADER_BYTES + length);
        this.handleFragment(input.readUInt32BE(4), fragment, flaggedLength >= MORE_FLAG);
        input = input.subarray(FRAGMENT_HEADER_BYTES + length);
      }
      this.unparsedBytes = input;
    } catch (failure) {
      // After invalid bytes the start of the next message cannot be found.
      this.socket.destroy(failure as Error);
    }
  }

  private handleFragment(streamId: number, fragment: Buffer, hasMore: boolean): void {
    if (streamId === UNFRAGMENTED_STREAM_ID) return this.opts.onMessage(decode(fragment));
    const fragments = this.incompleteMessages.get(streamId) ?? [];
    fragments.push(fragment);
    this.incompleteBytes += fragment.length;
    if (fragments.length * MAX_FRAGMENT_BYTES > MAX_MESSAGE_BYTES)
      throw new Error('Message is too long');
    if (hasMore) {
      this.incompleteMessages.set(streamId, fragments);
      return;
    }
    this.incompleteMessages.delete(streamId);
    for (const {length} of fragments) this.incompleteBytes -= length;
    this.opts.onMessage(decode(Buffer.concat(fragments)));
  }
}

/** Size of the byte fields of a message. */
function sizeOfBytes(message: unknown): number {
  if (!Array.isArray(message)) return 0;
  let sizeBytes = 0;
  for (const field of message) if (field instanceof Uint8Array) sizeBytes += field.length;
  return sizeBytes;
}
