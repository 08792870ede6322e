import {MedlarlaneError} from '@medlarlane/errors';
import {createGrantClient, HostedTarget} from '@medlarlane/key-holds';
import type {GrantCodec} from '@medlarlane/key-holds';
import {BackgroundTasks, DisposableStore, systemClock} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';
import {createComponentLogger} from '@medlarlane/logger';
import type {Logger} from '@medlarlane/logger';
import {
  createEntryHandler,
  createPeerClient,
  createTargetClient,
  EventLoopLag,
  SiteView,
  startOfferListener,
  AdmissionController,
} from '@medlarlane/request-path';
import type {CallerHeaderCodec, CurrentTarget, TargetHeaderCodec} from '@medlarlane/request-path';
import {PoisonTable} from '@medlarlane/poison';
import {createRpcClient} from '@medlarlane/rpc';
import {decodeConfiguration} from '@medlarlane/site-control';
import type {ReportRequest, ReportResponse} from '@medlarlane/site-control';
import type {SiteConfiguration} from '@medlarlane/site-config';
import {ControlReporter} from '@medlarlane/site-link';
import {KEY_COUNT, replaceOverlappingRanges} from '@medlarlane/site-state';
import type {KeyRange} from '@medlarlane/site-state';
import {RetryBudgets} from './retryBudgets.js';
import {createDaemonMetrics} from './siteMetrics.js';
import type {SiteMetrics} from './siteMetrics.js';
import {startCallerListener} from './startCallerListener.js';
import type {CallerListener} from './startCallerListener.js';

export interface SiteDaemonOptions {
  readonly availabilityZone: string;
  /** Service of the target beside this daemon. */
  readonly service: string;
  readonly target: Endpoint;
  /** Listener for callers on this instance and for calls of the target. */
  readonly caller: Endpoint;
  /** Listener for requests of other daemons. */
  readonly forward: Endpoint;
  /** Control addresses to start with. */
  readonly seeds: () => readonly string[];
  readonly heartbeatMs: number;
  readonly drainMs: number;
  readonly maxHoldMs: number;
  /** Extra sends per request that the deployment allows a service, and those that are always allowed. */
  readonly retryShare: number;
  readonly retrySlack: number;
  readonly retryWindowMs: number;
  readonly callerWire: CallerHeaderCodec;
  readonly targetWire: TargetHeaderCodec;
  /** For a target that is granted keys by calls; else the answers to its heartbeats grant them. */
  readonly grantWire?: GrantCodec;
  readonly clock: Clock;
  readonly logger: Logger;
}

export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

export interface SiteDaemon {
  readonly hosted: HostedTarget;
  readonly metrics: SiteMetrics;
  /** Whether callers may be sent to this daemon. */
  readonly ready: boolean;
  /** Stops taking work, finishes what is in flight within `graceMs` and closes. */
  stop(graceMs: number): Promise<void>;
}

/** How often a target whose heartbeat is overdue is looked at. */
const TARGET_CHECK_MS = 250;
const CONNECT_TIMEOUT_MS = 200;
/** How often calls that grant keys are looked at; they are renewed more than a second ahead. */
const GRANT_CHECK_MS = 100;
/**
 * A stopping daemon takes requests until the platform has noticed that it is not ready, which two
 * failed checks a second apart tell it.
 */
