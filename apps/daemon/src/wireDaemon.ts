import {createHash} from 'node:crypto';
import {startTargetListener} from '@medlarlane/announce';
import {createConnectTransport, startReplica} from '@medlarlane/consensus';
import {ControlClient} from '@medlarlane/control-client';
import {startControlService} from '@medlarlane/control-service';
import {IdempotencyTable} from '@medlarlane/dedupe';
import {Directory} from '@medlarlane/directory';
import {
  CallerRouter,
  handOver,
  LocalServer,
  Peers,
  RecordCoverage,
  startCallerListener,
  startPeerListener,
} from '@medlarlane/forwarder';
import {Kernel} from '@medlarlane/kernel';
import {BackgroundTasks, systemClock} from '@medlarlane/lifecycle';
import {LoadMeter} from '@medlarlane/load-meter';
import {createLogger, loggerFor} from '@medlarlane/logger';
import {openLogStore} from '@medlarlane/log-store';
import {Lease, Ownership, RangeReleaser} from '@medlarlane/ownership';
import {PoisonTable} from '@medlarlane/poison';
import {RetryBudget} from '@medlarlane/retry';
import {advertisedAddress, formatHostPort} from '@medlarlane/settings';
import type {DaemonSettings, HostPort} from '@medlarlane/settings';
import {startAdminListener} from './adminListener.js';
import {InFlightRequests} from './inFlightRequests.js';
import type {} from './services.js';
import {startControlListener} from './startControlListener.js';
import {TargetSupervisor} from './targetSupervisor.js';

const PEER_CONNECTIONS = 64;

/** Wires the parts of the daemon. Nothing starts before `kernel.start()`. */
export function wireDaemon(settings: DaemonSettings): Kernel {
  const kernel = new Kernel();
  registerBase(kernel, settings);
  registerControl(kernel);
  registerOwnership(kernel);
  registerRouting(kernel);
  registerListeners(kernel);
  return kernel;
}

function registerBase(kernel: Kernel, settings: DaemonSettings): void {
  kernel
    .register('settings', () => settings)
    .register('clock', () => systemClock)
    .register('logger', () =>
      createLogger({level: settings.logLevel, bindings: {instanceId: settings.instanceId}}),
    )
    .register('tasks', async (services, store) => {
      const logger = loggerFor('task', await services.get('logger'));
      return new BackgroundTasks({
        onFailure: (taskName, failure) => logger.error({taskName, err: failure}, 'Task failed.'),
      }).ownedBy(store);
    });
}

/** The control replica, on instances with a data folder. */
function registerControl(kernel: Kernel): void {
  kernel
    .register('controlService', async (services, store) => {
      const settings = await services.get('settings');
      const {dataFolder, replicaId} = settings;
      if (dataFolder === undefined || replicaId === undefined) return undefined;
      const [logger, clock, tasks] = [
        await services.get('logger'),
        await services.get('clock'),
        await services.get('tasks'),
      ];
      const logStore = store.use(await openLogStore(dataFolder, {replicaId}), (opened) =>
        opened.close(),
      );
      const transport = store.use(createConnectTransport(), (opened) => opened.close());
      return startControlService({
        group: settings.group,
        leaseTtlMs: settings.leaseTtlMs,
        clock,
        tasks,
        logger,
        startReplica: (stateMachine) =>
          store.use(
            startReplica({
              replicaId,
              store: logStore,
              transport,
              clock,
              stateMachine,
              logger,
              snapshotEveryEntries: settings.snapshotEntries,
              timings: {
                heartbeatMs: settings.heartbeatIntervalMs,
                leaseMs: settings.leaderLeaseMs,
                voteRefusalMs: settings.electionTimeoutMinMs,
                electionMinMs: settings.electionTimeoutMinMs,
                electionMaxMs: settings.electionTimeoutMaxMs,
              },
              ...(settings.bootstrap ? {bootstrap: firstMembers(settings)} : {}),
            }),
            (replica) => replica.close(),
          ),
      });
    })
    .register('controlListener', async (services, store) => {
      const {controlListen} = await services.get('settings');
      const controlService = await services.get('controlService');
      if (!controlService || !controlListen) return {port: 0};
      return store.use(
        await startControlListener({
          ...controlListen,
          routes: (router) => controlService.routes(router),
        }),
        (listener) => listener.close(),
      );
    })
    .register('controlClient', async (services) => {
      const settings = await services.get('settings');
      const loadMeter = await services.get('loadMeter');
      const inFlightRequests = await services.get('inFlightRequests');
      const replicaAddresses = settings.controlReplicas.map(({address}) => formatHostPort(address));
      return new ControlClient({
        replicaAddresses,
        lease: await services.get('lease'),
        directory: await services.get('directory'),
        clock: await services.get('clock'),
        tasks: await services.get('tasks'),
        logger: loggerFor('control-client', await services.get('logger')),
        renewIntervalMs: settings.renewIntervalMs,
        watchOffset: offsetOf(settings.instanceId, replicaAddresses.length),
        takeLoadReport: () => ({
          ...loadMeter.takeReport(),
          inFlight: inFlightRequests.count,
        }),
      });
    });
}

