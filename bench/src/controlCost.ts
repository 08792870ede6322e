import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {
  callAdmin,
  createTeam,
  eventually,
  startCluster,
  startNetwork,
  startProcess,
} from '@medlarlane/fixtures';
import type {Cluster, LinkTraffic, Network, Team} from '@medlarlane/fixtures';
import {atMost, roundFigure} from './figure.js';
import type {Figure} from './figure.js';
import {readCpuUs, readResidentBytes} from './processCost.js';

const SERVICE = 'bench-team/slope';
const DAEMON_COUNTS = [10, 50, 100, 200];
const SIMULATOR_PROCESSES = 4;
const LOADS_PER_REPORT = 4;
const SETTLE_MS = 4000;
const STEADY_MS = 10_000;
const CHANGES = 40;
const RENEWALS_PER_S = 1000 / 300;
// IPv4 and TCP headers with the timestamp option, for a segment and for its acknowledgement.
const SEGMENT_OVERHEAD_BYTES = 104;
const MAX_BYTES_PER_S = 3000;
const MAX_CORE_PERCENT = 2.4;
const TEAM_NAME = 'bench-team';

interface Sample {
  readonly traffic: LinkTraffic;
  readonly leaderUs: number;
  readonly followerUs: number;
  readonly simulatorUs: number;
}

interface Point {
  readonly daemons: number;
  readonly wireBytesPerS: number;
  readonly leaderUsPerS: number;
  readonly daemonUsPerS: number;
  readonly changeBytes: number;
  readonly changeDaemonUs: number;
  readonly changeFollowerUs: number;
  readonly replicaBytes: number;
}

/** Measures the cost of leases, load reports and directory changes by number of daemons. */
export async function controlCost(): Promise<Figure[]> {
  const points: Point[] = [];
  for (const daemons of DAEMON_COUNTS) points.push(await measure(daemons));
  const largest = points.at(-1)!;
  const pointsOf = (valueOf: (point: Point) => number): Array<readonly [number, number]> =>
    points.map((point) => [point.daemons, roundFigure(valueOf(point))] as const);
  const daemonPercent = largest.daemonUsPerS / 1e4;
  return [
    ...points.flatMap(({daemons, wireBytesPerS, daemonUsPerS, leaderUsPerS}) => [
      figure(`control-cost.bytes.${daemons}`, wireBytesPerS, 'B/s/daemon'),
      figure(`control-cost.daemon-cpu.${daemons}`, daemonUsPerS, 'us/s/daemon'),
      figure(`control-cost.leader-cpu.${daemons}`, leaderUsPerS, 'us/s/daemon'),
    ]),
    atMost(
      'control-cost.bytes',
      roundFigure(largest.wireBytesPerS),
      'B/s/daemon with TCP/IP headers',
      MAX_BYTES_PER_S,
    ),
    atMost('control-cost.cpu', roundFigure(daemonPercent), '% of a core/daemon', MAX_CORE_PERCENT),
    withPoints(
      'renewal-cost.bytes',
      largest.wireBytesPerS / RENEWALS_PER_S,
      'B/renewal',
      pointsOf(({wireBytesPerS}) => wireBytesPerS / RENEWALS_PER_S),
    ),
    withPoints(
      'renewal-cost.daemon-cpu',
      largest.daemonUsPerS / RENEWALS_PER_S,
      'us/renewal',
      pointsOf(({daemonUsPerS}) => daemonUsPerS / RENEWALS_PER_S),
    ),
    withPoints(
      'renewal-cost.leader-cpu',
      fitSlope(points, ({daemons, leaderUsPerS}) => (leaderUsPerS * daemons) / RENEWALS_PER_S),
      'us/renewal',
      pointsOf(({leaderUsPerS}) => leaderUsPerS / RENEWALS_PER_S),
    ),
    withPoints(
      'directory-cost.change-bytes',
      largest.changeBytes,
      'B/change/daemon',
      pointsOf(({changeBytes}) => changeBytes),
    ),
    withPoints(
      'directory-cost.change-cpu',
      largest.changeDaemonUs,
      'us/change',
      pointsOf(({changeDaemonUs}) => changeDaemonUs),
    ),
    ...replicaFigures(points),
  ];
}

/** Fits replica costs: a replica applies each change and sends it to a third of the daemons. */
function replicaFigures(points: readonly Point[]): Figure[] {
  const watchersOf = ({daemons}: Point): number => daemons / 3;
  const fit = fitLine(points.map((point) => [watchersOf(point), point.changeFollowerUs]));
  return [
    figure('replica-cost.watch-send-cpu', Math.max(0, fit.slope), 'us/change/watcher'),
    figure('replica-cost.apply-cpu', Math.max(0, fit.intercept), 'us/change'),
    figure('daemon-memory.idle', points[0]!.replicaBytes / 1e6, 'MB'),
  ];
}

