import type http from 'node:http';

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
