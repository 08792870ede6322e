import type {Socket} from 'node:net';
import {decode, Encoder} from '@msgpack/msgpack';

export interface MessageSocketOptions {
  readonly onMessage: (message: unknown) => void;
  /** Called once, when no more messages come. */
  readonly onClose: (failure: Error | undefined) => void;
}

/** A message that is sent in pieces. */
interface LongMessage {
  readonly stream: number;
  readonly bytes: Uint8Array;
  sentBytes: number;
}

/** Length of the piece (with the flag below) and number of its stream, four bytes each. */
const HEADER_BYTES = 8;
/** Set in the length of each piece but the last one of its message. */
const MORE_FLAG = 0x8000_0000;
/** Stream of messages that are one piece. */
const WHOLE_MESSAGE = 0;
/**
 * Longest piece. On the slowest links of the known deployments (5.5 Mbit/s) it delays the next short
 * message by 12 ms.
 */
const PIECE_BYTES = 8_192;
/** The largest body that a configuration may allow, with its frame. */
const MAX_MESSAGE_BYTES = 65 * 1024 * 1024;
const NOTHING = Buffer.alloc(0);

/**
 * MessagePack messages over one connection. Short messages are written at once; long ones take turns
 * piece by piece, as far as the connection takes them, so that none of them holds up the others.
 */
export class MessageSocket {
  private readonly encoder = new Encoder({ignoreUndefined: true});
  private readonly waiting: LongMessage[] = [];
  private readonly incoming = new Map<number, Buffer[]>();
  private rest: Buffer = NOTHING;
  private lastStream = WHOLE_MESSAGE;
  private failure: Error | undefined;
  private ending = false;

  constructor(
    private readonly socket: Socket,
    private readonly opts: MessageSocketOptions,
  ) {
    socket.setNoDelay(true);
    socket.on('data', (bytes: Buffer) => this.read(bytes));
    socket.on('drain', () => this.writeWaiting());
    socket.on('error', (failure) => (this.failure = failure));
    socket.on('close', () => opts.onClose(this.failure));
  }

  send(message: unknown): void {
    if (this.socket.destroyed || this.ending) return;
    const bytes = this.encoder.encodeSharedRef(message);
    if (bytes.length <= PIECE_BYTES) {
      this.writePiece(WHOLE_MESSAGE, bytes, bytes.length);
      return;
    }
    this.lastStream += 1;
    // The encoder reuses its buffer for the next message.
    this.waiting.push({stream: this.lastStream, bytes: bytes.slice(), sentBytes: 0});
    this.writeWaiting();
  }

  /** Closes once everything has been written. */
  end(): void {
    this.ending = true;
    this.writeWaiting();
  }

  destroy(): void {
    this.socket.destroy();
  }

  private writeWaiting(): void {
    while (this.waiting.length > 0 && !this.socket.writableNeedDrain) {
      const message = this.waiting.shift()!;
      const {stream, bytes, sentBytes} = message;
      const piece = bytes.subarray(sentBytes, sentBytes + PIECE_BYTES);
      message.sentBytes += piece.length;
      const more = message.sentBytes < bytes.length;
      this.writePiece(stream, piece, more ? (piece.length | MORE_FLAG) >>> 0 : piece.length);
      if (more) this.waiting.push(message);
    }
    if (this.ending && this.waiting.length === 0) this.socket.end();
  }

  private writePiece(stream: number, piece: Uint8Array, flaggedLength: number): void {
    const frame = Buffer.allocUnsafe(HEADER_BYTES + piece.length);
    frame.writeUInt32BE(flaggedLength, 0);
    frame.writeUInt32BE(stream, 4);
    frame.set(piece, HEADER_BYTES);
    this.socket.write(frame);
  }

  private read(bytes: Buffer): void {
    let input = this.rest.length === 0 ? bytes : Buffer.concat([this.rest, bytes]);
    try {
      while (input.length >= HEADER_BYTES) {
        const flaggedLength = input.readUInt32BE(0);
        const length = (flaggedLength & ~MORE_FLAG) >>> 0;
        if (length > PIECE_BYTES) throw new Error('Piece is too long');
        if (input.length < HEADER_BYTES + length) break;
        const piece = input.subarray(HEADER_BYTES, HEADER_BYTES + length);
        this.take(input.readUInt32BE(4), piece, flaggedLength >= MORE_FLAG);
        input = input.subarray(HEADER_BYTES + length);
      }
      this.rest = input;
    } catch (failure) {
      // What follows bytes that are no message cannot be told apart.
      this.socket.destroy(failure as Error);
    }
  }

  private take(stream: number, piece: Buffer, more: boolean): void {
    if (stream === WHOLE_MESSAGE) return this.opts.onMessage(decode(piece));
    const pieces = this.incoming.get(stream) ?? [];
    pieces.push(piece);
    if (pieces.length * PIECE_BYTES > MAX_MESSAGE_BYTES) throw new Error('Message is too long');
    if (more) {
      this.incoming.set(stream, pieces);
      return;
    }
    this.incoming.delete(stream);
    this.opts.onMessage(decode(Buffer.concat(pieces)));
  }
}
