import type {PoisonEntry} from '@medlarlane/admin-api';
import type {ServicePoisonReport} from '@medlarlane/control-state';

// How long a daemon refuses a quarantined request by default.
const QUARANTINE_MS = 600_000;

/** The requests that are quarantined now, from the latest report that names each. */
export function listPoison(reports: readonly ServicePoisonReport[], wallMs: number): PoisonEntry[] {
  const entries = new Map<string, PoisonEntry>();
  for (const {service, reportedAtMs, report} of reports) {
    for (const {fingerprint, quarantinedForMs, crashes} of report) {
      if (quarantinedForMs === undefined) continue;
      const remainingMs = QUARANTINE_MS - quarantinedForMs - (wallMs - reportedAtMs);
      if (remainingMs <= 0) continue;
      entries.set(fingerprint, {service, fingerprint, crashes: crashes.length, remainingMs});
    }
  }
  return [...entries.values()];
}