async function measure(daemons: number): Promise<Point> {
  const network = startNetwork(3);
  const cluster = await startCluster({network});
  try {
    const team = createTeam(TEAM_NAME);
    const {admin} = cluster.replicas[0]!.ready;
    await eventually('the control leader', () => team.claim(admin));
    await applyRevision(team, admin, 0);
    const replicaBytes = readResidentBytes(cluster.replicas[0]!.pid);
    const simulatorPids = await startSimulatedDaemons(cluster, daemons);
    await waitUntilSettled(admin, daemons);
    await delay(SETTLE_MS);
    const steady = await sampleDuring(cluster, network, simulatorPids, () => delay(STEADY_MS));
    const perDaemonS = 1000 / (daemons * STEADY_MS);
    const changes = await sampleDuring(cluster, network, simulatorPids, () =>
      applyChanges(team, admin, daemons),
    );
    const steadyPeriods = changes.elapsedMs / STEADY_MS;
    const costPerChange = (costDuringChanges: number, steadyCost: number): number =>
      Math.max(0, costDuringChanges - steadyCost * steadyPeriods) / CHANGES;
    return {
      daemons,
      wireBytesPerS: wireBytesOf(steady.traffic) * perDaemonS,
      leaderUsPerS: steady.leaderUs * perDaemonS,
      daemonUsPerS: steady.simulatorUs * perDaemonS,
      changeBytes:
        costPerChange(wireBytesOf(changes.traffic), wireBytesOf(steady.traffic)) / daemons,
      changeDaemonUs: costPerChange(changes.simulatorUs, steady.simulatorUs) / daemons,
      changeFollowerUs: costPerChange(changes.followerUs, steady.followerUs),
      replicaBytes,
    };
  } finally {
    await cluster.dispose();
  }
}

async function startSimulatedDaemons(cluster: Cluster, daemons: number): Promise<number[]> {
  const module = path.join(import.meta.dirname, 'simulatedDaemonsMain.js');
  const started = await Promise.all(
    Array.from({length: SIMULATOR_PROCESSES}, async (_, index) => {
      const count =
        Math.floor(daemons / SIMULATOR_PROCESSES) + (index < daemons % SIMULATOR_PROCESSES ? 1 : 0);
      const args = {
        replicaAddresses: cluster.controlAddresses,
        service: SERVICE,
        prefix: `stand-in-${index}`,
        count,
        loadsPerReport: LOADS_PER_REPORT,
      };
      const simulator = await startProcess(module, [JSON.stringify(args)]);
      cluster.addCleanup(() => simulator.end());
      return simulator.pid;
    }),
  );
  return started;
}

async function waitUntilSettled(admin: string, daemons: number): Promise<void> {
  await eventually(
    `${daemons} sessions without moves`,
    async () => {
      const {services} = await callAdmin(admin, 'status', {});
      const service = services.find((one) => one.service === SERVICE);
      return service?.sessionCount === daemons && service.movingRangeCount === 0;
    },
    {timeoutMs: 60_000},
  );
}

async function sampleDuring(
  cluster: Cluster,
  network: Network,
  simulatorPids: readonly number[],
  action: () => Promise<void>,
): Promise<Sample & {readonly elapsedMs: number}> {
  const {leaderId} = await callAdmin(cluster.replicas[0]!.ready.admin, 'status', {});
  const leader = cluster.replicas[Number(leaderId.slice(1))]!;
  const followers = cluster.replicas.filter((replica) => replica !== leader);
  const takeSample = (): Sample => ({
    traffic: network.trafficOf('daemons'),
    leaderUs: readCpuUs(leader.pid),
    followerUs: followers.reduce((sum, {pid}) => sum + readCpuUs(pid), 0) / followers.length,
    simulatorUs: simulatorPids.reduce((sum, pid) => sum + readCpuUs(pid), 0),
  });
  const startedMs = performance.now();
  const before = takeSample();
  await action();
  const after = takeSample();
  return {
    traffic: {
      bytes: after.traffic.bytes - before.traffic.bytes,
      chunks: after.traffic.chunks - before.traffic.chunks,
    },
    leaderUs: after.leaderUs - before.leaderUs,
    followerUs: after.followerUs - before.followerUs,
    simulatorUs: after.simulatorUs - before.simulatorUs,
    elapsedMs: performance.now() - startedMs,
  };
}

async function applyChanges(team: Team, admin: string, daemons: number): Promise<void> {
  for (let change = 1; change <= CHANGES; change++) {
    const {index} = await applyRevision(team, admin, change);
    if (change < CHANGES) continue;
    await eventually('the last change to be in force', async () => {
      const {applied} = await callAdmin(admin, 'inForce', {service: SERVICE, index});
      return applied.length >= daemons;
    });
  }
}

function applyRevision(team: Team, admin: string, baseRevision: number): ReturnType<Team['apply']> {
  const targets = {slots: 18, connections: 120 + baseRevision};
  const key = {from: 'path', segment: 1} as const;
  return team.apply(admin, {service: SERVICE, splitByKey: true, key, targets}, {baseRevision});
}

function wireBytesOf({bytes, chunks}: LinkTraffic): number {
  return bytes + chunks * SEGMENT_OVERHEAD_BYTES;
}

function fitSlope(points: readonly Point[], valueOf: (point: Point) => number): number {
  return fitLine(points.map((point) => [point.daemons, valueOf(point)])).slope;
}

/** Fits a line with the method of least squares. */
function fitLine(points: ReadonlyArray<readonly [number, number]>): {
  slope: number;
  intercept: number;
} {
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope = covariance / variance;
  return {slope, intercept: meanY - slope * meanX};
}

function figure(name: string, value: number, unit: string): Figure {
  return {name, value: roundFigure(value), unit};
}

function withPoints(
  name: string,
  value: number,
  unit: string,
  points: ReadonlyArray<readonly [number, number]>,
): Figure {
  return {...figure(name, value, unit), points, pointsX: 'daemons'};
}
