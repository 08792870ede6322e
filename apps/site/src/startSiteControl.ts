import {randomBytes} from 'node:crypto';
import {startReplica} from '@medlarlane/consensus';
import type {Replica} from '@medlarlane/consensus';
import {MedlarlaneError} from '@medlarlane/errors';
import {BackgroundTasks, DisposableStore, systemClock} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';
import {openLogStore} from '@medlarlane/log-store';
import type {FileSystem} from '@medlarlane/log-store';
import {createComponentLogger} from '@medlarlane/logger';
import type {Logger} from '@medlarlane/logger';
import {createRpcClient, startRpcServer} from '@medlarlane/rpc';
import {
  createGroupJoin,
  joinRequestSchema,
  leaveRequestSchema,
  MemberManager,
  reportRequestSchema,
  SiteControl,
} from '@medlarlane/site-control';
import {SiteState} from '@medlarlane/site-state';
import {consensusHandler, createRpcTransport} from './consensusRpc.js';
import {leaveGroup} from './leaveGroup.js';
import {ConfigurationService} from './configurationService.js';
import {createControlMetrics} from './siteMetrics.js';

export interface SiteControlProcessOptions {
  readonly host: string;
  /** Port for RPCs of other medlarlane processes. */
  readonly rpcPort: number;
  readonly dataFolder: string;
  /** Control addresses of replicas that may already be running. */
  readonly seeds: () => readonly string[];
  /** Whether the deployment starts for the first time; the seeds are then the initial members. */
  readonly bootstrap: boolean;
  /** Number of instances with a replica that may fail at the same time. */
  readonly lossesTolerated: number;
  readonly clock: Clock;
  readonly logger: Logger;
  /** File operations of the log; those of Node.js by default. */
  readonly files?: FileSystem;
  /** Called when the log can no longer be written; the replica must be restarted. */
  readonly onLogFailure: (failure: Error) => void;
}

export interface SiteControlProcess {
  readonly configurationService: ConfigurationService;
  readonly replica: Replica;
  readonly state: SiteState;
  readonly metrics: ReturnType<typeof createControlMetrics>;
  /** Hands this replica's vote over to another replica, if one can take it, and closes. */
  stop(): Promise<void>;
  close(): Promise<void>;
}

const JOIN_TIMEOUT_MS = 400;
const MEMBERSHIP_CHECK_INTERVAL_MS = 250;
/** A short log keeps the startup time and the memory of a replica low. */
const SNAPSHOT_INTERVAL_ENTRIES = 500;
/**
 * Timings for instances with a fraction of a core, whose processes pause for tens of milliseconds.
 */
const TIMINGS = {
  heartbeatIntervalMs: 150,
  leaderLeaseMs: 550,
  voteRefusalMs: 600,
  electionTimeoutMinMs: 600,
  electionTimeoutMaxMs: 1_000,
  callTimeoutMs: 500,
};

/** Starts a control replica of a deployment. A replica that cannot be started leaves nothing running. */
export async function startSiteControl(
  opts: SiteControlProcessOptions,
): Promise<SiteControlProcess> {
  const disposables = new DisposableStore();
  try {
    return await startParts(opts, disposables);
  } catch (failure) {
    await disposables.dispose();
    throw failure;
  }
}

