export {requestFingerprints} from './fingerprint.js';
export type {FingerprintedRequest} from './fingerprint.js';
export {POISON_CRASHES, poisonExportSchema, PoisonTable} from './poisonTable.js';
export type {
  InFlightRequest,
  PoisonEntry,
  PoisonExport,
  PoisonState,
  PoisonTableOptions,
} from './poisonTable.js';
