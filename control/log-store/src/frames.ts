import {crc32} from 'node:zlib';
import {MedlarlaneError} from '@medlarlane/errors';

/**
 * Magic, sequence number, payload length, payload checksum, header checksum; each a 32-bit integer.
 */
export const FRAME_HEADER_BYTES = 20;
const MAGIC = 0x4d4c4731;
// File systems return zeros for blocks that were allocated but not written, in whole sectors.
const SECTOR_BYTES = 512;

export interface Frame {
  readonly payload: Uint8Array;
  readonly endByte: number;
}

export interface FrameScan {
  readonly frames: Frame[];
  /** Size of the complete, valid frames at the start of the file. */
  readonly validBytes: number;
  /** Size of the incomplete write after the valid frames. */
  readonly tornBytes: number;
}

/** Encodes one frame. `sequence` is the position of the frame in its file, starting at 0. */
export function encodeFrame(sequence: number, payload: Uint8Array): Uint8Array {
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + payload.length);
  frame.writeUInt32LE(MAGIC, 0);
  frame.writeUInt32LE(sequence >>> 0, 4);
  frame.writeUInt32LE(payload.length, 8);
  frame.writeUInt32LE(crc32(payload), 12);
  frame.writeUInt32LE(crc32(frame.subarray(0, 16)), 16);
  frame.set(payload, FRAME_HEADER_BYTES);
  return frame;
}

/**
 * Reads the frames of a file.
 *
 * A last frame that is truncated, or that ends in unwritten (zero-filled) sectors, is reported as
 * torn: its write was never acknowledged.
 * @throws MedlarlaneError `LOG_CORRUPT` for any other damage.
 */
export function scanFrames(bytes: Uint8Array): FrameScan {
  const file = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const frames: Frame[] = [];
  let position = 0;
  while (position < file.length) {
    const frame = readFrame(file, position, frames.length);
    if (!frame) {
      assertTornTail(file, position, frames.length);
      break;
    }
    frames.push(frame);
    position = frame.endByte;
  }
  return {frames, validBytes: position, tornBytes: file.length - position};
}

function readFrame(file: Buffer, position: number, sequence: number): Frame | undefined {
  const lengthBytes = headerLength(file, position);
  if (lengthBytes === undefined || file.readUInt32LE(position + 4) !== sequence) return undefined;
  const endByte = position + FRAME_HEADER_BYTES + lengthBytes;
  if (endByte > file.length) return undefined;
  const payload = file.subarray(position + FRAME_HEADER_BYTES, endByte);
  if (crc32(payload) !== file.readUInt32LE(position + 12)) return undefined;
  return {payload, endByte};
}

/** Returns the payload length from the header, or `undefined` when the header is invalid. */
function headerLength(file: Buffer, position: number): number | undefined {
  if (position + FRAME_HEADER_BYTES > file.length) return undefined;
  if (file.readUInt32LE(position) !== MAGIC) return undefined;
  const checksum = crc32(file.subarray(position, position + 16));
  if (checksum !== file.readUInt32LE(position + 16)) return undefined;
  return file.readUInt32LE(position + 8);
}

function assertTornTail(file: Buffer, position: number, sequence: number): void {
  const reason = describeDamage(file, position, sequence);
  if (!reason) return;
  throw new MedlarlaneError('LOG_CORRUPT', `Log is damaged at byte ${position}: ${reason}`, {
    details: {position, sequence, fileBytes: file.length},
  });
}

function describeDamage(file: Buffer, position: number, sequence: number): string | undefined {
  const zerosFrom = startOfTrailingZeros(file, position);
  if (zerosFrom === position) return undefined;
  const unwrittenFrom = Math.ceil(zerosFrom / SECTOR_BYTES) * SECTOR_BYTES;
  if (file.length - position < FRAME_HEADER_BYTES) {
    // A truncated header still starts with the magic number and the expected sequence number.
    const expected = encodeFrame(sequence, new Uint8Array()).subarray(0, 8);
    const present = file.subarray(position, Math.min(position + 8, unwrittenFrom));
    return present.equals(expected.subarray(0, present.length)) ? undefined : 'bad frame header';
  }
  const lengthBytes = headerLength(file, position);
  if (lengthBytes === undefined) {
    return unwrittenFrom < position + FRAME_HEADER_BYTES ? undefined : 'bad frame header';
  }
  if (file.readUInt32LE(position + 4) !== sequence) return 'frame out of sequence';
  const endByte = position + FRAME_HEADER_BYTES + lengthBytes;
  if (endByte > file.length) {
    return hasLaterFrame(file, position, sequence)
      ? 'frame length extends beyond later frames'
      : undefined;
  }
  return unwrittenFrom < endByte ? undefined : 'checksum mismatch of a complete frame';
}

function startOfTrailingZeros(file: Buffer, from: number): number {
  let start = file.length;
  while (start > from && file[start - 1] === 0) start--;
  return start;
}

function hasLaterFrame(file: Buffer, position: number, sequence: number): boolean {
  const magic = Buffer.alloc(4);
  magic.writeUInt32LE(MAGIC);
  let next = file.indexOf(magic, position + 1);
  while (next !== -1) {
    const lengthBytes = headerLength(file, next);
    if (lengthBytes !== undefined && file.readUInt32LE(next + 4) > sequence) return true;
    next = file.indexOf(magic, next + 1);
  }
  return false;
}
