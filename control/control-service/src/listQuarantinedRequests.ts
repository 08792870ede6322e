import type {PoisonEntry} from '@medlarlane/admin-api';
import type {ServicePoisonReport} from '@medlarlane/control-state';

// Default time for which a daemon rejects a quarantined request.
const QUARANTINE_MS = 600_000;

/** Lists the requests that are quarantined now, each from the latest report that contains it. */
export function listQuarantinedRequests(
  reports: readonly ServicePoisonReport[],
  wallMs: number,
): PoisonEntry[] {
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