async function startParts(
  opts: SiteControlProcessOptions,
  disposables: DisposableStore,
): Promise<SiteControlProcess> {
  const {host, rpcPort, clock, logger, seeds} = opts;
  const ownAddress = `${host}:${rpcPort}`;
  const isInitialMember = opts.bootstrap && seeds().includes(ownAddress);
  const store = await openLogStore(opts.dataFolder, {
    // On the platform each process has its own folder, and process ids cannot be compared.
    assumeExclusive: true,
    generateReplicaId: () => generateReplicaId(ownAddress, isInitialMember),
    ...(opts.files ? {files: opts.files} : {}),
  });
  disposables.add(() => store.close());
  const rpc = disposables.use(createRpcClient(), (client) => client.close());
  const state = new SiteState();
  const replica = startReplica({
    replicaId: store.replicaId,
    store,
    transport: createRpcTransport(rpc),
    clock,
    stateMachine: state,
    timings: TIMINGS,
    snapshotIntervalEntries: SNAPSHOT_INTERVAL_ENTRIES,
    logger,
    ...(isInitialMember ? {bootstrap: initialMembers(seeds())} : {}),
  });
  disposables.add(() => replica.close());
  // A suspend-aware clock also advances when the wall clock jumps forward, which would end granted
  // leases early.
  const control = new SiteControl({
    replica,
    state,
    clock: systemClock,
    logger: createComponentLogger('control', logger),
  });
  const members = new MemberManager({
    replica,
    clock,
    logger: createComponentLogger('members', logger),
    targetVoterCount: 2 * opts.lossesTolerated + 1,
  });
  let isLeaving = false;
  const groupJoin = createGroupJoin({
    replica,
    members,
    ownAddress,
    seeds,
    isLeaving: () => isLeaving,
    send: (address, request, {signal}) =>
      rpc.call(address, 'join', request, {
        timeoutMs: JOIN_TIMEOUT_MS,
        ...(signal ? {signal} : {}),
      }),
    clock,
    logger: createComponentLogger('members', logger),
  });
  const metrics = createControlMetrics({
    term: () => replica.term,
    isLeader: () => replica.isLeader(),
    commitIndex: () => replica.commitIndex,
    configVersion: () => state.configuration.version,
    evacuatedZoneCount: () => state.evacuatedZones.size,
  });
  const configurationService = new ConfigurationService({
    control,
    replica,
    rpc,
    clock,
    logger: createComponentLogger('operator', logger),
    onOutcome: (outcome) => metrics.changes.inc({outcome}),
  });
  const server = await startRpcServer({
    host,
    port: rpcPort,
    handlers: {
      ...configurationService.handlers,
      consensus: consensusHandler(replica),
      report: (payload) => control.report(reportRequestSchema.parse(payload)),
      join: async (payload) => {
        await groupJoin.handle(joinRequestSchema.parse(payload));
        return {};
      },
      leave: (payload) => {
        const request = leaveRequestSchema.parse(payload);
        if (!replica.isLeader()) throw new MedlarlaneError('NOT_LEADER');
        return Promise.resolve(members.leave(request));
      },
    },
    onInternalError: (method, err) => logger.error({method, err}, 'RPC handler failed'),
    onAcceptError: (err) => logger.error({err}, 'RPC connection cannot be accepted'),
  });
  disposables.add(() => server.close());
  const tasks = new BackgroundTasks({
    onFailure: (taskName, err) => logger.error({err, taskName}, 'Task failed'),
  }).disposeWith(disposables);
  replica.onRoleChange(() => members.reset());
  tasks.run('members', async (signal) => {
    while (!signal.aborted) {
      await clock.sleep(MEMBERSHIP_CHECK_INTERVAL_MS, {signal});
      if (store.failure) return opts.onLogFailure(store.failure);
      if (replica.isLeader()) await members.reconcile();
    }
  });
  tasks.run('join', (signal) => groupJoin.run(signal));
  control.start();
  disposables.add(() => control.stop());
  const close = (): Promise<void> => disposables.dispose();
  const stop = async (): Promise<void> => {
    isLeaving = true;
    await leaveGroup({replica, members, rpc, clock, logger});
    await close();
  };
  return {configurationService, replica, state, metrics, stop, close};
}

/**
 * Initial members are identified by address; later replicas get a new id even at a reused address.
 */
function generateReplicaId(address: string, isInitialMember: boolean): string {
  return isInitialMember ? address : `${address}#${randomBytes(6).toString('hex')}`;
}

function initialMembers(addresses: readonly string[]): {
  voters: string[];
  learners: string[];
  addresses: Record<string, string>;
} {
  return {
    voters: [...addresses],
    learners: [],
    addresses: Object.fromEntries(addresses.map((address) => [address, address])),
  };
}
