import {formatHostPort} from './hostPort.js';
import type {HostPort} from './hostPort.js';
import {flagNameOf} from './settingTable.js';
import type {DaemonSettings} from './settingTable.js';

const MASK = '***';

/**
 * Returns the settings by flag name as plain values for `--print-settings`, with secrets masked.
 */
export function maskSettings(
  settings: DaemonSettings,
): Record<string, string | number | boolean | null> {
  return Object.fromEntries(
    Object.entries(settings).map(([field, value]) => [
      flagNameOf(field),
      toPlainValue(field, value),
    ]),
  );
}

function toPlainValue(field: string, value: unknown): string | number | boolean | null {
  if (value === undefined) return null;
  if (field === 'otlpUrl') return maskUrl(value as string);
  if (field === 'controlReplicas') {
    return (value as DaemonSettings['controlReplicas'])
      .map(({id, address}) => `${id}=${formatHostPort(address)}`)
      .join(',');
  }
  if (typeof value === 'object') return formatHostPort(value as HostPort);
  return value as string | number | boolean;
}

/** Masks the parts of a URL that can contain credentials: user, password and query. */
export function maskUrl(text: string): string {
  if (!URL.canParse(text)) return text.replace(/\/\/[^/@]*@/, `//${MASK}@`);
  const url = new URL(text);
  if (url.username || url.password) {
    url.username = MASK;
    url.password = '';
  }
  if (url.search) url.search = MASK;
  return url.toString();
}
