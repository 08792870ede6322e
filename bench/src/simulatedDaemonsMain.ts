import {z} from 'zod';
import {ControlClient} from '@medlarlane/control-client';
import {Directory} from '@medlarlane/directory';
import {BackgroundTasks, systemClock} from '@medlarlane/lifecycle';
import {silentLogger} from '@medlarlane/logger';
import {Lease, Ownership, RangeReleaser} from '@medlarlane/ownership';

/**
 * Simulates many daemons without listeners in one process. Each renews a lease, watches the
 * directory, releases ranges that are moved and reports loads. The argument is one JSON object.
 */
const argsSchema = z.object({
  replicaAddresses: z.array(z.string()),
  service: z.string(),
  prefix: z.string(),
  count: z.int().positive(),
  /** Number of range loads per report; a report is sent every 2 s. */
  loadsPerReport: z.int().min(0),
});

const args = argsSchema.parse(JSON.parse(process.argv[2] ?? '{}'));
const REPORT_INTERVAL_MS = 2000;
const RENEW_INTERVAL_MS = 300;

for (let index = 0; index < args.count; index++) startSimulatedDaemon(index);
process.stdout.write(`${JSON.stringify({started: args.count})}\n`);
process.once('SIGTERM', () => process.exit(0));

function startSimulatedDaemon(index: number): void {
  const clock = systemClock;
  const directory = new Directory();
  const lease = new Lease(clock);
  const tasks = new BackgroundTasks({
    onFailure: (taskName, failure) => console.error(taskName, failure),
  });
  const client = new ControlClient({
    replicaAddresses: args.replicaAddresses,
    lease,
    directory,
    clock,
    tasks,
    logger: silentLogger,
    renewIntervalMs: RENEW_INTERVAL_MS,
    watchOffset: index,
    collectLoadReport: createLoadReporter(directory, lease),
  });
  new RangeReleaser({
    lease,
    ownership: new Ownership(lease, directory),
    directory,
    tasks,
    clock,
    logger: silentLogger,
    handOverRecords: async () => undefined,
    onMoveCancelled: () => undefined,
    reportReleased: (ranges) => client.reportReleased(ranges),
  }).start();
  client.register({
    instanceId: `${args.prefix}-${index}`,
    incarnation: `${args.prefix}-${index}-${process.pid}`,
    service: args.service,
    region: 'local',
    availabilityZone: 'zone-a',
    callerAddress: '127.0.0.1:1',
    peerAddress: '127.0.0.1:2',
    adminAddress: '127.0.0.1:3',
  });
  client.start();
}

/** Returns a function that reports even loads of a few owned ranges, as under steady traffic. */
function createLoadReporter(
  directory: Directory,
  lease: Lease,
): () => ReturnType<ConstructorParameters<typeof ControlClient>[0]['collectLoadReport']> {
  let nextReportAtMs = systemClock.nowMs();
  return () => {
    const empty = {rangeLoads: [], keyLoads: [], inFlight: 0};
    if (systemClock.nowMs() < nextReportAtMs) return empty;
    nextReportAtMs += REPORT_INTERVAL_MS;
    const owned = (directory.ranges(args.service)?.all ?? []).filter(
      ({ownerSessionId}) => ownerSessionId === lease.sessionId,
    );
    const rangeLoads = Array.from({length: args.loadsPerReport}, (_, loadIndex) => ({
      startPosition: owned[loadIndex % Math.max(1, owned.length)]?.startPosition ?? 0,
      rateRps: 100,
    }));
    return {...empty, rangeLoads};
  };
}
