import {crc32} from 'node:zlib';
import {MedlarlaneError} from '@medlarlane/errors';
import type {ReadableFile} from './fileSystem.js';

/**
 * Magic, sequence number, payload length, payload checksum, header checksum; each a 32-bit integer.
 */
export const FRAME_HEADER_BYTES = 20;
const MAGIC = 0x4d4c4731;
// File systems return zeros for blocks that were allocated but not written, in whole sectors.
const SECTOR_BYTES = 512;

export interface FrameScan {
  readonly frameCount: number;
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
 * Reads the frames of a file one after another and calls `onFrame` with the payload of each, which it must not
 * keep: views of a payload hold the whole frame in memory.
 *
 * A last frame that is truncated, or that ends in unwritten (zero-filled) sectors, is reported as
 * torn: its write was never acknowledged.
 * @throws MedlarlaneError `LOG_CORRUPT` for any other damage.
 */
export async function scanFrames(
  file: ReadableFile,
  onFrame: (payload: Uint8Array) => void,
): Promise<FrameScan> {
  let frameCount = 0;
  let position = 0;
  while (position < file.sizeBytes) {
    const payload = await readFrame(file, position, frameCount);
    if (!payload) {
      await assertTornTail(file, position, frameCount);
      break;
    }
    onFrame(payload);
    frameCount += 1;
    position += FRAME_HEADER_BYTES + payload.length;
  }
  return {frameCount, validBytes: position, tornBytes: file.sizeBytes - position};
}

async function readFrame(
  file: ReadableFile,
  position: number,
  sequence: number,
): Promise<Buffer | undefined> {
  const header = toBuffer(await file.read(position, FRAME_HEADER_BYTES));
  const lengthBytes = headerLength(header, 0);
  if (lengthBytes === undefined || header.readUInt32LE(4) !== sequence) return undefined;
  if (position + FRAME_HEADER_BYTES + lengthBytes > file.sizeBytes) return undefined;
  const payload = toBuffer(await file.read(position + FRAME_HEADER_BYTES, lengthBytes));
  return crc32(payload) === header.readUInt32LE(12) ? payload : undefined;
}

function toBuffer(bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/** Returns the payload length from the header, or `undefined` when the header is invalid. */
function headerLength(file: Buffer, position: number): number | undefined {
  if (position + FRAME_HEADER_BYTES > file.length) return undefined;
  if (file.readUInt32LE(position) !== MAGIC) return undefined;
  const checksum = crc32(file.subarray(position, position + 16));
  if (checksum !== file.readUInt32LE(position + 16)) return undefined;
  return file.readUInt32LE(position + 8);
}

async function assertTornTail(
  file: ReadableFile,
  position: number,
  sequence: number,
): Promise<void> {
  // The tail starts at a sector, so that the positions of sectors in it are those in the file.
  const tailStart = position - (position % SECTOR_BYTES);
  const tail = toBuffer(await file.read(tailStart, file.sizeBytes - tailStart));
  const reason = describeDamage(tail, position - tailStart, sequence);
  if (!reason) return;
  throw new MedlarlaneError('LOG_CORRUPT', `Log is damaged at byte ${position}: ${reason}`, {
    details: {position, sequence, fileBytes: file.sizeBytes},
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
