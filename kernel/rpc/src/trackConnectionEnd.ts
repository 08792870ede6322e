import {readSync} from 'node:fs';
import type {Socket} from 'node:net';

/** `orderly` if the peer closed the connection after all that it had sent, with no failure before. */
export type ConnectionEnd = 'open' | 'orderly' | 'failed';

/**
 * Observes how a connection ends; returns a function that tells it. Must be called before the end is emitted, for
 * example in the `response` event of a request.
 */
export function trackConnectionEnd(socket: Socket): () => ConnectionEnd {
  let connectionEnd: ConnectionEnd = 'open';
  const settle = (next: ConnectionEnd): void => {
    if (connectionEnd === 'open') connectionEnd = next;
  };
  // Before the listeners of the HTTP client, which may take a failed connection for the end of the body.
  socket.prependListener('error', () => settle('failed'));
  socket.prependListener('end', () => settle(isReset(socket) ? 'failed' : 'orderly'));
  return () => connectionEnd;
}

/**
 * libuv reports a reset that closely follows data as an end. Another read from the connection then fails, whereas
 * it returns no bytes after an end. It also returns none after a write has failed because of the reset, but that
 * write destroys the socket, which emits `error` and no `end`.
 */
function isReset(socket: Socket): boolean {
  const {fd} = (socket as {_handle?: {fd?: number}})._handle ?? {};
  // Without a descriptor the end cannot be confirmed.
  if (fd === undefined || fd < 0) return true;
  try {
    return readSync(fd, Buffer.alloc(1)) !== 0;
  } catch {
    return true;
  }
}
