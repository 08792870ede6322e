import type {IncomingMessage} from 'node:http';

// Enough for a caller that reads the answer only after it has sent its body.
const DISCARD_LIMIT_BYTES = 16 * 1024 * 1024;
const DISCARD_LIMIT_MS = 2000;

/**
 * Reads and drops the rest of a body whose request is answered. Left unread, it would block the next
 * request of the connection; closing at once would reset the connection, and the caller could lose
 * the answer. The connection is cut at the limits.
 */
export function discardRemainingBody(request: IncomingMessage): void {
  if (request.readableEnded || request.destroyed) return;
  request.resume();
  if (request.complete) return;
  let bytes = 0;
  const timer = setTimeout(() => request.destroy(), DISCARD_LIMIT_MS);
  request.on('error', () => undefined);
  request.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > DISCARD_LIMIT_BYTES) request.destroy();
  });
  request.once('close', () => clearTimeout(timer)).once('end', () => clearTimeout(timer));
}
