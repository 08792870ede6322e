import type {ServerResponse} from 'node:http';
import {toProblemDocument} from '@medlarlane/errors';
import type {MedlarlaneError} from '@medlarlane/errors';
import {HEADER} from './headers.js';

const RETRY_AFTER_SECONDS = '1';

/** Responds with problem+json, or resets the connection when the response has already started. */
export function sendProblem(response: ServerResponse, error: MedlarlaneError): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  if (response.destroyed) return;
  const {status} = error.errorKind;
  const body = JSON.stringify(toProblemDocument(error));
  response.writeHead(status, {
    'content-type': 'application/problem+json',
    'content-length': Buffer.byteLength(body),
    [HEADER.ran]: error.ran,
    [HEADER.code]: error.code,
    ...(error.code === 'NOT_OWNER' ? {[HEADER.index]: String(error.details['index'] ?? 0)} : {}),
    ...(status === 503 ? {'retry-after': RETRY_AFTER_SECONDS} : {}),
  });
  response.end(body);
}
