export {requestFingerprints} from './fingerprint.js';
export type {FingerprintedRequest} from './fingerprint.js';
export {QUARANTINE_CRASH_THRESHOLD, poisonExportSchema, PoisonTable} from './poisonTable.js';
export type {
  InFlightRequest,
  PoisonEntry,
  PoisonExport,
  PoisonState,
  PoisonTableOptions,
} from './poisonTable.js';
