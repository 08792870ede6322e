import {createHash} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import {Server as HttpsServer} from 'node:https';
import {startTargetListener} from '@medlarlane/announce';
import {createConnectTransport, startReplica} from '@medlarlane/consensus';
import {ControlClient} from '@medlarlane/control-client';
import {startControlService} from '@medlarlane/control-service';
import {IdempotencyTable} from '@medlarlane/dedupe';
import {Directory} from '@medlarlane/directory';
import {
  CallerRouter,
  handOverRecords,
  IdempotencyRangeSync,
  LocalServer,
  Peers,
  startCallerListener,
  startPeerListener,
} from '@medlarlane/forwarder';
import {Kernel} from '@medlarlane/kernel';
import {BackgroundTasks, systemClock} from '@medlarlane/lifecycle';
import {LoadMeter} from '@medlarlane/load-meter';
import {createComponentLogger, createLogger} from '@medlarlane/logger';
import {openLogStore} from '@medlarlane/log-store';
import type {PoisonReport} from '@medlarlane/model';
import {Lease, Ownership, RangeReleaser} from '@medlarlane/ownership';
import {PoisonTable} from '@medlarlane/poison';
import {RetryBudget} from '@medlarlane/retry';
import {advertisedAddress, formatHostPort, isUnspecified} from '@medlarlane/settings';
import type {DaemonSettings, HostPort} from '@medlarlane/settings';
import {createMetrics, createTracer} from '@medlarlane/telemetry';
import {watchTlsMaterial} from '@medlarlane/tls';
import {DirectoryMeter} from './directoryMeter.js';
import {countRequest, createControlObserver, exposeMetrics} from './exposeMetrics.js';
import type {MetricSources} from './exposeMetrics.js';
import {startAdminListener} from './adminListener.js';
import {InFlightRequests} from './inFlightRequests.js';
import type {} from './services.js';
import {startControlListener} from './startControlListener.js';
import {TargetSupervisor} from './targetSupervisor.js';

const PEER_CONNECTIONS = 64;
const PEER_CHECK_INTERVAL_MS = 250;

/** Registers the services of the daemon. They are started by `kernel.start()`. */
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
    .register('metrics', () => createMetrics({includeRuntimeMetrics: true}))
    .register('tracer', (_services, store) =>
      store.use(
        createTracer({
          otlpUrl: settings.otlpUrl,
          sampleRatio: settings.traceSampleRatio,
          serviceName: 'medlarlaned',
        }),
        (tracer) => tracer.close(),
      ),
    )
    .register('tls', async (services, store) => {
      const {tlsCert, tlsKey, tlsCa} = settings;
      if (tlsCert === undefined || tlsKey === undefined || tlsCa === undefined) return undefined;
      const files = {certFile: tlsCert, keyFile: tlsKey, caFile: tlsCa};
      const watcher = await watchTlsMaterial(files, {logger: await services.get('logger')});
      return store.use(watcher, (opened) => opened.close());
    })
    .register('tasks', async (services, store) => {
      const logger = createComponentLogger('task', await services.get('logger'));
      return new BackgroundTasks({
        onFailure: (taskName, failure) => logger.error({taskName, err: failure}, 'Task failed'),
      }).disposeWith(store);
    });
}

