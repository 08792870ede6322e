import {mkdtemp, rm} from 'node:fs/promises';
import {createServer} from 'node:http2';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {build} from 'hdr-histogram-js';
import {consensusRoutes, createConnectTransport, startReplica} from '@medlarlane/consensus';
import type {Replica} from '@medlarlane/consensus';
import {DisposableStore, systemClock} from '@medlarlane/lifecycle';
import type {Figure} from './figure.js';
import {openLogStore} from '@medlarlane/log-store';

export interface CommitBenchOptions {
  /** Parent of the data folders; the bench measures the disk on which it is located. */
  readonly parentFolder?: string;
  readonly replicas?: number;
  readonly payloadBytes?: number;
  /** Number of commands proposed sequentially to measure the latency. */
  readonly sequentialCommits?: number;
  /** Number of commands proposed by concurrent clients to measure the throughput. */
  readonly concurrentCommits?: number;
  readonly clients?: number;
}

// The failover time budget allows 100 ms for the commit and its push to the daemons.
const COMMIT_P99_BOUND_MS = 100;

/** Measures commit latency and throughput of replicas on real files and HTTP/2 over loopback. */
export async function commitBench(opts: CommitBenchOptions = {}): Promise<Figure[]> {
  const {sequentialCommits = 1_000, concurrentCommits = 20_000, clients = 64} = opts;
  const {replicas = 3, payloadBytes = 256} = opts;
  const command = new Uint8Array(payloadBytes);
  const disposables = new DisposableStore();
  try {
    const leader = await startGroup(replicas, opts.parentFolder ?? tmpdir(), disposables);
    // Warm-up: the first commits include connection setup and code compilation.
    for (let i = 0; i < 200; i++) await leader.propose(command);

    const latency = build({numberOfSignificantValueDigits: 3});
    for (let i = 0; i < sequentialCommits; i++) {
      const startMs = performance.now();
      await leader.propose(command);
      latency.recordValue(Math.round((performance.now() - startMs) * 1_000));
    }

    let remainingCommits = concurrentCommits;
    const client = async (): Promise<void> => {
      while (remainingCommits-- > 0) await leader.propose(command);
    };
    const startMs = performance.now();
    await Promise.all(Array.from({length: clients}, client));
    const elapsedMs = performance.now() - startMs;

    const p50Ms = latency.getValueAtPercentile(50) / 1_000;
    const p99Ms = latency.getValueAtPercentile(99) / 1_000;
    const boundFields = {bound: COMMIT_P99_BOUND_MS, pass: p99Ms <= COMMIT_P99_BOUND_MS};
    return [
      {name: 'commit.p50', value: p50Ms, unit: 'ms'},
      {name: 'commit.p99', value: p99Ms, unit: 'ms', ...boundFields},
      {
        name: `commit.throughput.${clients}-clients`,
        value: Math.round((concurrentCommits / elapsedMs) * 1_000),
        unit: 'commits/s',
      },
    ];
  } finally {
    await disposables.dispose();
  }
}

async function startGroup(
  count: number,
  parentFolder: string,
  disposables: DisposableStore,
): Promise<Replica> {
  const folder = await mkdtemp(path.join(parentFolder, 'medlarlane-commit-'));
  disposables.add(() => rm(folder, {recursive: true, force: true}));
  const ids = Array.from({length: count}, (_, i) => `replica-${i}`);
  const handlers = new Map<string, Replica>();
  const addresses: Record<string, string> = {};
  for (const id of ids) addresses[id] = await listen(id, handlers, disposables);
  const bootstrap = {voters: ids, learners: [], addresses};
  for (const replicaId of ids) {
    const store = await openLogStore(path.join(folder, replicaId), {replicaId});
    disposables.add(() => store.close());
    const transport = createConnectTransport();
    disposables.add(() => transport.close());
    const stateMachine = {
      apply: () => undefined,
      snapshot: () => new Uint8Array(),
      restore: () => undefined,
    };
    const clock = systemClock;
    const replica = startReplica({replicaId, store, transport, clock, bootstrap, stateMachine});
    disposables.add(() => replica.close());
    handlers.set(replicaId, replica);
  }
  for (;;) {
    const leader = [...handlers.values()].find((replica) => replica.isLeader());
    if (leader) return leader;
    await delay(10);
  }
}

async function listen(
  id: string,
  handlers: ReadonlyMap<string, Replica>,
  disposables: DisposableStore,
): Promise<string> {
  const routes = consensusRoutes({
    handle: (request) => {
      const replica = handlers.get(id);
      return replica
        ? replica.handle(request)
        : Promise.reject(new Error('Replica is not started'));
    },
  });
  const server = createServer(connectNodeAdapter({routes}));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  disposables.add(() => void server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}
