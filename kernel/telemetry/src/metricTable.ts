/** Definition of one metric. */
export interface MetricDefinition {
  readonly kind: 'counter' | 'gauge' | 'histogram';
  /** Name in the exposition, which ends with the unit. */
  readonly name: string;
  readonly help: string;
  readonly labels: readonly string[];
  /** Upper bounds of the histogram buckets, in the unit of the metric. */
  readonly buckets?: readonly number[];
}

// Includes the documented latency targets as bucket bounds: 20 ms for 99 of 100 requests and 3 s
// for a failover.
const DURATION_BUCKETS_S = [
  0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 3, 10,
];

/**
 * All metrics of a process. `docs/operations/metrics.md` explains each of them. Labels must have
 * low cardinality: no label contains a key, a request id or an address.
 */
export const METRICS = {
  // Requests.
  requests: counter('requests_total', 'Finished requests of callers.', ['service', 'code', 'ran']),
  requestDuration: histogram(
    'request_duration_seconds',
    'Time from the head of a request of a caller to the end of its response.',
    ['service'],
  ),
  hopDuration: histogram(
    'hop_duration_seconds',
    'Time that one hop adds: entry, owner or target.',
    ['hop'],
  ),
  requestsInFlight: gauge('requests_in_flight', 'Requests sent to the local target.', ['service']),
  queueLength: gauge('queue_length', 'Requests that wait for the local target.', ['service']),
  queueWait: histogram('queue_wait_seconds', 'Time that requests waited in the queue.', [
    'service',
  ]),
  concurrencyLimit: gauge(
    'concurrency_limit',
    'Requests that the local target may run at the same time, as learned.',
    ['service'],
  ),
  retries: counter('retries_total', 'Requests that were sent again.', ['service', 'reason']),
  refusals: counter('refusals_total', 'Requests that this daemon refused.', ['service', 'code']),

  // Ownership.
  leaseRenewal: histogram(
    'lease_renewal_duration_seconds',
    'Round trip of lease renewals to the control leader.',
  ),
  leaseRemaining: gauge('lease_remaining_seconds', 'Remaining time of the lease; 0 without one.'),
  unavailableSeconds: counter(
    'unavailable_seconds_total',
    'Time for which positions had no serving owner, weighted with their share of the key space.',
    ['service'],
  ),
  imbalance: gauge(
    'imbalance_ratio',
    'Greatest load of a server divided by the mean load of its service.',
    ['service'],
  ),
  movedShare: counter(
    'moved_positions_ratio_total',
    'Positions whose owner changed, as a share of the key space.',
    ['service', 'cause'],
  ),
  movedRanges: counter('moved_ranges_total', 'Ranges whose owner changed.', ['service', 'cause']),

  // Directory and configuration.
  directoryIndex: gauge('directory_index', 'Log index up to which the directory is applied.', [
    'group',
  ]),
  directoryLag: gauge(
    'directory_lag_entries',
    "Log entries between the leader's commit index and the directory.",
    ['group'],
  ),
  directoryStale: gauge(
    'directory_stale_seconds',
    "Time since this daemon last confirmed the leader's commit index.",
    ['group'],
  ),
  timeToInForce: histogram(
    'time_to_in_force_seconds',
    'Time from the commit of a document until every live daemon reports it applied.',
    [],
    [0.1, 0.25, 0.5, 1, 2, 4, 8, 16],
  ),

  // Control replicas.
  role: gauge('replica_role', '1 for the current role of the replica, 0 for the others.', ['role']),
  term: gauge('replica_term', 'Current term of the replica.'),
  commits: counter('commits_total', 'Log entries committed, by kind of command.', ['kind']),
  commitDuration: histogram(
    'commit_duration_seconds',
    'Time from the proposal of a command to its application.',
  ),
  logBytes: gauge('log_bytes', 'Size of the log files.'),
  snapshotBytes: gauge('snapshot_bytes', 'Size of the newest snapshot.'),
  logWriteFailed: gauge('log_write_failed', '1 when the log cannot be written, else 0.'),

  // Control traffic.
  controlSent: counter('control_sent_bytes_total', 'Control traffic sent.', ['kind']),
  controlReceived: counter('control_received_bytes_total', 'Control traffic received.', ['kind']),

  // Protection of targets and callers.
  targetUp: gauge('target_up', '1 when the local target is announced and healthy, else 0.', [
    'service',
  ]),
  probeDuration: histogram('probe_duration_seconds', 'Time of health probes of the target.', [
    'result',
  ]),
  poisonEntries: gauge('poison_entries', 'Requests that are quarantined.', ['service']),
  dedupeRecords: gauge('dedupe_records', 'Idempotency records held.', ['service']),
  dedupeBytes: gauge('dedupe_bytes', 'Memory that idempotency records use.', ['service']),
  tlsRemaining: gauge(
    'tls_certificate_remaining_seconds',
    'Time until the certificate of this process expires.',
  ),
} as const satisfies Record<string, MetricDefinition>;

export type MetricName = keyof typeof METRICS;

interface MetricRow<K, L extends string> {
  readonly kind: K;
  readonly name: string;
  readonly help: string;
  readonly labels: readonly L[];
}

function counter<L extends string = never>(
  name: string,
  help: string,
  labels: readonly L[] = [],
): MetricRow<'counter', L> {
  return {kind: 'counter', name: `medlarlane_${name}`, help, labels};
}

function gauge<L extends string = never>(
  name: string,
  help: string,
  labels: readonly L[] = [],
): MetricRow<'gauge', L> {
  return {kind: 'gauge', name: `medlarlane_${name}`, help, labels};
}

function histogram<L extends string = never>(
  name: string,
  help: string,
  labels: readonly L[] = [],
  buckets: readonly number[] = DURATION_BUCKETS_S,
): MetricRow<'histogram', L> & {readonly buckets: readonly number[]} {
  return {kind: 'histogram', name: `medlarlane_${name}`, help, labels, buckets};
}
