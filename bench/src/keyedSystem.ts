import {setTimeout as delay} from 'node:timers/promises';
import {KEYS, leaderIndex, SERVICE, startScenario} from '@medlarlane/fault-tables';
import type {Scenario, Server} from '@medlarlane/fault-tables';
import {
  callAdmin,
  checkOwnership,
  eventually,
  longestGapMs,
  startTraffic,
} from '@medlarlane/fixtures';

export interface DisruptionResult {
  /** Longest time during which the key was not served. */
  readonly gapMs: number;
  /** Answers that contradict one owner per key. */
  readonly doubleOwners: number;
}

const SERVER_COUNT = 4;
const KEY = KEYS[0]!;
const BEFORE_MS = 300;
// Longer than a lease and an election, so that an interruption that follows later is seen too.
const OBSERVED_MS = 3000;
const LIMIT_MS = 60_000;

/** One running system that is disrupted again and again, and made whole in between. */
export class KeyedSystem {
  private readonly servers: Map<string, Server>;

  private constructor(readonly scenario: Scenario) {
    this.servers = new Map(scenario.servers.map((server) => [server.name, server]));
  }

  static async start(): Promise<KeyedSystem> {
    return new KeyedSystem(await startScenario({serverCount: SERVER_COUNT}));
  }

  /** Sends requests for one key through an unharmed daemon while `disrupt` strikes. */
  async disruption(disrupt: (owner: Server) => Promise<unknown>): Promise<DisruptionResult> {
    const owner = await this.owner();
    const traffic = startTraffic({
      service: SERVICE,
      entries: () => this.scenario.entries().slice(0, 1),
      keys: [KEY],
      workers: 4,
      pauseMs: 2,
    });
    await delay(BEFORE_MS);
    const struckAtMs = performance.now();
    await disrupt(owner);
    await delay(OBSERVED_MS);
    await eventually(
      'an answer after the disruption',
      () => traffic.records.at(-1)?.status === 200,
      {limitMs: LIMIT_MS},
    );
    const records = await traffic.stop();
    return {
      gapMs: longestGapMs(records.filter(({answeredAtMs}) => answeredAtMs >= struckAtMs)),
      doubleOwners: checkOwnership(records).length,
    };
  }

  async killLeader(): Promise<void> {
    const index = await leaderIndex(this.scenario);
    await this.scenario.cluster.replicas[index]!.end();
  }

  /** Starts what a disruption ended, and waits until all servers are registered and at rest. */
  async restore(): Promise<void> {
    const {cluster, admin} = this.scenario;
    for (const [index, replica] of cluster.replicas.entries()) {
      if (await hasEnded(replica.exited)) {
        cluster.replicas[index] = await cluster.restartReplica(index);
      }
    }
    for (const server of this.servers.values()) await this.restoreServer(server);
    await eventually(
      'all parts at rest',
      async () => {
        const {services, members} = await callAdmin(admin, 'status', {});
        const service = services.find((one) => one.service === SERVICE)!;
        const {targets} = await callAdmin(admin, 'listTargets', {service: SERVICE});
        return (
          members.every(({reachable}) => reachable) &&
          service.movingRangeCount + service.unownedRangeCount === 0 &&
          targets.filter(({draining}) => !draining).length === SERVER_COUNT
        );
      },
      {limitMs: LIMIT_MS},
    );
  }

  /** Ends both processes of a server. */
  async endServer({daemon, target}: Server): Promise<void> {
    await Promise.all([daemon.end(), target.end()]);
  }

  dispose(): Promise<void> {
    return this.scenario.dispose();
  }

  private async owner(): Promise<Server> {
    const {owner} = await callAdmin(this.scenario.admin, 'locateKey', {service: SERVICE, key: KEY});
    return this.servers.get(owner!.instanceId)!;
  }

  private async restoreServer({name, daemon, target}: Server): Promise<void> {
    const {cluster} = this.scenario;
    const daemonEnded = await hasEnded(daemon.exited);
    if (!daemonEnded && !(await hasEnded(target.exited))) return;
    if (daemonEnded) await target.end();
    const next = daemonEnded ? await cluster.startDaemon({instanceId: name}) : daemon;
    const nextTarget = await cluster.startTarget(next, {service: SERVICE, name});
    this.servers.set(name, {name, daemon: next, target: nextTarget});
  }
}

function hasEnded(exited: Promise<unknown>): Promise<boolean> {
  return Promise.race([exited.then(() => true), delay(0).then(() => false)]);
}
