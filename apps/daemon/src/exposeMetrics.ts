import type {ControlClient} from '@medlarlane/control-client';
import type {ControlObserver, ControlService} from '@medlarlane/control-service';
import type {IdempotencyTable} from '@medlarlane/dedupe';
import type {Directory} from '@medlarlane/directory';
import type {RequestRecord} from '@medlarlane/forwarder';
import type {Clock} from '@medlarlane/lifecycle';
import type {Lease} from '@medlarlane/ownership';
import type {PoisonTable} from '@medlarlane/poison';
import type {Metrics} from '@medlarlane/telemetry';
import type {TlsWatcher} from '@medlarlane/tls';
import type {DirectoryMeter} from './directoryMeter.js';
import type {TargetSupervisor} from './targetSupervisor.js';

const MS_PER_S = 1000;

/** Sources of the gauges, which are read at each scrape. */
export interface MetricSources {
  readonly metrics: Metrics;
  readonly clock: Clock;
  readonly group: string;
  readonly directory: Directory;
  readonly directoryMeter: DirectoryMeter;
  readonly lease: Lease;
  readonly controlClient: ControlClient;
  readonly controlService: ControlService | undefined;
  readonly targetSupervisor: TargetSupervisor;
  readonly idempotency: IdempotencyTable;
  readonly poison: PoisonTable;
  readonly tls: TlsWatcher | undefined;
}

/** Updates the gauges and returns the metrics in the Prometheus text format. */
export function exposeMetrics(
  sources: MetricSources,
): Promise<{contentType: string; text: string}> {
  const {metrics} = sources;
  sources.directoryMeter.update();
  updateOwnershipGauges(sources);
  updateTargetGauges(sources);
  updateReplicaGauges(sources);
  if (sources.tls) {
    const remainingMs = sources.tls.material.notAfterMs - sources.clock.wallMs();
    metrics.tlsRemaining.set(remainingMs / MS_PER_S);
  }
  return metrics.expose();
}

/** Creates the observer for metrics that only the control leader can measure. */
export function createControlObserver(metrics: Metrics): ControlObserver {
  return {
    recordImbalance: (service, imbalance) => metrics.imbalance.set({service}, imbalance),
    recordUnavailability: (service, unownedFraction, unavailableMs) =>
      metrics.unavailableSeconds.inc({service}, (unownedFraction * unavailableMs) / MS_PER_S),
  };
}

/** Records a finished request of a caller. */
export function countRequest(metrics: Metrics, record: RequestRecord): void {
  const {service, code, ran, durationMs} = record;
  metrics.requests.inc({service, code: code ?? 'OK', ran: ran ?? 'yes'});
  metrics.requestDuration.observe({service}, durationMs / MS_PER_S);
  if (code !== undefined) metrics.refusals.inc({service, code});
}

function updateOwnershipGauges({
  metrics,
  lease,
  clock,
  group,
  directory,
  controlClient,
}: MetricSources): void {
  metrics.leaseRemaining.set(lease.remainingMs / MS_PER_S);
  metrics.directoryIndex.set({group}, directory.appliedIndex);
  const staleMs = clock.nowMs() - controlClient.directoryCurrentAtMs;
  if (Number.isFinite(staleMs)) metrics.directoryStale.set({group}, staleMs / MS_PER_S);
}

function updateTargetGauges({metrics, targetSupervisor, idempotency, poison}: MetricSources): void {
  const {current} = targetSupervisor;
  metrics.targetUp.reset();
  if (!current) return;
  const {service} = current.target;
  metrics.targetUp.set({service}, 1);
  metrics.requestsInFlight.set({service}, current.admission.inFlight);
  metrics.queueLength.set({service}, current.admission.waiting);
  metrics.concurrencyLimit.set({service}, current.concurrencyLimit);
  metrics.dedupeRecords.set({service}, idempotency.stats.records);
  metrics.dedupeBytes.set({service}, idempotency.stats.bytes);
  const quarantined = poison.list().filter(({state}) => state === 'quarantined');
  metrics.poisonEntries.set({service}, quarantined.length);
}

function updateReplicaGauges({metrics, controlService}: MetricSources): void {
  if (!controlService) return;
  const {role, term, failure} = controlService.replica.status();
  for (const roleLabel of ['leader', 'candidate', 'follower']) {
    metrics.role.set({role: roleLabel}, roleLabel === role ? 1 : 0);
  }
  metrics.term.set(term);
  metrics.logWriteFailed.set(failure ? 1 : 0);
}
