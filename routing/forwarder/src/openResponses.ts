import type {ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';
import {MedlarlaneError, toProblemDocument} from '@medlarlane/errors';
import {HEADER} from './headers.js';

// Time for the caller to read the refusal before the connection is closed.
const REFUSAL_READ_TIME_MS = 500;

const STATUS_LINES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};
const DEFAULT_STATUS_LINE = '400 Bad Request';

/** Tracks the open responses of each connection, to handle errors of the connection. */
export class OpenResponses {
  private readonly bySocket = new WeakMap<Duplex, Set<ServerResponse>>();
  private readonly refusedSockets = new WeakSet<Duplex>();

  add(response: ServerResponse): void {
    const {socket} = response.req;
    const open = this.bySocket.get(socket) ?? new Set();
    this.bySocket.set(socket, open.add(response));
    response.once('close', () => {
      open.delete(response);
      if (this.refusedSockets.has(socket) && !this.isRunning(socket)) socket.destroySoon();
    });
  }

  /** Whether a request of the connection has arrived completely and its response has not ended. */
  isRunning(socket: Duplex): boolean {
    const open = this.bySocket.get(socket);
    return (
      open !== undefined && [...open].some(({req, writableEnded}) => req.complete && !writableEnded)
    );
  }

  /**
   * Refuses input that the HTTP parser rejected and ends the connection. Requests that arrived earlier on
   * the same connection get their own responses first: the refusal would be taken for one of these.
   */
  refuse(socket: Duplex, error: NodeJS.ErrnoException): void {
    if (this.refusedSockets.has(socket)) return;
    this.refusedSockets.add(socket);
    if (this.isRunning(socket)) return;
    const [openResponse] = this.bySocket.get(socket) ?? [];
    if (error.code === 'ECONNRESET' || !socket.writable || openResponse?.headersSent) {
      socket.destroy();
      return;
    }
    socket.end(formatRefusal(error, openResponse !== undefined));
    const timer = setTimeout(() => socket.destroy(), REFUSAL_READ_TIME_MS);
    socket.once('close', () => clearTimeout(timer));
  }
}

/** A request with a malformed body may have been forwarded in part. */
function formatRefusal(cause: NodeJS.ErrnoException, hasStarted: boolean): string {
  const statusLine = STATUS_LINES[cause.code ?? ''] ?? DEFAULT_STATUS_LINE;
  const error = new MedlarlaneError('REQUEST_INVALID', `Malformed HTTP request: ${cause.message}`, {
    ran: hasStarted ? 'unknown' : 'no',
  });
  const body = JSON.stringify({...toProblemDocument(error), status: parseInt(statusLine, 10)});
  return [
    `HTTP/1.1 ${statusLine}`,
    'content-type: application/problem+json',
    `content-length: ${Buffer.byteLength(body)}`,
    `${HEADER.ran}: ${error.ran}`,
    `${HEADER.code}: ${error.code}`,
    'connection: close',
    '',
    body,
  ].join('\r\n');
}
