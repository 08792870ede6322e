import {requestFingerprints} from '@medlarlane/poison';
import type {RequestFrame} from './messages.js';

/** Fingerprints under which a request is recognised that crashes targets. */
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