/** Registers the control services. Only instances with a data folder run a control replica. */
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
      const tls = await services.get('tls');
      const transport = store.use(
        createConnectTransport({
          ...localAddressOf(settings),
          ...(tls ? {tls: () => tls.clientTlsOptions()} : {}),
        }),
        (opened) => opened.close(),
      );
      return startControlService({
        group: settings.group,
        leaseTtlMs: settings.leaseTtlMs,
        observer: createControlObserver(await services.get('metrics')),
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
              snapshotIntervalEntries: settings.snapshotEntries,
              timings: {
                heartbeatIntervalMs: settings.heartbeatIntervalMs,
                leaderLeaseMs: settings.leaderLeaseMs,
                voteRefusalMs: settings.electionTimeoutMinMs,
                electionTimeoutMinMs: settings.electionTimeoutMinMs,
                electionTimeoutMaxMs: settings.electionTimeoutMaxMs,
              },
              ...(settings.bootstrap ? {bootstrap: initialMembers(settings)} : {}),
            }),
            (replica) => replica.close(),
          ),
      });
    })
    .register('controlListener', async (services, store) => {
      const {controlListen} = await services.get('settings');
      const controlService = await services.get('controlService');
      if (!controlService || !controlListen) return {port: 0};
      const tls = await services.get('tls');
      const listener = await startControlListener({
        ...controlListen,
        ...(tls ? {tls: {...tls.serverTlsOptions()}} : {}),
        routes: (router) => controlService.routes(router),
      });
      if (listener.secureServer) tls?.attachServer(listener.secureServer);
      return store.use(listener, (opened) => opened.close());
    })
    .register('controlClient', async (services) => {
      const settings = await services.get('settings');
      const loadMeter = await services.get('loadMeter');
      const inFlightRequests = await services.get('inFlightRequests');
      const tls = await services.get('tls');
      const replicaAddresses = settings.controlReplicas.map(({address}) => formatHostPort(address));
      return new ControlClient({
        ...localAddressOf(settings),
        ...(tls ? {tls: () => tls.clientTlsOptions()} : {}),
        replicaAddresses,
        lease: await services.get('lease'),
        directory: await services.get('directory'),
        clock: await services.get('clock'),
        tasks: await services.get('tasks'),
        logger: createComponentLogger('control-client', await services.get('logger')),
        renewIntervalMs: settings.renewIntervalMs,
        watchOffset: watchOffsetOf(settings.instanceId, replicaAddresses.length),
        collectLoadReport: () => ({
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
    .register(
      'directoryMeter',
      async (services) =>
        new DirectoryMeter({
          directory: await services.get('directory'),
          metrics: await services.get('metrics'),
          clock: await services.get('clock'),
        }),
    )
    .register('loadMeter', async (services) => new LoadMeter({clock: await services.get('clock')}))
    .register('idempotency', async (services) => {
      const idempotency = new IdempotencyTable({clock: await services.get('clock')});
      const [directory, lease] = [await services.get('directory'), await services.get('lease')];
      const rangeSync = new IdempotencyRangeSync({directory, lease, idempotency});
      directory.onChange(() => rangeSync.update());
      lease.onSessionChange(() => rangeSync.update());
      return idempotency;
    })
    .register('poison', async (services) => {
      const {instanceId} = await services.get('settings');
      const clock = await services.get('clock');
      // Crash counts restart with each process, so each process needs a new reporter id.
      const poison = new PoisonTable({reporterId: `${instanceId}.${clock.wallMs()}`, clock});
      (await services.get('directory')).onPoison((report, reportedAtMs) => {
        poison.merge(addElapsedTime(report, Math.max(0, clock.wallMs() - reportedAtMs)));
      });
      return poison;
    })
    .register(
      'inFlightRequests',
      async (services) =>
        new InFlightRequests(await services.get('poison'), await services.get('clock')),
    );
}

function registerRouting(kernel: Kernel): void {
  kernel
    .register('peers', async (services, store) => {
      const clock = await services.get('clock');
      const directory = await services.get('directory');
      const tls = await services.get('tls');
      const peers = store.use(
        new Peers({
          connections: PEER_CONNECTIONS,
          clock,
          ...(tls ? {tls: () => tls.clientTlsOptions()} : {}),
        }),
        (opened) => opened.close(),
      );
      tls?.onChange(() => void peers.reconnect());
      (await services.get('tasks')).run('peer connections', async (signal) => {
        for (;;) {
          await clock.sleep(PEER_CHECK_INTERVAL_MS, {signal});
          await peers.retain(directory.peerAddresses());
        }
      });
      return peers;
    })
    .register('targetSupervisor', async (services, store) => {
      const settings = await services.get('settings');
      const addresses = await services.get('addresses');
      const supervisor = new TargetSupervisor({
        controlClient: await services.get('controlClient'),
        directory: await services.get('directory'),
        lease: await services.get('lease'),
        ownership: await services.get('ownership'),
        listener: await services.get('targetListener'),
        onCrash: await createCrashReporter(services),
        clock: await services.get('clock'),
        tasks: await services.get('tasks'),
        logger: createComponentLogger('target', await services.get('logger')),
        drainTimeoutMs: settings.drainTimeoutMs,
        registrationBase: () => ({
          instanceId: settings.instanceId,
          region: settings.region,
          availabilityZone: settings.availabilityZone,
          callerAddress: addresses.caller,
          peerAddress: addresses.peer,
          adminAddress: addresses.admin,
        }),
      });
      store.add(() => supervisor.close());
      return supervisor;
    })
    .register('localServer', async (services) => {
      const inFlightRequests = await services.get('inFlightRequests');
      const targetSupervisor = await services.get('targetSupervisor');
      const addresses = await services.get('addresses');
      return new LocalServer({
        ownership: await services.get('ownership'),
        directory: await services.get('directory'),
        idempotency: await services.get('idempotency'),
        poison: await services.get('poison'),
        loadMeter: await services.get('loadMeter'),
        clock: await services.get('clock'),
        target: () => targetSupervisor.current,
        requestObserver: {
          onSent: (requestId, fingerprints) => inFlightRequests.recordSent(requestId, fingerprints),
          onEnded: (requestId, completion) => {
            inFlightRequests.recordEnded(requestId, completion);
            targetSupervisor.current?.recordOutcome(completion);
          },
          onConnectionRefused: () => targetSupervisor.fail('connection refused'),
        },
        cancel: (requestId) => void targetSupervisor.current?.link.cancel(requestId),
        loadHint: () => inFlightRequests.count,
        ownerAddress: () => addresses.caller,
      });
    })
    .register('callerRouter', async (services) => {
      const settings = await services.get('settings');
      const clock = await services.get('clock');
      const budgets = new Map<string, RetryBudget>();
      return new CallerRouter({
        directory: await services.get('directory'),
        lease: await services.get('lease'),
        localServer: await services.get('localServer'),
        peers: await services.get('peers'),
        clock,
        availabilityZone: settings.availabilityZone,
        random: Math.random,
        retryBudgetOf: (service) => {
          const budget = budgets.get(service) ?? new RetryBudget({clock});
          budgets.set(service, budget);
          return budget;
        },
      });
    })
    .register('rangeReleaser', async (services) => {
      const controlClient = await services.get('controlClient');
      const idempotency = await services.get('idempotency');
      const peers = await services.get('peers');
      const targetSupervisor = await services.get('targetSupervisor');
      const releaser = new RangeReleaser({
        lease: await services.get('lease'),
        ownership: await services.get('ownership'),
        directory: await services.get('directory'),
        tasks: await services.get('tasks'),
        clock: await services.get('clock'),
        logger: createComponentLogger('release', await services.get('logger')),
        handOverRecords: async (destination, ranges, signal) => {
          // A target that checks grants releases the ranges before the next owner gets them.
          await targetSupervisor.current?.link.pushGrant();
          await handOverRecords(destination, ranges, signal, {idempotency, peers});
        },
        onMoveCancelled: ({service, range, endPosition}) =>
          idempotency.resume({service, from: range.startPosition, to: endPosition}),
        reportReleased: (ranges) => controlClient.reportReleased(ranges),
      });
      releaser.start();
      return releaser;
    });
}

function registerListeners(kernel: Kernel): void {
  kernel
    .register('addresses', () => ({caller: '', peer: '', admin: ''}))
    .register('callerListener', async (services, store) => {
      const settings = await services.get('settings');
      const controlClient = await services.get('controlClient');
      const clock = await services.get('clock');
      const metrics = await services.get('metrics');
      const listener = await startCallerListener({
        ...settings.callerListen,
        router: await services.get('callerRouter'),
        directory: await services.get('directory'),
        clock,
        tracer: await services.get('tracer'),
        logger: createComponentLogger('caller', await services.get('logger')),
        staleMs: () => clock.nowMs() - controlClient.directoryCurrentAtMs,
        maxStaleMs: settings.maxStaleMs,
        onRequest: (record) => countRequest(metrics, record),
      });
      (await services.get('addresses')).caller = advertisedAddressOf(
        settings.callerListen,
        listener,
        settings,
      );
      return store.use(listener, (opened) => opened.close());
    })
    .register('peerListener', async (services, store) => {
      const settings = await services.get('settings');
      const idempotency = await services.get('idempotency');
      const tls = await services.get('tls');
      const listener = await startPeerListener({
        ...settings.peerListen,
        localServer: await services.get('localServer'),
        directory: await services.get('directory'),
        clock: await services.get('clock'),
        tracer: await services.get('tracer'),
        logger: createComponentLogger('peer', await services.get('logger')),
        importRecords: (chunk) => void idempotency.importRange(chunk),
        ...(tls ? {tls: {...tls.serverTlsOptions()}} : {}),
      });
      if (listener.server instanceof HttpsServer) tls?.attachServer(listener.server);
      (await services.get('addresses')).peer = advertisedAddressOf(
        settings.peerListen,
        listener,
        settings,
      );
      return store.use(listener, (opened) => opened.close());
    })
    .register('adminListener', async (services, store) => {
      const settings = await services.get('settings');
      const controlClient = await services.get('controlClient');
      const clock = await services.get('clock');
      const sources: MetricSources = {
        metrics: await services.get('metrics'),
        clock,
        group: settings.group,
        directory: await services.get('directory'),
        directoryMeter: await services.get('directoryMeter'),
        lease: await services.get('lease'),
        controlClient,
        controlService: await services.get('controlService'),
        targetSupervisor: await services.get('targetSupervisor'),
        idempotency: await services.get('idempotency'),
        poison: await services.get('poison'),
        tls: await services.get('tls'),
      };
      const listener = await startAdminListener({
        ...settings.adminListen,
        controlClient,
        token: await readToken(settings.adminTokenFile),
        logger: createComponentLogger('admin', await services.get('logger')),
        metrics: () => exposeMetrics(sources),
        isReady: () => clock.nowMs() - controlClient.directoryCurrentAtMs <= settings.maxStaleMs,
      });
      (await services.get('addresses')).admin = advertisedAddressOf(
        settings.adminListen,
        listener,
        settings,
      );
      return store.use(listener, (opened) => opened.close());
    })
    .register('targetListener', async (services, store) => {
      const {targetListen} = await services.get('settings');
      return store.use(
        await startTargetListener({
          ...targetListen,
          logger: await services.get('logger'),
          // Resolved lazily, because the supervisor depends on this listener.
          drainTarget: async () => (await services.get('targetSupervisor')).waitUntilSettled(),
        }),
        (listener) => listener.close(),
      );
    });
}

/** Creates the crash handler, which reports the requests in flight as suspects to all daemons. */
async function createCrashReporter(services: Kernel): Promise<() => void> {
  const inFlightRequests = await services.get('inFlightRequests');
  const poison = await services.get('poison');
  const controlClient = await services.get('controlClient');
  return () => {
    poison.recordCrash(inFlightRequests.takeCrashSuspects());
    if (!poison.isEmpty) controlClient.reportPoison(poison.export());
  };
}

/** Returns the address at which other processes reach a listener. */
function advertisedAddressOf(
  listen: HostPort,
  {port}: {port: number},
  settings: DaemonSettings,
): string {
  return formatHostPort(advertisedAddress({host: listen.host, port}, settings));
}

async function readToken(file: string | undefined): Promise<string | undefined> {
  return file === undefined ? undefined : (await readFile(file, 'utf8')).trim();
}

/**
 * Returns the source address of control connections: the one at which other replicas reach this
 * instance.
 */
function localAddressOf({controlListen, peerListen}: DaemonSettings): {localAddress?: string} {
  const {host} = controlListen ?? peerListen;
  return isUnspecified(host) ? {} : {localAddress: host};
}

/** Adds the time since a report was made to its ages. */
function addElapsedTime(report: PoisonReport, elapsedMs: number): PoisonReport {
  return report.map(({fingerprint, quarantinedForMs, crashes}) => ({
    fingerprint,
    ...(quarantinedForMs === undefined ? {} : {quarantinedForMs: quarantinedForMs + elapsedMs}),
    crashes: crashes.map((crash) => ({...crash, ageMs: crash.ageMs + elapsedMs})),
  }));
}

function initialMembers({controlReplicas}: DaemonSettings): {
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

/**
 * Returns the first replica for the watch stream, to distribute the daemons' streams over the
 * replicas.
 */
function watchOffsetOf(instanceId: string, replicas: number): number {
  return createHash('sha256').update(instanceId).digest().readUInt32BE(0) % replicas;
}
