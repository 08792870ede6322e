import type http from 'node:http';
import {isDelimitedByEnd} from './isDelimitedByEnd.js';
import {readMessageBody} from './readMessageBody.js';
import {trackConnectionEnd} from './trackConnectionEnd.js';

/**
 * Reads the whole body of a response; must be called in its `response` event. A body without a length is whole
 * only if its connection ends in order.
 * @throws Error when the body exceeds `maxBytes` (`code` is `BODY_TOO_LARGE`) or is truncated.
 */
export async function readResponseBody(
  response: http.IncomingMessage,
  {method, maxBytes}: {method: string; maxBytes: number},
): Promise<Buffer> {
  const {headers, socket, statusCode: status = 0} = response;
  const isUnframed = isDelimitedByEnd({
    method,
    status,
    contentLength: headers['content-length'],
    transferEncoding: headers['transfer-encoding'],
  });
  const connectionEnd = isUnframed ? trackConnectionEnd(socket) : undefined;
  const body = await readMessageBody(response, maxBytes);
  if (connectionEnd && connectionEnd() !== 'orderly')
    throw new Error('Connection failed before the end of a body without a length');
  return body;
}
