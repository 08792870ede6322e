import {setTimeout as delay} from 'node:timers/promises';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {request} from 'undici';
import {
  checkOwnership,
  eventually,
  findLostChanges,
  sendOnce,
  startNetwork,
  startOperators,
  startTraffic,
} from '@medlarlane/fixtures';
import type {Network, TargetProcess, TrafficRecord} from '@medlarlane/fixtures';
import {KEYS, SERVICE, startScenario} from './scenario.js';
import type {Scenario, Server} from './scenario.js';

export interface RandomFaultsOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly print?: (line: string) => void;
}

export interface RandomFaultsResult {
  readonly violations: readonly string[];
  readonly faults: number;
  readonly requests: number;
  readonly served: number;
  readonly changes: number;
}

const SERVER_COUNT = 4;
const MIN_FAULT_MS = 200;
const MAX_FAULT_MS = 4000;
const MAX_FAULT_INTERVAL_MS = 1500;
const RECOVERY_TIMEOUT_MS = 60_000;
const MAX_RESENT_POSTS = 200;
const SLOW_CALLERS = 48;
const SLOW_CALLER_PAUSE_MS = 1000;

/**
 * Injects random faults from a seeded generator into a running system while operators and callers
 * use it, and returns the violated invariants. At most one of three replicas and two of four servers
 * are unavailable at the same time.
 */
export async function runRandomFaults(opts: RandomFaultsOptions): Promise<RandomFaultsResult> {
  const network = startNetwork(3);
  const scenario = await startScenario({network, serverCount: SERVER_COUNT});
  try {
    return await new RandomFaults(scenario, network, opts).run();
  } finally {
    await scenario.dispose();
  }
}

type FaultInjector = (opts: FaultOptions) => Promise<void>;

interface FaultOptions {
  /** Index of the replica or server. */
  readonly index: number;
  readonly durationMs: number;
}

class RandomFaults {
  private readonly servers: Server[];
  /** All targets started so far. They are never stopped, so that their run counts are complete. */
  private readonly targets: TargetProcess[];
  private readonly endsAtMs: number;
  private faults = 0;

  private readonly replicaFaults: Readonly<Record<string, FaultInjector>> = {
    'kill and restart replica': async ({index, durationMs}) => {
      const {cluster} = this.scenario;
      await cluster.replicas[index]!.end();
      await delay(durationMs);
      cluster.replicas[index] = await cluster.restartReplica(index);
    },
    'freeze replica': async ({index, durationMs}) => {
      this.scenario.cluster.replicas[index]!.kill('SIGSTOP');
      await delay(durationMs);
      this.scenario.cluster.replicas[index]!.kill('SIGCONT');
    },
    'isolate replica': async ({index, durationMs}) => {
      this.network.isolate(index);
      await delay(durationMs);
      this.network.reconnect(index);
    },
  };

  private readonly serverFaults: Readonly<Record<string, FaultInjector>> = {
    'kill and replace server': async ({index, durationMs}) => {
      const {cluster} = this.scenario;
      const {name, daemon} = this.servers[index]!;
      await daemon.end();
      await delay(durationMs);
      const newDaemon = await cluster.startDaemon({instanceId: name});
      const target = await cluster.startTarget(newDaemon, {
        service: SERVICE,
        name: `${name}-${this.targets.length}`,
      });
      this.targets.push(target);
      this.servers[index] = {name, daemon: newDaemon, target};
    },
    'freeze server': async ({index, durationMs}) => {
      const {daemon} = this.servers[index]!;
      daemon.kill('SIGSTOP');
      await delay(durationMs);
      daemon.kill('SIGCONT');
    },
  };

  constructor(
    private readonly scenario: Scenario,
    private readonly network: Network,
    private readonly opts: RandomFaultsOptions,
  ) {
    this.servers = [...scenario.servers];
    this.targets = this.servers.map(({target}) => target);
    this.endsAtMs = performance.now() + opts.durationMs;
  }

