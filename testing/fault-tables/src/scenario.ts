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

/** A service split by key on real processes, with every range owned and at rest. */
export interface Scenario {
  readonly cluster: Cluster;
  readonly team: Team;
  readonly servers: readonly Server[];
  /** Caller addresses of all daemons. */
  entries(): string[];
  /** Admin address of a daemon that is never harmed by the tests. */
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
    await team.apply(admin, documentOf(opts.document));
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
    await waitUntilSpread(admin, serverCount);
    const daemons = [observer, ...servers.map(({daemon}) => daemon)];
    return {
      cluster,
      team,
      servers,
      admin,
      entries: () => daemons.map(({ready}) => ready.caller),
      dispose: () => cluster.dispose(),
    };
  } catch (failure) {
    const logs = cluster.recentLogs();
    await cluster.dispose();
    throw new Error(`The scenario could not start: ${String(failure)}\n${logs}`, {cause: failure});
  }
}

export function documentOf(fields: Partial<DocumentInput> = {}): DocumentInput {
  return {
    service: SERVICE,
    splitByKey: true,
    ...(fields.splitByKey === false ? {} : {key: {from: 'path' as const, segment: 1}}),
    targets: {slots: 18, connections: 120},
    ...fields,
  };
}

/** Waits until every server owns ranges and no range is without owner or being moved. */
export async function waitUntilSpread(admin: string, serverCount: number): Promise<void> {
  await eventually('ranges at rest on every server', async () => {
    const {services} = await callAdmin(admin, 'status', {});
    const service = services.find((one) => one.service === SERVICE);
    if (!service || service.movingRangeCount > 0 || service.unownedRangeCount > 0) return false;
    const {targets} = await callAdmin(admin, 'listTargets', {service: SERVICE});
    const counts = targets.map(({rangesOwned}) => rangesOwned);
    const isSpread = Math.max(...counts) <= (1.3 * service.rangeCount) / serverCount;
    return counts.length === serverCount && isSpread;
  });
}

/** The daemon that leads the control group, by its index. */
export async function leaderIndex({admin}: Scenario): Promise<number> {
  const {leaderId} = await callAdmin(admin, 'status', {});
  return Number(leaderId.slice(1));
}

/** The server that owns a key. */
export async function ownerOf({admin, servers}: Scenario, key: string): Promise<Server> {
  const {owner} = await callAdmin(admin, 'locateKey', {service: SERVICE, key});
  const server = servers.find(({name}) => name === owner?.instanceId);
  if (!server) throw new Error(`No server owns ${key}`);
  return server;
}

export const KEYS = Array.from({length: 40}, (_, index) => `wall-${index}`);
