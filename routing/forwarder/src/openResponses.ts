import type {ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';
import {MedlarlaneError, toProblemDocument} from '@medlarlane/errors';
import {HEADER} from './headers.js';

// Time in which the caller can read the refusal before the connection is cut.
const LINGER_MS = 500;

const STATUS_LINES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};
const DEFAULT_STATUS_LINE = '400 Bad Request';

/** The responses of each connection that have not ended, for errors that concern a connection. */
export class OpenResponses {
  private readonly bySocket = new WeakMap<Duplex, Set<ServerResponse>>();
  private readonly refused = new WeakSet<Duplex>();

  add(response: ServerResponse): void {
    const {socket} = response.req;
    const open = this.bySocket.get(socket) ?? new Set();
    this.bySocket.set(socket, open.add(response));
    response.once('close', () => {
      open.delete(response);
      if (this.refused.has(socket) && !this.isRunning(socket)) socket.destroySoon();
    });
  }

  /** Whether a request has arrived whole and is not answered to its end. */
  isRunning(socket: Duplex): boolean {
    const open = this.bySocket.get(socket);
    return (
      open !== undefined && [...open].some(({req, writableEnded}) => req.complete && !writableEnded)
    );
  }

  /**
   * Refuses what the HTTP parser could not read and ends the connection. Requests that had arrived
   * before on the same connection get their own answers first; the refusal would be taken for one.
   */
  refuse(socket: Duplex, error: NodeJS.ErrnoException): void {
    if (this.refused.has(socket)) return;
    this.refused.add(socket);
    if (this.isRunning(socket)) return;
    const [broken] = this.bySocket.get(socket) ?? [];
    if (error.code === 'ECONNRESET' || !socket.writable || broken?.headersSent) {
      socket.destroy();
      return;
    }
    socket.end(refusalOf(error, broken !== undefined));
    const timer = setTimeout(() => socket.destroy(), LINGER_MS);
    socket.once('close', () => clearTimeout(timer));
  }
}

/** A request whose body was broken may have been passed on in part. */
function refusalOf(cause: NodeJS.ErrnoException, hasStarted: boolean): string {
  const statusLine = STATUS_LINES[cause.code ?? ''] ?? DEFAULT_STATUS_LINE;
  const error = new MedlarlaneError('REQUEST_INVALID', `Not valid HTTP: ${cause.message}`, {
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
