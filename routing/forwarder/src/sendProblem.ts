import type {ServerResponse} from 'node:http';
import {toProblemDocument} from '@medlarlane/errors';
import type {MedlarlaneError} from '@medlarlane/errors';
import {HEADER} from './headers.js';

const RETRY_AFTER_S = '1';

/** Answers with problem+json, or resets the connection when a response has started. */
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
    ...(status === 503 ? {'retry-after': RETRY_AFTER_S} : {}),
  });
  response.end(body);
}
