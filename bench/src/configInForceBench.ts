import {callAdmin, createTeam, eventually, startCluster} from '@medlarlane/fixtures';
import type {Cluster, Team} from '@medlarlane/fixtures';
import {atMost, roundFigure} from './figure.js';
import type {BenchOptions, Figure} from './figure.js';

const MAX_IN_FORCE_MS = 8000;
const DAEMON_COUNT = 8;
const SERVICE = 'prairie-crag/resetdesk';

/** Measures the time until every daemon has applied a document, with and without a lost replica. */
export async function configInForceBench({trials}: BenchOptions): Promise<Figure[]> {
  const cluster = await startCluster();
  try {
    const daemons = await Promise.all(
      Array.from({length: DAEMON_COUNT}, (_, number) =>
        cluster.startDaemon({instanceId: `daemon-${number}`}),
      ),
    );
    const {admin} = daemons[0]!.ready;
    const team = createTeam('prairie-crag');
    await eventually('the control leader', () => team.claim(admin));
    const figures = await measure(team, admin, {name: 'whole', firstRevision: 0, trials});
    await killControlLeader(cluster, admin);
    const figuresAfterLoss = await measure(team, admin, {
      name: 'replica-lost',
      firstRevision: trials,
      trials,
    });
    return [...figures, ...figuresAfterLoss];
  } finally {
    await cluster.dispose();
  }
}

async function measure(
  team: Team,
  admin: string,
  opts: {readonly name: string; readonly firstRevision: number; readonly trials: number},
): Promise<Figure[]> {
  const {name, firstRevision, trials} = opts;
  const timesMs: number[] = [];
  for (let baseRevision = firstRevision; baseRevision < firstRevision + trials; baseRevision++) {
    const sentAtMs = performance.now();
    const changeId = `config-${name}-${baseRevision}`;
    const document = {
      service: SERVICE,
      splitByKey: false,
      targets: {slots: baseRevision + 1, connections: 120},
    };
    const {index} = await eventually('the change', () =>
      team.apply(admin, document, {baseRevision, changeId}),
    );
    await eventually('the change to be in force', async () => {
      const {applied, notApplied} = await callAdmin(admin, 'inForce', {service: SERVICE, index});
      return applied.length >= DAEMON_COUNT && notApplied.length === 0;
    });
    timesMs.push(performance.now() - sentAtMs);
  }
  timesMs.sort((a, b) => a - b);
  const figure = (label: string, valueMs: number): Figure =>
    atMost(`config-in-force.${name}.${label}`, roundFigure(valueMs), 'ms', MAX_IN_FORCE_MS);
  return [
    figure('median', timesMs[Math.floor(trials / 2)]!),
    figure(`worst-of-${trials}`, timesMs.at(-1)!),
  ];
}

/** Kills the control leader. The next change also waits for the election. */
async function killControlLeader(cluster: Cluster, admin: string): Promise<void> {
  const {leaderId} = await callAdmin(admin, 'status', {});
  await cluster.replicas[Number(leaderId.slice(1))]!.end();
}