  async run(): Promise<RandomFaultsResult> {
    const {team, admin, entryAddresses} = this.scenario;
    const observer = entryAddresses()[0]!;
    const operators = startOperators({
      team,
      admins: () => [admin, ...this.servers.map(({daemon}) => daemon.ready.admin)],
      services: ['prairie-crag/list-a', 'prairie-crag/list-b'],
      pauseMs: 50,
      random: createRandom(this.opts.seed + 1),
    });
    const trafficOptions = {service: SERVICE, keys: KEYS, withPosts: true};
    const trafficRuns = [
      startTraffic({
        ...trafficOptions,
        entryAddresses: () => [observer],
        pauseMs: 20,
        random: createRandom(this.opts.seed + 2),
      }),
      // Callers of a frozen server wait until it resumes. With many slow callers, some still send a
      // request to it after its lease has expired.
      startTraffic({
        ...trafficOptions,
        entryAddresses: () => this.servers.map(({daemon}) => daemon.ready.caller),
        workers: SLOW_CALLERS,
        pauseMs: SLOW_CALLER_PAUSE_MS,
        random: createRandom(this.opts.seed + 6),
      }),
    ];
    await Promise.all([
      this.injectRepeatedly('replica', this.replicaFaults, [0, 1, 2], 3),
      this.injectRepeatedly('server', this.serverFaults, [0, 1], 4),
      this.injectRepeatedly('server', this.serverFaults, [2, 3], 5),
    ]);
    const violations: string[] = [];
    for (const key of KEYS) {
      const isServed = async (): Promise<boolean> =>
        (await sendOnce(observer, key, '', 'GET', {service: SERVICE})).status === 200;
      await eventually(`${key} to be served`, isServed, {timeoutMs: RECOVERY_TIMEOUT_MS}).catch(
        (failure: unknown) => violations.push(String(failure)),
      );
    }
    const records = (await Promise.all(trafficRuns.map((traffic) => traffic.stop()))).flat();
    await operators.stop();
    const lost = await findLostChanges(admin, operators.acknowledged);
    violations.push(
      ...operators.violations,
      ...lost.map((change) => `lost change: ${JSON.stringify(change)}`),
      ...checkOwnership(records),
      ...(await this.checkRuns(observer, records)),
    );
    return {
      violations,
      faults: this.faults,
      requests: records.length,
      served: records.filter(({status}) => status === 200).length,
      changes: operators.acknowledged.length,
    };
  }

  /** Injects faults into `indexes` one at a time, so that at most one of them is unavailable. */
  private async injectRepeatedly(
    component: string,
    faults: Readonly<Record<string, FaultInjector>>,
    indexes: readonly number[],
    seedOffset: number,
  ): Promise<void> {
    const random = createRandom(this.opts.seed + seedOffset);
    const pickRandom = <T>(choices: readonly T[]): T =>
      choices[Math.floor(random() * choices.length)]!;
    while (performance.now() < this.endsAtMs) {
      await delay(random() * MAX_FAULT_INTERVAL_MS);
      const [name, injectFault] = pickRandom(Object.entries(faults));
      const index = pickRandom(indexes);
      const durationMs = MIN_FAULT_MS + random() * (MAX_FAULT_MS - MIN_FAULT_MS);
      this.opts.print?.(`${name} (${component} ${index}) for ${Math.round(durationMs)} ms`);
      this.faults += 1;
      await injectFault({index, durationMs});
    }
  }

  /** Checks that POST requests ran at most once, also when resent, and as reported to callers. */
  private async checkRuns(entry: string, records: readonly TrafficRecord[]): Promise<string[]> {
    const posts = records.filter(({method}) => method === 'POST');
    const runs = await this.countRuns();
    const violations = posts.flatMap(({id, ran, status}) => {
      const count = runs.get(id) ?? 0;
      const isViolation =
        count > 1 || (ran === 'no' && count > 0) || (ran === 'yes' && count !== 1);
      return isViolation
        ? [`${id}: reported ran ${ran} with status ${status}, but ran ${count} times`]
        : [];
    });
    for (const {id, key} of posts.filter(({status}) => status !== 200).slice(-MAX_RESENT_POSTS)) {
      await sendOnce(entry, key, id, 'POST', {service: SERVICE});
    }
    for (const [id, count] of await this.countRuns()) {
      if (count > 1) violations.push(`${id}: ran ${count} times after a resend`);
    }
    return violations;
  }

  private async countRuns(): Promise<Map<string, number>> {
    const runs = new Map<string, number>();
    for (const {ready} of this.targets) {
      const {body} = await request(`http://${ready.listening}/stats`);
      const stats = (await body.json()) as {runsByIdempotencyKey: Record<string, number>};
      for (const [id, count] of Object.entries(stats.runsByIdempotencyKey)) {
        runs.set(id, (runs.get(id) ?? 0) + count);
      }
    }
    return runs;
  }
}

function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
