import {isIP} from 'node:net';

/** An IP address (IPv6 without brackets) and a TCP port. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

const MAX_PORT = 65_535;

/** Parses `<ip>:<port>` with IPv6 addresses in brackets; returns `undefined` for other texts. */
export function parseHostPort(text: string): HostPort | undefined {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
  if (!match) return undefined;
  const [, ipv6, ipv4, portText] = match;
  const host = ipv6 ?? ipv4 ?? '';
  const port = Number(portText);
  if (isIP(host) !== (ipv6 === undefined ? 4 : 6) || port > MAX_PORT) return undefined;
  return {host, port};
}

/** Formats an address in the form that `parseHostPort` parses. */
export function formatHostPort({host, port}: HostPort): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}

export function isLoopback(host: string): boolean {
  return host === '::1' || (isIP(host) === 4 && host.startsWith('127.'));
}

/** Whether the address is the wildcard address, to which other machines cannot connect. */
export function isUnspecified(host: string): boolean {
  return host === '0.0.0.0' || (isIP(host) === 6 && /^[0:]+$/.test(host));
}
