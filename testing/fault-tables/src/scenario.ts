import {callAdmin, createTeam, eventually, startCluster} from '@medlarlane/fixtures';
import type {
  Cluster,
  ClusterOptions,
  DaemonProcess,
  DocumentInput,
  TargetProcess,
  Team,
} from '@medlarlane/fixtures';

export const SERVICE = 'prairie-crag/wallboard';

/** A service split by key on real processes, with every range owned and no move in progress. */
export interface Scenario {
  readonly cluster: Cluster;
  readonly team: Team;
  readonly servers: readonly Server[];
  /** Caller addresses of all daemons. */
  entryAddresses(): string[];
  /** Admin address of a daemon that no test injects faults into. */
  readonly admin: string;
  dispose(): Promise<void>;
}

export interface Server {
  readonly name: string;
  readonly daemon: DaemonProcess;
  readonly target: TargetProcess;
}

export interface ScenarioOptions extends ClusterOptions {
  readonly serverCount?: number;
  readonly document?: Partial<DocumentInput>;
  readonly targetFlags?: readonly string[];
  readonly adminToken?: string;
}

export async function startScenario(opts: ScenarioOptions = {}): Promise<Scenario> {
  const serverCount = opts.serverCount ?? 3;
  const cluster = await startCluster(opts);
  try {
    const observer = await cluster.startDaemon({instanceId: 'observer'});
    const {admin} = observer.ready;
    const {adminToken} = opts;
    const team = createTeam('prairie-crag', adminToken === undefined ? {} : {token: adminToken});
    await eventually('the control leader', () => team.claim(admin));
    await team.apply(admin, createDocument(opts.document));
    const servers = await Promise.all(
      Array.from({length: serverCount}, async (_, index): Promise<Server> => {
        const name = `server-${index}`;
        const daemon = await cluster.startDaemon({instanceId: name});
        const target = await cluster.startTarget(daemon, {
          service: SERVICE,
          name,
          flags: opts.targetFlags ?? [],
        });
        return {name, daemon, target};
      }),
    );
    await waitUntilBalanced(admin, serverCount);
    const daemons = [observer, ...servers.map(({daemon}) => daemon)];
    return {
      cluster,
      team,
      servers,
      admin,
      entryAddresses: () => daemons.map(({ready}) => ready.caller),
      dispose: () => cluster.dispose(),
    };
  } catch (failure) {
    const logs = cluster.recentLogs();
    await cluster.dispose();
    throw new Error(`Could not start the scenario: ${String(failure)}\n${logs}`, {cause: failure});
  }
}

export function createDocument(fields: Partial<DocumentInput> = {}): DocumentInput {
  return {
    service: SERVICE,
    splitByKey: true,
    ...(fields.splitByKey === false ? {} : {key: {from: 'path' as const, segment: 1}}),
    targets: {slots: 18, connections: 120},
    ...fields,
  };
}

/** Waits until the ranges are balanced over all servers, and none is unowned or being moved. */
export async function waitUntilBalanced(admin: string, serverCount: number): Promise<void> {
  await eventually('balanced ranges without moves', async () => {
    const {services} = await callAdmin(admin, 'status', {});
    const service = services.find((candidate) => candidate.service === SERVICE);
    if (!service || service.movingRangeCount > 0 || service.unownedRangeCount > 0) return false;
    const {targets} = await callAdmin(admin, 'listTargets', {service: SERVICE});
    const rangeCounts = targets.map(({rangesOwned}) => rangesOwned);
    const isBalanced = Math.max(...rangeCounts) <= (1.3 * service.rangeCount) / serverCount;
    return rangeCounts.length === serverCount && isBalanced;
  });
}

/** Returns the index of the replica that is the control leader. */
export async function findLeaderIndex({admin}: Scenario): Promise<number> {
  const {leaderId} = await callAdmin(admin, 'status', {});
  return Number(leaderId.slice(1));
}

/** Returns the server that owns a key. */
export async function findOwner({admin, servers}: Scenario, key: string): Promise<Server> {
  const {owner} = await callAdmin(admin, 'locateKey', {service: SERVICE, key});
  const server = servers.find(({name}) => name === owner?.instanceId);
  if (!server) throw new Error(`No server owns ${key}`);
  return server;
}

export const KEYS = Array.from({length: 40}, (_, index) => `wall-${index}`);
