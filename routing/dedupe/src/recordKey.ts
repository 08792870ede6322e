import {ID_BYTES} from './requestId.js';
import type {RequestId} from './requestId.js';

const POSITION_HIGH_BYTES = 1;
const POSITION_LOW_BYTES = 6;
const LOW_PART_RANGE = 2 ** (8 * POSITION_LOW_BYTES);
const scratch = Buffer.alloc(ID_BYTES + POSITION_HIGH_BYTES + POSITION_LOW_BYTES);

/** Encodes id and key position as a one-byte string, which takes half the memory of their text forms. */
export function recordKey(id: RequestId, position: number): string {
  scratch.set(id.bytes);
  scratch.writeUInt8(Math.floor(position / LOW_PART_RANGE), ID_BYTES);
  scratch.writeUIntBE(
    position % LOW_PART_RANGE,
    ID_BYTES + POSITION_HIGH_BYTES,
    POSITION_LOW_BYTES,
  );
  return scratch.toString('latin1');
}

export function idBytesOf(key: string): Uint8Array<ArrayBuffer> {
  return Buffer.from(key.slice(0, ID_BYTES), 'latin1');
}

export function positionOf(key: string): number {
  let position = 0;
  for (let offset = ID_BYTES; offset < key.length; offset += 1)
    position = position * 256 + key.charCodeAt(offset);
  return position;
}
