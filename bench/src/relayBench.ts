import path from 'node:path';
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import {Pool} from 'undici';
import {callAdmin, createTeam, eventually, startCluster, startProcess} from '@medlarlane/fixtures';
import {atLeast, rounded} from './figure.js';
import type {Figure} from './figure.js';

const SERVICE = 'prairie-crag/wallboard';
const ROUNDS = 5;
const WARM_UP_MS = 1500;
const ROUND_MS = 1500;
const THROUGHPUT_CONNECTIONS = 48;
// Far below saturation, so that the added time is that of the path and not of a queue.
const LATENCY_CONNECTIONS = 2;
const TARGET_RATIO = 0.9;
const KEY_COUNT = 1000;

interface Layout {
  /** Entry addresses by number of relays on the path. */
  readonly daemons: readonly [string, string];
  readonly bare: readonly [string, string];
  dispose(): Promise<void>;
}

interface Measured {
  readonly requests: number;
  readonly elapsedMs: number;
  readonly latencyUs: Histogram;
}

/** Throughput of the daemons relative to bare relays in the same layout, for one hop and two. */
export async function relayThroughputBench(): Promise<Figure[]> {
  const layout = await startLayout();
  try {
    const figures: Figure[] = [];
    for (const [index, hops] of ['one-hop', 'two-hops'].entries()) {
      const [daemon, bare] = await compare(layout, index, THROUGHPUT_CONNECTIONS);
      figures.push(
        {name: `relay.${hops}.daemon`, value: rounded(rateRps(daemon)), unit: 'requests/s'},
        {name: `relay.${hops}.bare`, value: rounded(rateRps(bare)), unit: 'requests/s'},
        atLeast(
          `relay.${hops}.ratio`,
          rounded(rateRps(daemon) / rateRps(bare)),
          'ratio',
          TARGET_RATIO,
        ),
      );
    }
    return figures;
  } finally {
    await layout.dispose();
  }
}

/** Latency that the daemons add to that of bare relays in the same layout. */
export async function relayLatencyBench(): Promise<Figure[]> {
  const layout = await startLayout();
  try {
    const figures: Figure[] = [];
    for (const [index, hops] of ['one-hop', 'two-hops'].entries()) {
      const [daemon, bare] = await compare(layout, index, LATENCY_CONNECTIONS);
      for (const percentile of [50, 99, 99.9]) {
        const of = ({latencyUs}: Measured): number => latencyUs.getValueAtPercentile(percentile);
        const value = rounded((of(daemon) - of(bare)) / 1000);
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

/** Measures both sides in alternating rounds, so that other load on the machine meets both. */
async function compare(
  {daemons, bare}: Layout,
  index: number,
  connections: number,
): Promise<[Measured, Measured]> {
  const sides = [daemons[index]!, bare[index]!];
  for (const address of sides) await load(address, connections, WARM_UP_MS);
  const totals = sides.map(() => ({requests: 0, elapsedMs: 0, latencyUs: build()}));
  for (let round = 0; round < ROUNDS; round++) {
    for (const [side, address] of sides.entries()) {
      const {requests, elapsedMs, latencyUs} = await load(address, connections, ROUND_MS);
      const total = totals[side]!;
      total.requests += requests;
      total.elapsedMs += elapsedMs;
      total.latencyUs.add(latencyUs);
    }
  }
  return [totals[0]!, totals[1]!];
}

/** Sends GETs in a closed loop on each connection. */
async function load(address: string, connections: number, durationMs: number): Promise<Measured> {
  const pool = new Pool(`http://${address}`, {connections});
  const latencyUs = build();
  const startedMs = performance.now();
  let requests = 0;
  const worker = async (first: number): Promise<void> => {
    for (let turn = first; performance.now() - startedMs < durationMs; turn++) {
      const sentMs = performance.now();
      const {statusCode, body} = await pool.request({
        method: 'GET',
        path: `/walls/wall-${turn % KEY_COUNT}`,
        headers: {'medlarlane-service': SERVICE},
      });
      await body.dump();
      if (statusCode !== 200) throw new Error(`Answer ${statusCode} during the measurement`);
      latencyUs.recordValue(Math.round(1000 * (performance.now() - sentMs)));
      requests += 1;
    }
  };
  await Promise.all(Array.from({length: connections}, (_, index) => worker(index * 17)));
  const elapsedMs = performance.now() - startedMs;
  await pool.close();
  return {requests, elapsedMs, latencyUs};
}

/** Two daemons and two bare relays in front of the same target, each a process of its own. */
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
      const service = services.find((one) => one.service === SERVICE);
      return service && service.rangeCount > 0 && service.unownedRangeCount === 0;
    });
    const near = await startBareRelay(target.ready.listening);
    const far = await startBareRelay(near.ready.address);
    return {
      daemons: [owner.ready.caller, entry.ready.caller],
      bare: [near.ready.address, far.ready.address],
      dispose: async () => {
        await Promise.all([near.end(), far.end()]);
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
