import type http from 'node:http';
import type {MemoryBudget} from './memoryBudget.js';
import {MIN_STREAMED_BYTES} from './responseStream.js';
import type {ResponseStream, StreamEnd} from './responseStream.js';

/**
 * A caller that reads nothing for this time is cut off. Links of callers in the known deployments carry
 * the smallest chunk within a tenth of a second.
 */
const MAX_CALLER_SILENCE_MS = 5_000;

/** Writes a complete body and counts it until it has left the process. */
export function writeBody(
  response: http.ServerResponse,
  body: Uint8Array | undefined,
  budget: MemoryBudget,
): void {
  response.end(body);
  if (response.socket?.writableLength) cutOffSilentCaller(response);
  if (!body || body.length <= MIN_STREAMED_BYTES) return;
  const hold = budget.open({isReader: true, onCut: () => response.destroy()});
  hold.add(body.length);
  response.once('close', () => hold.close());
  response.socket?.once('close', () => hold.close());
}

/**
 * Writes a large body as it is received. The last bytes are only written once the body is known to be
 * complete; otherwise the connection is destroyed, so that the caller notices that bytes are missing.
 */
export function writeStream(
  response: http.ServerResponse,
  stream: ResponseStream,
): Promise<StreamEnd> {
  cutOffSilentCaller(response);
  // Otherwise the head is sent together with the first bytes.
  if (stream.untakenBytes === 0) response.flushHeaders();
  let unwrittenBytes = stream.lengthBytes;
  let lastChunk: Uint8Array | undefined;
  return new Promise((resolve) => {
    stream.read({
      onChunk: (chunk) => {
        unwrittenBytes -= chunk.length;
        if (unwrittenBytes === 0) lastChunk = chunk;
        else response.write(chunk, () => stream.take(chunk.length));
      },
      onEnd: (end) => {
        if (end === 'complete') {
          response.end(lastChunk, () => stream.take(lastChunk?.length ?? 0));
        } else {
          response.destroy();
        }
        resolve(end);
      },
    });
  });
}

/** Destroys the connection of a caller that does not take any of the bytes that wait for it. */
function cutOffSilentCaller(response: http.ServerResponse): void {
  const {socket} = response;
  response.setTimeout(MAX_CALLER_SILENCE_MS, () => {
    if (socket?.writableLength) response.destroy();
    else socket?.setTimeout(MAX_CALLER_SILENCE_MS);
  });
}
