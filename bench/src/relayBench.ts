import path from 'node:path';
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import {Pool} from 'undici';
import {callAdmin, createTeam, eventually, startCluster, startProcess} from '@medlarlane/fixtures';
import {atLeast, roundFigure} from './figure.js';
import type {Figure} from './figure.js';

const SERVICE = 'prairie-crag/wallboard';
const ROUNDS = 5;
const WARM_UP_MS = 1500;
const ROUND_MS = 1500;
const THROUGHPUT_CONNECTIONS = 48;
// Far below saturation, so that the added latency excludes queueing.
const LATENCY_CONNECTIONS = 2;
const MIN_RATIO = 0.9;
const KEY_COUNT = 1000;

interface Layout {
  /** Entry addresses of the paths over one and two hops. */
  readonly daemons: readonly [string, string];
  readonly bare: readonly [string, string];
  dispose(): Promise<void>;
}

interface Measured {
  readonly requests: number;
  readonly elapsedMs: number;
  readonly latencyUs: Histogram;
}

/** Measures the throughput of daemons relative to bare relays over one and two hops. */
export async function relayThroughputBench(): Promise<Figure[]> {
  const layout = await startLayout();
  try {
    const figures: Figure[] = [];
    for (const [index, hops] of ['one-hop', 'two-hops'].entries()) {
      const [daemon, bare] = await compare(layout, index, THROUGHPUT_CONNECTIONS);
      figures.push(
        {name: `relay.${hops}.daemon`, value: roundFigure(rateRps(daemon)), unit: 'requests/s'},
        {name: `relay.${hops}.bare`, value: roundFigure(rateRps(bare)), unit: 'requests/s'},
        atLeast(
          `relay.${hops}.ratio`,
          roundFigure(rateRps(daemon) / rateRps(bare)),
          'ratio',
          MIN_RATIO,
        ),
      );
    }
    return figures;
  } finally {
    await layout.dispose();
  }
}

/** Measures the latency of daemons in excess of that of bare relays over one and two hops. */
export async function relayLatencyBench(): Promise<Figure[]> {
  const layout = await startLayout();
  try {
    const figures: Figure[] = [];
    for (const [index, hops] of ['one-hop', 'two-hops'].entries()) {
      const [daemon, bare] = await compare(layout, index, LATENCY_CONNECTIONS);
      for (const percentile of [50, 99, 99.9]) {
        const percentileUs = ({latencyUs}: Measured): number =>
          latencyUs.getValueAtPercentile(percentile);
        const value = roundFigure((percentileUs(daemon) - percentileUs(bare)) / 1000);
        figures.push({name: `relay.${hops}.added-p${percentile}`, value, unit: 'ms'});
      }
    }
    return figures;
  } finally {
    await layout.dispose();
  }
}

function rateRps({requests, elapsedMs}: Measured): number {
  return (1000 * requests) / elapsedMs;
}

/** Measures both sides in alternating rounds, so that other load on the machine affects both. */
async function compare(
  {daemons, bare}: Layout,
  index: number,
  connections: number,
): Promise<[Measured, Measured]> {
  const sides = [daemons[index]!, bare[index]!];
  for (const address of sides) await sendLoad(address, connections, WARM_UP_MS);
  const totals = sides.map(() => ({requests: 0, elapsedMs: 0, latencyUs: build()}));
  for (let round = 0; round < ROUNDS; round++) {
    for (const [side, address] of sides.entries()) {
      const {requests, elapsedMs, latencyUs} = await sendLoad(address, connections, ROUND_MS);
      const total = totals[side]!;
      total.requests += requests;
      total.elapsedMs += elapsedMs;
      total.latencyUs.add(latencyUs);
    }
  }
  return [totals[0]!, totals[1]!];
}

/** Sends GET requests in a closed loop on each connection. */
async function sendLoad(
  address: string,
  connections: number,
  durationMs: number,
): Promise<Measured> {
  const pool = new Pool(`http://${address}`, {connections});
  const latencyUs = build();
  const startedMs = performance.now();
  let requests = 0;
  const worker = async (firstRequestNumber: number): Promise<void> => {
    for (
      let requestNumber = firstRequestNumber;
      performance.now() - startedMs < durationMs;
      requestNumber++
    ) {
      const sentMs = performance.now();
      const {statusCode, body} = await pool.request({
        method: 'GET',
        path: `/walls/wall-${requestNumber % KEY_COUNT}`,
        headers: {'medlarlane-service': SERVICE},
      });
      await body.dump();
      if (statusCode !== 200)
        throw new Error(`Response status ${statusCode} during the measurement`);
      latencyUs.recordValue(Math.round(1000 * (performance.now() - sentMs)));
      requests += 1;
    }
  };
  await Promise.all(Array.from({length: connections}, (_, index) => worker(index * 17)));
  const elapsedMs = performance.now() - startedMs;
  await pool.close();
  return {requests, elapsedMs, latencyUs};
}

/** Starts two daemons and two bare relays in front of the same target, each in its own process. */
async function startLayout(): Promise<Layout> {
  const cluster = await startCluster({replicaCount: 1});
  try {
    const entry = await cluster.startDaemon({instanceId: 'entry'});
    const owner = await cluster.startDaemon({instanceId: 'owner'});
    const team = createTeam('prairie-crag');
    await eventually('the control leader', () => team.claim(entry.ready.admin));
    await team.apply(entry.ready.admin, {
      service: SERVICE,
      splitByKey: true,
      key: {from: 'path', segment: 1},
      targets: {slots: 100, connections: 100},
    });
    const target = await cluster.startTarget(owner, {
      service: SERVICE,
      name: 'target',
      flags: ['--slots=1000'],
    });
    await eventually('an owner of all ranges', async () => {
      const {services} = await callAdmin(entry.ready.admin, 'status', {});
      const service = services.find((candidate) => candidate.service === SERVICE);
      return service && service.rangeCount > 0 && service.unownedRangeCount === 0;
    });
    const firstRelay = await startBareRelay(target.ready.listening);
    const secondRelay = await startBareRelay(firstRelay.ready.address);
    return {
      daemons: [owner.ready.caller, entry.ready.caller],
      bare: [firstRelay.ready.address, secondRelay.ready.address],
      dispose: async () => {
        await Promise.all([firstRelay.end(), secondRelay.end()]);
        await cluster.dispose();
      },
    };
  } catch (failure) {
    await cluster.dispose();
    throw failure;
  }
}

function startBareRelay(to: string): ReturnType<typeof startProcess<{address: string}>> {
  return startProcess<{address: string}>(path.join(import.meta.dirname, 'bareRelayMain.js'), [to]);
}
