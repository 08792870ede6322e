export const IDENTITY_FILE = 'identity.json';
export const LOG_NAME = /^log-(\d{16})$/;
export const SNAPSHOT_NAME = /^snapshot-(\d{16})$/;

/** Log files are numbered from 1; the one with the highest number is in use. */
export function logName(logNumber: number): string {
  return `log-${String(logNumber).padStart(16, '0')}`;
}

export function snapshotName(index: number): string {
  return `snapshot-${String(index).padStart(16, '0')}`;
}
