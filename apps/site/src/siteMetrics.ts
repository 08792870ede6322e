import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {EntryOutcome, MemoryBudget, RunResult, TargetLoad} from '@medlarlane/request-path';

export interface SiteMetrics {
  /** Records a finished request of a caller. */
  recordRequest(outcome: EntryOutcome): void;
  /** Records a finished request at the target. */
  recordTargetRun(result: RunResult, durationMs: number): void;
  /** Returns the metrics in the Prometheus text format. */
  expose(): Promise<{contentType: string; text: string}>;
}

export interface DaemonMetricSources {
  readonly load: () => TargetLoad;
  /** Admission levels below 1 by service and priority. */
  readonly admissionLevels: () => Iterable<{service: string; priority: number; level: number}>;
  readonly configVersion: () => number;
  /** Requests per second that the target accepts; `undefined` if it names no limit. */
  readonly rateLimitRps: () => number | undefined;
  /** Time for which the target stays cold. */
  readonly coldLeftMs: () => number;
  /** Requests of callers that were read and wait for processor time. */
  readonly pendingStarts: () => number;
  /** Slots of requests that were given up but that the target may still run. */
  readonly heldSlots: () => number;
  /** Factor by which work at the target currently takes longer than usual; `undefined` if unknown. */
  readonly slowdown: () => number | undefined;
  /** Requests per second for the keys of the target. */
  readonly keyRps: () => number;
  /** Time since the last response of a control leader. */
  readonly controlSilentMs: () => number;
  /** Whether the target next to this daemon is out of service because of an evacuation. */
  readonly isEvacuated: () => boolean;
  readonly evacuatedZoneCount: () => number;
  readonly memoryBudget: MemoryBudget;
}

/** Upper bounds of the latency histograms; 20 ms is the latency objective for one hop. */
const DURATION_BUCKETS_S = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1, 1.5, 2.5, 5];

