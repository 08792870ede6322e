import type http from 'node:http';

const EMPTY_BODY = Buffer.alloc(0);

/**
 * Reads the whole body of a message. Uses plain events, because an async iterator costs several
 * times as much for the short bodies of most messages.
 * @throws Error when the body exceeds `maxBytes` (`code` is `BODY_TOO_LARGE`) or is truncated.
 */
export function readMessageBody(message: http.IncomingMessage, maxBytes: number): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    message.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes > maxBytes) {
        message.removeAllListeners('data');
        reject(Object.assign(new Error('Body is too large'), {code: 'BODY_TOO_LARGE'}));
      } else {
        chunks.push(chunk);
      }
    });
    message.on('end', () => {
      if (!message.complete) reject(new Error('Body is truncated'));
      else
        resolve(
          chunks.length === 0
            ? EMPTY_BODY
            : chunks.length === 1
              ? chunks[0]!
              : Buffer.concat(chunks),
        );
    });
    message.on('error', reject);
    message.on('close', () => reject(new Error('Body is truncated')));
  });
}
