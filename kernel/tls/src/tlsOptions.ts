import type {TlsMaterial} from './loadTlsMaterial.js';

const MIN_VERSION = 'TLSv1.3';

/** Options for node:tls, node:https and node:http2 servers. */
export interface ServerTlsOptions {
  readonly cert: string;
  readonly key: string;
  readonly ca: string;
  readonly minVersion: typeof MIN_VERSION;
  readonly requestCert: true;
  readonly rejectUnauthorized: true;
}

/** Options for node:tls and node:http2 clients and for undici's `connect`. */
export interface ClientTlsOptions {
  readonly cert: string;
  readonly key: string;
  readonly ca: string;
  readonly minVersion: typeof MIN_VERSION;
  readonly rejectUnauthorized: true;
}

/**
 * Options of a server that rejects clients without a certificate signed by one of its authorities.
 */
export function serverTlsOptions(material: TlsMaterial): ServerTlsOptions {
  return {...clientTlsOptions(material), requestCert: true};
}

/**
 * Options of a client that presents its certificate and verifies the server's certificate and
 * address.
 */
export function clientTlsOptions({cert, key, ca}: TlsMaterial): ClientTlsOptions {
  return {cert, key, ca, minVersion: MIN_VERSION, rejectUnauthorized: true};
}
