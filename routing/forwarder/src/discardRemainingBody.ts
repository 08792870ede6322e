import type {IncomingMessage} from 'node:http';

// Sufficient for callers that read the response only after they have sent their body.
const DISCARD_LIMIT_BYTES = 16 * 1024 * 1024;
const DISCARD_LIMIT_MS = 2000;

/**
 * Reads and discards the rest of a request body after the response was sent. An unread body would block
 * the next request on the connection. Closing the connection immediately would reset it, and the caller
 * could lose the response. Beyond the limits the connection is closed.
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
