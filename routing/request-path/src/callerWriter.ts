import type http from 'node:http';
import type {MemoryBudget} from './memoryBudget.js';
import {MIN_STREAMED_BYTES} from './responseStream.js';
import type {ResponseStream, StreamEnd} from './responseStream.js';

/**
 * A caller that reads nothing for this time is cut off. Links of callers in the known deployments carry
 * the smallest chunk within a tenth of a second.
 */
const MAX_CALLER_SILENCE_MS = 5_000;

/** Number of checks within the maximum silence of a caller. */
const SILENCE_CHECKS = 5;

export interface WriteOptions {
  /** Time for which a caller may take no bytes; 5 s by default. */
  readonly maxSilenceMs?: number | undefined;
  /** Called when the connection of a silent caller is destroyed. */
  readonly onCut?: (details: {waitingBytes: number}) => void;
}

/** Writes a complete body and counts it until it has left the process. */
export function writeBody(
  response: http.ServerResponse,
  body: Uint8Array | undefined,
  budget: MemoryBudget,
  opts: WriteOptions = {},
): void {
  response.end(body);
  if (response.socket?.writableLength) cutOffSilentCaller(response, opts);
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
  opts: WriteOptions = {},
): Promise<StreamEnd> {
  cutOffSilentCaller(response, opts);
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

/**
 * Destroys the connection of a caller that takes none of the bytes that wait for it. A timeout of the socket would
 * stay in force for the next response of the connection, whose target may need longer.
 */
function cutOffSilentCaller(
  response: http.ServerResponse,
  {maxSilenceMs, onCut}: WriteOptions,
): void {
  const {socket} = response;
  if (!socket) return;
  const takenBytes = (): number => socket.bytesWritten - socket.writableLength;
  let lastTakenBytes = takenBytes();
  let silentChecks = 0;
  const timer = setInterval(
    () => {
      const isWaiting = socket.writableLength > 0 && takenBytes() === lastTakenBytes;
      lastTakenBytes = takenBytes();
      silentChecks = isWaiting ? silentChecks + 1 : 0;
      if (silentChecks < SILENCE_CHECKS) return;
      clearInterval(timer);
      onCut?.({waitingBytes: socket.writableLength});
      response.destroy();
    },
    (maxSilenceMs ?? MAX_CALLER_SILENCE_MS) / SILENCE_CHECKS,
  );
  response.once('close', () => clearInterval(timer));
}
