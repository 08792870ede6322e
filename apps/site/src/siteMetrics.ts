import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {EntryOutcome, TargetLoad, RunResult} from '@medlarlane/request-path';

export interface SiteMetrics {
  /** A caller's request ended. */
  answered(outcome: EntryOutcome): void;
  /** A request that came to the target's gate ended. */
  ranAtTarget(result: RunResult, workMs: number): void;
  /** The exposition for a scrape. */
  expose(): Promise<{contentType: string; text: string}>;
}

export interface DaemonMetricSources {
  readonly load: () => TargetLoad;
  readonly configVersion: () => number;
  /** Time since the last answer of a control leader. */
  readonly controlSilentMs: () => number;
}

/** Upper bounds of the latency histograms; 20 ms is the stated target for a hop through the system. */
const DURATION_BUCKETS_S = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1, 1.5, 2.5, 5];

/** Creates the metrics of a daemon beside a target. Labels hold no keys, ids or addresses. */
export function createDaemonMetrics(sources: DaemonMetricSources): SiteMetrics {
  const registry = new Registry();
  const registers = [registry];
  const requests = new Counter({
    name: 'medlarlane_site_requests_total',
    help: 'Finished requests of callers by status and number of offers.',
    labelNames: ['route', 'status', 'offers'],
    registers,
  });
  const duration = new Histogram({
    name: 'medlarlane_site_request_duration_seconds',
    help: 'Time from the head of a request to the decision on its answer.',
    labelNames: ['route'],
    buckets: DURATION_BUCKETS_S,
    registers,
  });
  const runs = new Counter({
    name: 'medlarlane_site_target_runs_total',
    help: 'Requests at the target beside this daemon by what became of them.',
    labelNames: ['outcome'],
    registers,
  });
  const work = new Histogram({
    name: 'medlarlane_site_target_duration_seconds',
    help: 'Time that the target took.',
    buckets: DURATION_BUCKETS_S,
    registers,
  });
  gauge(registry, 'in_flight', 'Requests at the target.', () => sources.load().inFlight);
  gauge(registry, 'waiting', 'Requests that wait for a slot.', () => sources.load().waiting);
  gauge(registry, 'slots', 'Slots of the target.', () => sources.load().slots);
  gauge(registry, 'config_version', 'Configuration in force.', sources.configVersion);
  gauge(
    registry,
    'control_silent_seconds',
    'Time since the last answer of a control leader.',
    () => sources.controlSilentMs() / 1_000,
  );
  return {
    answered: ({route, status, durationMs, attempts}) => {
      requests.inc({route, status: String(status), offers: String(attempts)});
      duration.observe({route}, durationMs / 1_000);
    },
    ranAtTarget: (result, workMs) => {
      runs.inc({outcome: result.kind});
      work.observe(workMs / 1_000);
    },
    expose: () => expose(registry),
  };
}

export interface ControlMetricSources {
  readonly term: () => number;
  readonly isLeader: () => boolean;
  readonly commitIndex: () => number;
  readonly configVersion: () => number;
}

/** Creates the metrics of a control replica. */
export function createControlMetrics(
  sources: ControlMetricSources,
): Pick<SiteMetrics, 'expose'> & {readonly changes: Counter<'outcome'>} {
  const registry = new Registry();
  gauge(registry, 'term', 'Term of the replicated log.', sources.term);
  gauge(registry, 'is_leader', '1 on the leader, else 0.', () => (sources.isLeader() ? 1 : 0));
  gauge(registry, 'commit_index', 'Last committed entry.', sources.commitIndex);
  gauge(registry, 'config_version', 'Newest configuration.', sources.configVersion);
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
