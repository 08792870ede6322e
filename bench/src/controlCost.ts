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
import {atMost, rounded} from './figure.js';
import type {Figure} from './figure.js';
import {cpuUsOf, residentBytesOf} from './processCost.js';

const SERVICE = 'bench-team/slope';
const DAEMON_COUNTS = [10, 50, 100, 200];
const STAND_IN_PROCESSES = 4;
const LOADS_PER_REPORT = 4;
const SETTLE_MS = 4000;
const STEADY_MS = 10_000;
const CHANGES = 40;
const RENEWALS_PER_S = 1000 / 300;
// IPv4 and TCP headers with the timestamp option, once for the segment and once for its acknowledgement.
const SEGMENT_OVERHEAD_BYTES = 104;
const MAX_BYTES_PER_S = 3000;
const MAX_CORE_PERCENT = 2.4;
const TEAM_NAME = 'bench-team';

interface Sample {
  readonly traffic: LinkTraffic;
  readonly leaderUs: number;
  readonly followerUs: number;
  readonly standInUs: number;
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

/** Cost of leases, load reports and directory changes against the number of daemons. */
export async function controlCost(): Promise<Figure[]> {
  const points: Point[] = [];
  for (const daemons of DAEMON_COUNTS) points.push(await measure(daemons));
  const largest = points.at(-1)!;
  const per = (pick: (point: Point) => number): Array<readonly [number, number]> =>
    points.map((point) => [point.daemons, rounded(pick(point))] as const);
  const daemonPercent = largest.daemonUsPerS / 1e4;
  return [
    ...points.flatMap(({daemons, wireBytesPerS, daemonUsPerS, leaderUsPerS}) => [
      figure(`control-cost.bytes.${daemons}`, wireBytesPerS, 'B/s/daemon'),
      figure(`control-cost.daemon-cpu.${daemons}`, daemonUsPerS, 'us/s/daemon'),
      figure(`control-cost.leader-cpu.${daemons}`, leaderUsPerS, 'us/s/daemon'),
    ]),
    atMost(
      'control-cost.bytes',
      rounded(largest.wireBytesPerS),
      'B/s/daemon with TCP/IP headers',
      MAX_BYTES_PER_S,
    ),
    atMost('control-cost.cpu', rounded(daemonPercent), '% of a core/daemon', MAX_CORE_PERCENT),
    withPoints(
      'renewal-cost.bytes',
      largest.wireBytesPerS / RENEWALS_PER_S,
      'B/renewal',
      per(({wireBytesPerS}) => wireBytesPerS / RENEWALS_PER_S),
    ),
    withPoints(
      'renewal-cost.daemon-cpu',
      largest.daemonUsPerS / RENEWALS_PER_S,
      'us/renewal',
      per(({daemonUsPerS}) => daemonUsPerS / RENEWALS_PER_S),
    ),
    withPoints(
      'renewal-cost.leader-cpu',
      slopeOf(points, ({daemons, leaderUsPerS}) => (leaderUsPerS * daemons) / RENEWALS_PER_S),
      'us/renewal',
      per(({leaderUsPerS}) => leaderUsPerS / RENEWALS_PER_S),
    ),
    withPoints(
      'directory-cost.change-bytes',
      largest.changeBytes,
      'B/change/daemon',
      per(({changeBytes}) => changeBytes),
    ),
    withPoints(
      'directory-cost.change-cpu',
      largest.changeDaemonUs,
      'us/change',
      per(({changeDaemonUs}) => changeDaemonUs),
    ),
    ...replicaFigures(points),
  ];
}

/** A replica applies each change once and sends it to a third of the daemons. */
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
    const replicaBytes = residentBytesOf(cluster.replicas[0]!.pid);
    const standInPids = await startStandIns(cluster, daemons);
    await waitForRest(admin, daemons);
    await delay(SETTLE_MS);
    const steady = await sampleDuring(cluster, network, standInPids, () => delay(STEADY_MS));
    const perDaemonS = 1000 / (daemons * STEADY_MS);
    const changes = await sampleDuring(cluster, network, standInPids, () =>
      applyChanges(team, admin, daemons),
    );
    const idle = changes.elapsedMs / STEADY_MS;
    const perChange = (changed: number, steadily: number): number =>
      Math.max(0, changed - steadily * idle) / CHANGES;
    return {
      daemons,
      wireBytesPerS: onWire(steady.traffic) * perDaemonS,
      leaderUsPerS: steady.leaderUs * perDaemonS,
      daemonUsPerS: steady.standInUs * perDaemonS,
      changeBytes: perChange(onWire(changes.traffic), onWire(steady.traffic)) / daemons,
      changeDaemonUs: perChange(changes.standInUs, steady.standInUs) / daemons,
      changeFollowerUs: perChange(changes.followerUs, steady.followerUs),
      replicaBytes,
    };
  } finally {
    await cluster.dispose();
  }
}