function registerOwnership(kernel: Kernel): void {
  kernel
    .register('directory', () => new Directory())
    .register('lease', async (services) => new Lease(await services.get('clock')))
    .register(
      'ownership',
      async (services) =>
        new Ownership(await services.get('lease'), await services.get('directory')),
    )
    .register('loadMeter', async (services) => new LoadMeter({clock: await services.get('clock')}))
    .register('idempotency', async (services) => {
      const idempotency = new IdempotencyTable({clock: await services.get('clock')});
      const [directory, lease] = [await services.get('directory'), await services.get('lease')];
      const coverage = new RecordCoverage({directory, lease, idempotency});
      directory.onChange(() => coverage.update());
      lease.onSessionChange(() => coverage.update());
      return idempotency;
    })
    .register('poison', async (services) => {
      const {instanceId} = await services.get('settings');
      return new PoisonTable({reporterId: instanceId, clock: await services.get('clock')});
    })
    .register(
      'inFlightRequests',
      async (services) =>
        new InFlightRequests(await services.get('poison'), await services.get('clock')),
    );
}

function registerRouting(kernel: Kernel): void {
  kernel
    .register('peers', (_services, store) =>
      store.use(new Peers({connections: PEER_CONNECTIONS}), (peers) => peers.close()),
    )
    .register('localServer', async (services) => {
      const inFlightRequests = await services.get('inFlightRequests');
      const supervisor = services.get('targetSupervisor');
      let current: TargetSupervisor | undefined;
      void supervisor.then((created) => (current = created));
      const settings = await services.get('settings');
      const callerAddress = addressOf(settings, await services.get('callerPort'));
      return new LocalServer({
        ownership: await services.get('ownership'),
        directory: await services.get('directory'),
        idempotency: await services.get('idempotency'),
        poison: await services.get('poison'),
        clock: await services.get('clock'),
        target: () => current?.current,
        outcomes: inFlightRequests,
        cancel: () => undefined,
        loadHint: () => inFlightRequests.count,
        ownerAddress: () => callerAddress,
      });
    });
}

function firstMembers({controlReplicas}: DaemonSettings): {
  voters: string[];
  learners: string[];
  addresses: Record<string, string>;
} {
  return {
    voters: controlReplicas.map(({id}) => id),
    learners: [],
    addresses: Object.fromEntries(
      controlReplicas.map(({id, address}) => [id, formatHostPort(address)]),
    ),
  };
}

/** Spreads the watch streams of the daemons over the replicas. */
function offsetOf(instanceId: string, replicas: number): number {
  return createHash('sha256').update(instanceId).digest().readUInt32BE(0) % replicas;
}