/** Creates the metrics of a daemon next to a target. Labels contain no keys, ids or addresses. */
export function createDaemonMetrics(sources: DaemonMetricSources): SiteMetrics {
  const registry = new Registry();
  const registers = [registry];
  const requests = new Counter({
    name: 'medlarlane_site_requests_total',
    help: 'Finished requests of callers by status and number of offers.',
    labelNames: ['route', 'status', 'offers'],
    registers,
  });
  const unserved = new Counter({
    name: 'medlarlane_site_unserved_total',
    help: 'Requests of callers without a successful response, each with one cause.',
    labelNames: ['route', 'cause'],
    registers,
  });
  const duration = new Histogram({
    name: 'medlarlane_site_request_duration_seconds',
    help: 'Time from the header of a request to the decision on its response.',
    labelNames: ['route'],
    buckets: DURATION_BUCKETS_S,
    registers,
  });
  const runs = new Counter({
    name: 'medlarlane_site_target_runs_total',
    help: 'Requests at the target next to this daemon by outcome.',
    labelNames: ['outcome'],
    registers,
  });
  const work = new Histogram({
    name: 'medlarlane_site_target_duration_seconds',
    help: 'Duration of requests at the target.',
    buckets: DURATION_BUCKETS_S,
    registers,
  });
  gauge(registry, 'in_flight', 'Requests at the target.', () => sources.load().inFlight);
  gauge(registry, 'waiting', 'Requests that wait for a slot.', () => sources.load().waiting);
  new Gauge({
    name: 'medlarlane_site_admission_level',
    help: 'Fraction of the requests that this daemon admits; absent while it admits all.',
    labelNames: ['service', 'priority'],
    registers,
    collect() {
      this.reset();
      for (const {service, priority, level} of sources.admissionLevels()) {
        this.set({service, priority: String(priority)}, level);
      }
    },
  });
  gauge(registry, 'slots', 'Slots of the target.', () => sources.load().slots);
  gauge(
    registry,
    'paced_slots',
    'Slots in use while the target starts slowly or recovers, else all slots.',
    () => sources.load().pacedSlots ?? sources.load().slots,
  );
  gauge(
    registry,
    'rate_limit_rps',
    'Requests per second that the target accepts; NaN if it names no limit.',
    () => sources.rateLimitRps() ?? NaN,
  );
  gauge(
    registry,
    'cold_left_seconds',
    'Time for which the target stays cold.',
    () => sources.coldLeftMs() / 1_000,
  );
  gauge(
    registry,
    'held_slots',
    'Slots of requests that were given up but that the target may still run.',
    sources.heldSlots,
  );
  gauge(
    registry,
    'target_slowdown_ratio',
    'Factor by which work currently takes longer than usual; NaN if the target does not state it.',
    () => sources.slowdown() ?? NaN,
  );
  gauge(
    registry,
    'pending_starts',
    'Requests of callers that were read and wait for processor time.',
    sources.pendingStarts,
  );
  gauge(registry, 'key_requests_rps', 'Requests for the keys of the target.', sources.keyRps);
  gauge(
    registry,
    'config_version',
    'Version of the configuration in force.',
    sources.configVersion,
  );
  gauge(
    registry,
    'control_silent_seconds',
    'Time since the last response of a control leader.',
    () => sources.controlSilentMs() / 1_000,
  );
  gauge(
    registry,
    'target_evacuated',
    '1 while the target is out of service because of an evacuation, else 0.',
    () => (sources.isEvacuated() ? 1 : 0),
  );
  gauge(registry, 'evacuated_zones', 'Evacuated availability zones.', sources.evacuatedZoneCount);
  const {memoryBudget} = sources;
  gauge(
    registry,
    'held_bytes',
    'Bytes of requests, responses and send queues in memory.',
    () => memoryBudget.heldBytes,
  );
  gauge(
    registry,
    'open_streams',
    'Large responses that are being received or written.',
    () => memoryBudget.readerCount,
  );
  gauge(
    registry,
    'memory_cut_offs',
    'Responses cut off since the start because the memory budget was exceeded.',
    () => memoryBudget.cutOffCount,
  );
  return {
    recordRequest: ({route, status, durationMs, attempts, cause}) => {
      if (cause) unserved.inc({route, cause});
      requests.inc({route, status: String(status), offers: String(attempts)});
      duration.observe({route}, durationMs / 1_000);
    },
    recordTargetRun: (result, durationMs) => {
      runs.inc({outcome: result.kind});
      work.observe(durationMs / 1_000);
    },
    expose: () => expose(registry),
  };
}

export interface ControlMetricSources {
  readonly term: () => number;
  readonly isLeader: () => boolean;
  readonly commitIndex: () => number;
  readonly configVersion: () => number;
  readonly evacuatedZoneCount: () => number;
}

/** Creates the metrics of a control replica. */
export function createControlMetrics(
  sources: ControlMetricSources,
): Pick<SiteMetrics, 'expose'> & {readonly changes: Counter<'outcome'>} {
  const registry = new Registry();
  gauge(registry, 'term', 'Term of the replicated log.', sources.term);
  gauge(registry, 'is_leader', '1 on the leader, else 0.', () => (sources.isLeader() ? 1 : 0));
  gauge(registry, 'commit_index', 'Last committed entry.', sources.commitIndex);
  gauge(registry, 'config_version', 'Version of the newest configuration.', sources.configVersion);
  gauge(registry, 'evacuated_zones', 'Evacuated availability zones.', sources.evacuatedZoneCount);
  const changes = new Counter({
    name: 'medlarlane_site_configuration_changes_total',
    help: 'Decided configuration changes by outcome.',
    labelNames: ['outcome'],
    registers: [registry],
  });
  return {changes, expose: () => expose(registry)};
}

function gauge(registry: Registry, name: string, help: string, read: () => number): void {
  new Gauge({
    name: `medlarlane_site_${name}`,
    help,
    registers: [registry],
    collect() {
      this.set(read());
    },
  });
}

async function expose(registry: Registry): Promise<{contentType: string; text: string}> {
  return {contentType: registry.contentType, text: await registry.metrics()};
}
