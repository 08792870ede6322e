import {requestFingerprints} from '@medlarlane/poison';
import type {RequestFrame} from './messages.js';

/** Computes the fingerprints by which the poison table identifies a request. */
export function fingerprintsOf(service: string, {method, path, body}: RequestFrame): string[] {
  return requestFingerprints({
    method,
    service,
    key: '',
    path,
    bodyPrefix: body,
    bodyBytes: body.length,
  });
}