async function startStandIns(cluster: Cluster, daemons: number): Promise<number[]> {
  const module = path.join(import.meta.dirname, 'standInMain.js');
  const started = await Promise.all(
    Array.from({length: STAND_IN_PROCESSES}, async (_, index) => {
      const count =
        Math.floor(daemons / STAND_IN_PROCESSES) + (index < daemons % STAND_IN_PROCESSES ? 1 : 0);
      const args = {
        replicaAddresses: cluster.controlAddresses,
        service: SERVICE,
        prefix: `stand-in-${index}`,
        count,
        loadsPerReport: LOADS_PER_REPORT,
      };
      const standIn = await startProcess(module, [JSON.stringify(args)]);
      cluster.own(() => standIn.end());
      return standIn.pid;
    }),
  );
  return started;
}

async function waitForRest(admin: string, daemons: number): Promise<void> {
  await eventually(
    `${daemons} sessions with ranges at rest`,
    async () => {
      const {services} = await callAdmin(admin, 'status', {});
      const service = services.find((one) => one.service === SERVICE);
      return service?.sessionCount === daemons && service.movingRangeCount === 0;
    },
    {limitMs: 60_000},
  );
}

async function sampleDuring(
  cluster: Cluster,
  network: Network,
  standInPids: readonly number[],
  act: () => Promise<void>,
): Promise<Sample & {readonly elapsedMs: number}> {
  const {leaderId} = await callAdmin(cluster.replicas[0]!.ready.admin, 'status', {});
  const leader = cluster.replicas[Number(leaderId.slice(1))]!;
  const followers = cluster.replicas.filter((replica) => replica !== leader);
  const take = (): Sample => ({
    traffic: network.trafficOf('daemons'),
    leaderUs: cpuUsOf(leader.pid),
    followerUs: followers.reduce((sum, {pid}) => sum + cpuUsOf(pid), 0) / followers.length,
    standInUs: standInPids.reduce((sum, pid) => sum + cpuUsOf(pid), 0),
  });
  const startedMs = performance.now();
  const before = take();
  await act();
  const after = take();
  return {
    traffic: {
      bytes: after.traffic.bytes - before.traffic.bytes,
      chunks: after.traffic.chunks - before.traffic.chunks,
    },
    leaderUs: after.leaderUs - before.leaderUs,
    followerUs: after.followerUs - before.followerUs,
    standInUs: after.standInUs - before.standInUs,
    elapsedMs: performance.now() - startedMs,
  };
}

async function applyChanges(team: Team, admin: string, daemons: number): Promise<void> {
  for (let change = 1; change <= CHANGES; change++) {
    const {index} = await applyRevision(team, admin, change);
    if (change < CHANGES) continue;
    await eventually('the last change in force', async () => {
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

function onWire({bytes, chunks}: LinkTraffic): number {
  return bytes + chunks * SEGMENT_OVERHEAD_BYTES;
}

function slopeOf(points: readonly Point[], pick: (point: Point) => number): number {
  return fitLine(points.map((point) => [point.daemons, pick(point)])).slope;
}

/** Least squares. */
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
  return {name, value: rounded(value), unit};
}

function withPoints(
  name: string,
  value: number,
  unit: string,
  points: ReadonlyArray<readonly [number, number]>,
): Figure {
  return {...figure(name, value, unit), points, pointsX: 'daemons'};
}
