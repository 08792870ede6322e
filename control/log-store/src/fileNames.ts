export const IDENTITY_FILE = 'identity.json';
export const LOG_FILE_PATTERN = /^log-(\d{16})$/;
export const SNAPSHOT_FILE_PATTERN = /^snapshot-(\d{16})$/;

/** Log files are numbered from 1; the file with the highest number is the current one. */
export function logFileName(logNumber: number): string {
  return `log-${String(logNumber).padStart(16, '0')}`;
}

export function snapshotFileName(index: number): string {
  return `snapshot-${String(index).padStart(16, '0')}`;
}
