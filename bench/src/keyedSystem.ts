import {setTimeout as delay} from 'node:timers/promises';
import {KEYS, findLeaderIndex, SERVICE, startScenario} from '@medlarlane/fault-tables';
import type {Scenario, Server} from '@medlarlane/fault-tables';
import {
  callAdmin,
  checkOwnership,
  eventually,
  longestUnavailableMs,
  startTraffic,
} from '@medlarlane/fixtures';

export interface DisruptionResult {
  /** Longest time during which the key was not served. */
  readonly unavailableMs: number;
  /** Number of responses that violate the single ownership of a key. */
  readonly violationCount: number;
}

const SERVER_COUNT = 4;
const KEY = KEYS[0]!;
const TRAFFIC_BEFORE_MS = 300;
// Longer than a lease and an election, so that later interruptions are observed as well.
const OBSERVED_MS = 3000;
const TIMEOUT_MS = 60_000;

/** A running system that is disrupted repeatedly and restored after each disruption. */
export class KeyedSystem {
  private readonly servers: Map<string, Server>;

  private constructor(readonly scenario: Scenario) {
    this.servers = new Map(scenario.servers.map((server) => [server.name, server]));
  }

  static async start(): Promise<KeyedSystem> {
    return new KeyedSystem(await startScenario({serverCount: SERVER_COUNT}));
  }

  /** Sends requests for one key through an unaffected daemon while `disrupt` runs. */
  async measureDisruption(disrupt: (owner: Server) => Promise<unknown>): Promise<DisruptionResult> {
    const owner = await this.owner();
    const traffic = startTraffic({
      service: SERVICE,
      entryAddresses: () => this.scenario.entryAddresses().slice(0, 1),
      keys: [KEY],
      workers: 4,
      pauseMs: 2,
    });
    await delay(TRAFFIC_BEFORE_MS);
    const disruptedAtMs = performance.now();
    await disrupt(owner);
    await delay(OBSERVED_MS);
    await eventually(
      'a response after the disruption',
      () => traffic.records.at(-1)?.status === 200,
      {timeoutMs: TIMEOUT_MS},
    );
    const records = await traffic.stop();
    return {
      unavailableMs: longestUnavailableMs(
        records.filter(({respondedAtMs}) => respondedAtMs >= disruptedAtMs),
      ),
      violationCount: checkOwnership(records).length,
    };
  }

  async killControlLeader(): Promise<void> {
    const index = await findLeaderIndex(this.scenario);
    await this.scenario.cluster.replicas[index]!.end();
  }

  /** Restarts the processes that a disruption killed, and waits until all servers are settled. */
  async restore(): Promise<void> {
    const {cluster, admin} = this.scenario;
    for (const [index, replica] of cluster.replicas.entries()) {
      if (await hasExited(replica.exited)) {
        cluster.replicas[index] = await cluster.restartReplica(index);
      }
    }
    for (const server of this.servers.values()) await this.restoreServer(server);
    await eventually(
      'all servers without moves',
      async () => {
        const {services, members} = await callAdmin(admin, 'status', {});
        const service = services.find((candidate) => candidate.service === SERVICE)!;
        const {targets} = await callAdmin(admin, 'listTargets', {service: SERVICE});
        return (
          members.every(({reachable}) => reachable) &&
          service.movingRangeCount + service.unownedRangeCount === 0 &&
          targets.filter(({draining}) => !draining).length === SERVER_COUNT
        );
      },
      {timeoutMs: TIMEOUT_MS},
    );
  }

  /** Kills both processes of a server. */
  async killServer({daemon, target}: Server): Promise<void> {
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
    const daemonExited = await hasExited(daemon.exited);
    if (!daemonExited && !(await hasExited(target.exited))) return;
    if (daemonExited) await target.end();
    const newDaemon = daemonExited ? await cluster.startDaemon({instanceId: name}) : daemon;
    const newTarget = await cluster.startTarget(newDaemon, {service: SERVICE, name});
    this.servers.set(name, {name, daemon: newDaemon, target: newTarget});
  }
}

function hasExited(exited: Promise<unknown>): Promise<boolean> {
  return Promise.race([exited.then(() => true), delay(0).then(() => false)]);
}