const TAKE_REQUESTS_MS = 2_600;
const STOP_CHECK_MS = 50;
/** Connections that stay free for the target's other callers. */
const CONNECTIONS_PER_TARGET = 64;
/** Starts the daemon beside a target. */
export async function startSiteDaemon(opts: SiteDaemonOptions): Promise<SiteDaemon> {
  const {clock, logger} = opts;
  const disposables = new DisposableStore();
  let stopping = false;
  let closed = false;
  let gateClosed = false;
  const forwardAddress = `${opts.forward.host}:${opts.forward.port}`;
  const view = new SiteView({clock, availabilityZone: opts.availabilityZone});
  const grantCalls =
    opts.grantWire &&
    disposables.use(
      createGrantClient({
        ...opts.target,
        codec: opts.grantWire,
        lastHeartbeatAtMs: () => hosted.lastHeartbeatAtMs,
      }),
      (client) => client.close(),
    );
  const hosted: HostedTarget = new HostedTarget({
    clock,
    steadyClock: systemClock,
    logger: createComponentLogger('target', logger),
    heartbeatIntervalMs: opts.heartbeatMs,
    drainMs: opts.drainMs,
    maxHoldMs: opts.maxHoldMs,
    keyCount: KEY_COUNT,
    ...(grantCalls ? {grantApi: grantCalls} : {}),
  });
  const targetClient = disposables.use(
    createTargetClient({
      ...opts.target,
      headerCodec: opts.targetWire,
      maxConnections: CONNECTIONS_PER_TARGET,
      onConnectionRefused: () => void checkTarget(),
    }),
    (client) => client.close(),
  );
  const metrics = createDaemonMetrics({
    load: () => gate.load,
    configVersion: () => view.configuration.version,
    controlSilentMs: () => link.sinceLastResponseMs,
  });
  const poison = new PoisonTable({reporterId: forwardAddress, clock});
  let poisonReported = true;
  let crashedAtMs = -Infinity;
  const gate: AdmissionController = new AdmissionController({
    clock,
    logger: createComponentLogger('gate', logger),
    client: targetClient,
    target: () => gateTarget(hosted, gateClosed),
    holdsKey: (key) => hosted.holdsKey(key),
    grantDueInMs: (key) => hosted.grantDueInMs(key),
    poison,
    onResult: (result, workMs) => metrics.ranAtTarget(result, workMs),
    onKeyRequest: (key) => hosted.recordRequest(key),
  });
  const loopLag = new EventLoopLag(disposables);
  const peers = disposables.use(
    createPeerClient({logger: createComponentLogger('peers', logger)}),
    (client) => client.close(),
  );
  const budgets = new RetryBudgets(opts);
  const entry = createEntryHandler({
    view,
    clock,
    logger: createComponentLogger('entry', logger),
    headerCodec: opts.callerWire,
    peers,
    admissionController: gate,
    forwardAddress,
    callerService: opts.service,
    poison,
    retryBudget: (service) => budgets.of(service),
    lagMs: () => loopLag.lagMs,
    phase: () => {
      if (closed) return 'closed';
      return stopping || callers.isCrowded ? 'closing' : 'open';
    },
    onResponse: (outcome) => metrics.answered(outcome),
  });
  const rpc = disposables.use(createRpcClient(), (client) => client.close());
  const takeConfiguration = (next: SiteConfiguration): void => {
    const before = view.configuration.version;
    if (next.version <= before) return;
    logger.info({version: next.version, before}, 'Configuration in force');
    view.setConfiguration(next);
    callers.setLimits(next.limits);
  };
  const takeAnswer = (answer: ReportResponse, sentAtMs: number): void => {
    if (sentAtMs > crashedAtMs) poisonReported = true;
    if (answer.configuration) takeConfiguration(decodeConfiguration(answer.configuration));
    budgets.setDaemonCount(answer.daemonCount);
    view.updateInstances(answer);
    if (answer.poison) poison.merge(answer.poison);
    for (const [service, changed] of answer.ranges) {
      view.setRanges(
        service,
        replaceOverlappingRanges(view.rangesOf(service) as KeyRange[], changed),
      );
    }
    const others = view
      .instancesOf(opts.service)
      .filter(({state, life}) => state === 'ready' && life !== hosted.incarnation);
    const ownEntry = answer.instances.find((entry) => entry.forwardAddress === forwardAddress);
    if (ownEntry) hosted.restore(ownEntry);
    hosted.applyReportResponse({
      sentAtMs,
      leaseMs: answer.leaseMs,
      ranges: view.rangesOf(opts.service) as Parameters<
        HostedTarget['applyReportResponse']
      >[0]['ranges'],
      transfers: answer.transfers,
      hasSuccessors: others.length > 0,
    });
  };
  const link: ControlReporter = new ControlReporter({
    rpc,
    clock,
    logger: createComponentLogger('link', logger),
    seeds: opts.seeds,
    buildReport: (known): ReportRequest => ({
      forwardAddress,
      availabilityZone: opts.availabilityZone,
      configVersion: view.configuration.version,
      ...known,
      waitMs: 0,
      ...reportedTarget(hosted, gate),
      endedLives: [...hosted.endedIncarnations],
      released: [...hosted.released],
      ...(poisonReported ? {} : {poison: poison.export()}),
      stopping,
    }),
    onResponse: takeAnswer,
  });
  hosted.onCrash = (life) => {
    gate.recordTargetCrash(life);
    poisonReported = poison.isEmpty;
    crashedAtMs = clock.nowMs();
  };
  hosted.onChange = () => {
    if (!hosted.acceptsRequests) gate.refuseQueued('DRAINING');
    link.reportNow();
  };

  const callers: CallerListener = await startCallerListener({
    ...opts.caller,
    limits: view.configuration.limits,
    handle: (request, response) => entry.handle(request, response),
    logger,
  });
  const gateListener = await startOfferListener({
    ...opts.forward,
    admissionController: gate,
    logger,
    lagMs: () => loopLag.lagMs,
  });
  link.start();
  disposables.add(() => link.stop());
  /** A refused connection proves that the target's process is gone. */
  const checkTarget = async (): Promise<void> => {
    const {incarnation: life, state} = hosted;
    if (life === undefined || state === 'ended') return;
    const listens = await targetClient.probeListener(CONNECT_TIMEOUT_MS);
    if (listens === 'no' && hosted.incarnation === life) hosted.markEnded();
  };
  const tasks = new BackgroundTasks({
    onFailure: (taskName, err) => logger.error({err, taskName}, 'Task failed'),
  }).disposeWith(disposables);
  tasks.run('watch target', async (signal) => {
    while (!signal.aborted) {
      await clock.sleep(TARGET_CHECK_MS, {signal});
      if (hosted.isHeartbeatOverdue) await checkTarget();
    }
  });
  if (grantCalls) {
    tasks.run('grants', async (signal) => {
      while (!signal.aborted) {
        await clock.sleep(GRANT_CHECK_MS, {signal});
        hosted.applyGrantPlan();
      }
    });
  }
  return {
    hosted,
    metrics,
    get ready() {
      return !stopping && view.hasConfiguration;
    },
    stop: async (graceMs) => {
      stopping = true;
      link.reportNow();
      const endsAtMs = clock.nowMs() + graceMs;
      const until = async (isDone: () => boolean): Promise<void> => {
        while (!isDone() && clock.nowMs() < endsAtMs) await clock.sleep(STOP_CHECK_MS);
      };
      const readyUntilMs = clock.nowMs() + TAKE_REQUESTS_MS;
      // Nobody else reaches the target, so that it goes on working for other daemons meanwhile.
      await until(() => clock.nowMs() >= readyUntilMs);
      gateClosed = true;
      gate.refuseQueued('DRAINING');
      // What the target still runs may need calls of its own, which come through the callers' listener.
      await until(() => gate.inFlight === 0);
      closed = true;
      callers.stopAccepting();
      await until(() => entry.inFlight === 0);
      logger.info({inFlight: entry.inFlight}, 'Daemon closes');
      callers.closeAll();
      await gateListener.close();
      await disposables.dispose();
    },
  };
}

