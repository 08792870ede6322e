import {randomBytes} from 'node:crypto';
import {startReplica} from '@medlarlane/consensus';
import type {Replica} from '@medlarlane/consensus';
import {toMedlarlaneError} from '@medlarlane/errors';
import {BackgroundTasks, DisposableStore, systemClock} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';
import {openLogStore} from '@medlarlane/log-store';
import {createComponentLogger} from '@medlarlane/logger';
import type {Logger} from '@medlarlane/logger';
import {createRpcClient, startRpcServer} from '@medlarlane/rpc';
import {
  joinRequestSchema,
  MemberManager,
  reportRequestSchema,
  SiteControl,
} from '@medlarlane/site-control';
import {SiteState} from '@medlarlane/site-state';
import {consensusHandler, createRpcTransport} from './consensusRpc.js';
import {OperatorDesk} from './operatorDesk.js';
import {createControlMetrics} from './siteMetrics.js';

export interface SiteControlProcessOptions {
  readonly host: string;
  /** Port for calls of other processes of the system. */
  readonly rpcPort: number;
  readonly dataFolder: string;
  /** Control addresses of replicas that may already run. */
  readonly seeds: () => readonly string[];
  /** Whether the whole deployment starts for the first time; the seeds then form the group. */
  readonly bootstrap: boolean;
  /** Instances with a replica that may be lost at once. */
  readonly lossesTolerated: number;
  readonly clock: Clock;
  readonly logger: Logger;
  /** The log cannot be written any more; only a restart can help. */
  readonly onLogFailure: (failure: Error) => void;
}

export interface SiteControlProcess {
  readonly desk: OperatorDesk;
  readonly replica: Replica;
  readonly state: SiteState;
  readonly metrics: ReturnType<typeof createControlMetrics>;
  close(): Promise<void>;
}

/** A replica that is no voter asks to join at this period. */
const JOIN_PERIOD_MS = 500;
const JOIN_TIMEOUT_MS = 400;
const MEMBER_STEP_MS = 250;
/** Small logs keep a replica's start and memory small. */
const SNAPSHOT_EVERY_ENTRIES = 500;
/**
 * Elections on instances with a fraction of a core, whose processes pause for tens of milliseconds.
 */
const TIMINGS = {
  heartbeatIntervalMs: 150,
  leaderLeaseMs: 550,
  voteRefusalMs: 600,
  electionTimeoutMinMs: 600,
  electionTimeoutMaxMs: 1_000,
  callTimeoutMs: 500,
};

/** Starts a control replica of a deployment. */
export async function startSiteControl(
  opts: SiteControlProcessOptions,
): Promise<SiteControlProcess> {
  const {host, rpcPort, clock, logger, seeds} = opts;
  const disposables = new DisposableStore();
  const ownAddress = `${host}:${rpcPort}`;
  const founding = opts.bootstrap && seeds().includes(ownAddress);
  const store = await openLogStore(opts.dataFolder, {
    // The platform gives each process its own folder, and process ids there cannot be compared.
    assumeExclusive: true,
    generateReplicaId: () => newReplicaId(ownAddress, founding),
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
    snapshotIntervalEntries: SNAPSHOT_EVERY_ENTRIES,
    logger,
    ...(founding ? {bootstrap: foundingMembers(seeds())} : {}),
  });
  disposables.add(() => replica.close());
  // Leases that this process grants must not end early when the time of day steps forward.
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
  const metrics = createControlMetrics({
    term: () => replica.term,
    isLeader: () => replica.isLeader(),
    commitIndex: () => replica.commitIndex,
    configVersion: () => state.configuration.version,
  });
  const desk = new OperatorDesk({
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
      ...desk.handlers,
      consensus: consensusHandler(replica),
      report: (payload) => control.report(reportRequestSchema.parse(payload)),
      join: async (payload) => {
        const request = joinRequestSchema.parse(payload);
        const {leaderId, members: known} = replica.status();
        const leaderAddress = leaderId === undefined ? undefined : known.addresses[leaderId];
        if (replica.isLeader()) members.join(request);
        // The joiner knows the seeds only, and none of them may be the leader.
        else if (leaderAddress !== undefined && leaderAddress !== ownAddress && !request.relayed) {
          const relayed = {...request, relayed: true};
          await rpc.call(leaderAddress, 'join', relayed, {timeoutMs: JOIN_TIMEOUT_MS});
        }
        return {};
      },
    },
    onInternalError: (method, err) => logger.error({method, err}, 'Call failed'),
  });
  disposables.add(() => server.close());
  const askToJoin = async (addresses: readonly string[], signal: AbortSignal): Promise<void> => {
    const request = {replicaId: replica.replicaId, address: ownAddress};
    await Promise.all(
      addresses.map((address) =>
        rpc
          .call(address, 'join', request, {timeoutMs: JOIN_TIMEOUT_MS, signal})
          .catch((thrown: unknown) => {
            logger.debug({address, code: toMedlarlaneError(thrown).code}, 'Join got no answer');
          }),
      ),
    );
  };
  const tasks = new BackgroundTasks({
    onFailure: (taskName, err) => logger.error({err, taskName}, 'Task failed'),
  }).disposeWith(disposables);
  replica.onRoleChange(() => members.reset());
  tasks.run('members', async (signal) => {
    while (!signal.aborted) {
      await clock.sleep(MEMBER_STEP_MS, {signal});
      if (store.failure) return opts.onLogFailure(store.failure);
      if (replica.isLeader()) await members.reconcile();
    }
  });
  tasks.run('join', async (signal) => {
    while (!signal.aborted) {
      const {members: known} = replica.status();
      if (!known.voters.includes(replica.replicaId)) {
        const others = [...new Set([...seeds(), ...Object.values(known.addresses)])];
        await askToJoin(
          others.filter((address) => address !== ownAddress),
          signal,
        );
      }
      await clock.sleep(JOIN_PERIOD_MS, {signal});
    }
  });
  control.start();
  disposables.add(() => control.stop());
  return {desk, replica, state, metrics, close: () => disposables.dispose()};
}

/** Founders know each other by address; every later replica is a new one, even at an old address. */
function newReplicaId(address: string, founding: boolean): string {
  return founding ? address : `${address}#${randomBytes(6).toString('hex')}`;
}

function foundingMembers(addresses: readonly string[]): {
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
