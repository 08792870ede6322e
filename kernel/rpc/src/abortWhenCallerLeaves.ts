import type http from 'node:http';
import {setImmediate as nextLoopTurn} from 'node:timers/promises';

/**
 * Returns a signal that aborts when the caller closes the connection before the response was sent. A process that
 * was suspended reads requests whose callers have left long ago; the close is read after the request.
 */
export function abortWhenCallerLeaves(
  request: http.IncomingMessage,
  response: http.ServerResponse,
): AbortSignal {
  const controller = new AbortController();
  const {socket} = request;
  const leave = (): void => {
    if (!response.writableEnded) controller.abort();
  };
  socket.once('end', leave);
  response.once('close', () => {
    socket.off('end', leave);
    leave();
  });
  if (socket.destroyed || socket.readableEnded) leave();
  return controller.signal;
}

/**
 * Whether the caller of the signal has left, also if the close of its connection was received together with the
 * request and is still to be read.
 */
export async function hasCallerLeft(signal: AbortSignal): Promise<boolean> {
  // The first turn ends the poll phase in which the request was read, the second one that in which the close is read.
  await nextLoopTurn();
  await nextLoopTurn();
  return signal.aborted;
}