function gateTarget(hosted: HostedTarget, closed: boolean): CurrentTarget | MedlarlaneError {
  const {lastHeartbeat: current, incarnation: life} = hosted;
  if (!current || life === undefined) return new MedlarlaneError('NO_TARGET');
  if (closed) return new MedlarlaneError('DRAINING', 'This daemon stops');
  if (!hosted.acceptsRequests)
    return new MedlarlaneError(hosted.state === 'ended' ? 'NO_TARGET' : 'DRAINING');
  return {targetId: current.targetId, life, service: current.service, slots: current.slots};
}

function reportedTarget(
  hosted: HostedTarget,
  gate: AdmissionController,
): Pick<ReportRequest, 'target'> {
  const {lastHeartbeat: current, incarnation: life, state, mayHoldKeys} = hosted;
  if (!current || life === undefined || state === undefined) return {};
  // The leader may give away the keys of a target that holds none and takes no new ones.
  if (!mayHoldKeys && state !== 'ready') hosted.invalidateLease();
  return {
    target: {
      targetId: current.targetId,
      life,
      service: current.service,
      state,
      slots: current.slots,
      coldLeftMs: current.coldLeftMs,
      mayHoldKeys,
      offeredRps: Math.round(hosted.offeredRps),
      meanMs: gate.load.meanMs,
    },
  };
}
