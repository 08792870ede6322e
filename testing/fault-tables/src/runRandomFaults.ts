import {setTimeout as delay} from 'node:timers/promises';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {request} from 'undici';
import {
  checkOwnership,
  eventually,
  lostChanges,
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
const MAX_PAUSE_MS = 1500;
const RECOVERY_LIMIT_MS = 60_000;
const RESENT_POSTS = 200;
const SLOW_CALLERS = 48;
const SLOW_CALLER_PAUSE_MS = 1000;

/**
 * Strikes a running system with faults that a seed chooses, while operators and callers use it, and
 * returns what contradicts the invariants. At most one of three replicas and two of four servers are
 * out at once.
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

type Strike = (run: FaultRun) => Promise<void>;

interface FaultRun {
  /** Index of the replica or server. */
  readonly index: number;
  readonly durationMs: number;
}

class RandomFaults {
  private readonly servers: Server[];
  /** Every target that ever ran; they are never ended, so that their counts are complete. */
  private readonly targets: TargetProcess[];
  private readonly untilMs: number;
  private faults = 0;

  private readonly replicaFaults: Readonly<Record<string, Strike>> = {
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

  private readonly serverFaults: Readonly<Record<string, Strike>> = {
    'kill and replace server': async ({index, durationMs}) => {
      const {cluster} = this.scenario;
      const {name, daemon} = this.servers[index]!;
      await daemon.end();
      await delay(durationMs);
      const next = await cluster.startDaemon({instanceId: name});
      const target = await cluster.startTarget(next, {
        service: SERVICE,
        name: `${name}-${this.targets.length}`,
      });
      this.targets.push(target);
      this.servers[index] = {name, daemon: next, target};
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
    this.untilMs = performance.now() + opts.durationMs;
  }

  async run(): Promise<RandomFaultsResult> {
    const {team, admin, entries} = this.scenario;
    const observer = entries()[0]!;
    const operators = startOperators({
      team,
      admins: () => [admin, ...this.servers.map(({daemon}) => daemon.ready.admin)],
      services: ['prairie-crag/list-a', 'prairie-crag/list-b'],
      pauseMs: 50,
      random: randomOf(this.opts.seed + 1),
    });
    const common = {service: SERVICE, keys: KEYS, withPosts: true};
    const traffics = [
      startTraffic({
        ...common,
        entries: () => [observer],
        pauseMs: 20,
        random: randomOf(this.opts.seed + 2),
      }),
      // A caller of a frozen server waits until it resumes. Many slow callers leave some that send to
      // it only after its lease has ended.
      startTraffic({
        ...common,
        entries: () => this.servers.map(({daemon}) => daemon.ready.caller),
        workers: SLOW_CALLERS,
        pauseMs: SLOW_CALLER_PAUSE_MS,
        random: randomOf(this.opts.seed + 6),
      }),
    ];
    await Promise.all([
      this.strikeAgain('replica', this.replicaFaults, [0, 1, 2], 3),
      this.strikeAgain('server', this.serverFaults, [0, 1], 4),
      this.strikeAgain('server', this.serverFaults, [2, 3], 5),
    ]);
    const violations: string[] = [];
    for (const key of KEYS) {
      const isServed = async (): Promise<boolean> =>
        (await sendOnce(observer, key, '', 'GET', {service: SERVICE})).status === 200;
      await eventually(`${key} is served`, isServed, {limitMs: RECOVERY_LIMIT_MS}).catch(
        (failure: unknown) => violations.push(String(failure)),
      );
    }
    const records = (await Promise.all(traffics.map((traffic) => traffic.stop()))).flat();
    await operators.stop();
    const lost = await lostChanges(admin, operators.acknowledged);
    violations.push(
      ...operators.violations,
      ...lost.map((change) => `lost: ${JSON.stringify(change)}`),
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

  /** Strikes one of `indexes` after the other, so that at most one of them is out at once. */
  private async strikeAgain(
    part: string,
    faults: Readonly<Record<string, Strike>>,
    indexes: readonly number[],
    stream: number,
  ): Promise<void> {
    const random = randomOf(this.opts.seed + stream);
    const pick = <T>(choices: readonly T[]): T => choices[Math.floor(random() * choices.length)]!;
    while (performance.now() < this.untilMs) {
      await delay(random() * MAX_PAUSE_MS);
      const [name, strike] = pick(Object.entries(faults));
      const index = pick(indexes);
      const durationMs = MIN_FAULT_MS + random() * (MAX_FAULT_MS - MIN_FAULT_MS);
      this.opts.print?.(`${name} (${part} ${index}) for ${Math.round(durationMs)} ms`);
      this.faults += 1;
      await strike({index, durationMs});
    }
  }

  /** Non-repeatable requests ran at most once, and as their answers say, also when resent. */
  private async checkRuns(entry: string, records: readonly TrafficRecord[]): Promise<string[]> {
    const posts = records.filter(({method}) => method === 'POST');
    const runs = await this.countRuns();
    const violations = posts.flatMap(({id, ran, status}) => {
      const count = runs.get(id) ?? 0;
      const isWrong = count > 1 || (ran === 'no' && count > 0) || (ran === 'yes' && count !== 1);
      return isWrong ? [`${id}: ran ${ran}, status ${status}, but counted ${count}`] : [];
    });
    for (const {id, key} of posts.filter(({status}) => status !== 200).slice(-RESENT_POSTS)) {
      await sendOnce(entry, key, id, 'POST', {service: SERVICE});
    }
    for (const [id, count] of await this.countRuns()) {
      if (count > 1) violations.push(`${id}: ran ${count} times after it was resent`);
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

function randomOf(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
