import xxhash from 'xxhash-wasm';

const {h64} = await xxhash();
const DISCARDED_BITS = 11n;

/** Position of a key in [0, 2^53): the upper 53 bits of its xxHash64. */
export function hashKey(key: string): number {
  return Number(h64(key) >> DISCARDED_BITS);
}
