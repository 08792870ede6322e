import {DemandMeter, ServiceLevels} from '@medlarlane/admission';
import {MedlarlaneError} from '@medlarlane/errors';
import {createGrantClient, HostedTarget} from '@medlarlane/key-holds';
import type {GrantCodec, Heartbeat, HeartbeatResult} from '@medlarlane/key-holds';
import {BackgroundTasks, DisposableStore, systemClock} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';
import {createComponentLogger} from '@medlarlane/logger';
import type {Logger} from '@medlarlane/logger';
import {
  AdmissionController,
  createEntryHandler,
  createPeerClient,
  createTargetClient,
  EntryAdmission,
  EventLoopLag,
  MemoryBudget,
  SiteView,
  startOfferListener,
  UploadMemory,
} from '@medlarlane/request-path';
import type {CallerHeaderCodec, CurrentTarget, TargetHeaderCodec} from '@medlarlane/request-path';
import {PoisonTable} from '@medlarlane/poison';
import {createRpcClient} from '@medlarlane/rpc';
import {decodeConfiguration, decodeSums} from '@medlarlane/site-control';
import type {ReportRequest, ReportResponse} from '@medlarlane/site-control';
import type {SiteConfiguration, SiteService} from '@medlarlane/site-config';
import {ControlReporter} from '@medlarlane/site-link';
import {KEY_COUNT, replaceOverlappingRanges} from '@medlarlane/site-state';
import type {KeyRange} from '@medlarlane/site-state';
import {coldBoundOf, unknownColdBound} from './coldBound.js';
import {HealthChecks} from './healthChecks.js';
import {RetryBudgets} from './retryBudgets.js';
import {createDaemonMetrics} from './siteMetrics.js';
import type {SiteMetrics} from './siteMetrics.js';
import {startCallerListener} from './startCallerListener.js';
import type {CallerListener} from './startCallerListener.js';
import {ZoneEvacuation} from './zoneEvacuation.js';

export interface SiteDaemonOptions {
  readonly availabilityZone: string;
  /** Service of the target next to this daemon. */
  readonly service: string;
  readonly targetEndpoint: Endpoint;
  /** Listener for callers on this instance and for requests that the target makes. */
  readonly callerEndpoint: Endpoint;
  /** Listener for requests that other daemons forward. */
  readonly forwardEndpoint: Endpoint;
  /** Control addresses for the first connection. */
  readonly seeds: () => readonly string[];
  readonly heartbeatIntervalMs: number;
  readonly drainMs: number;
  readonly maxHoldMs: number;
  /** Retries per request that the deployment allows a service. */
  readonly retryRatio: number;
  /** Retries that are always allowed within the window, for all daemons together. */
  readonly retrySlack: number;
  readonly retryWindowMs: number;
  /** Factor and constant by which a cold target tolerates more than its configured rate in any second. */
  readonly coldOverage?: number;
  readonly coldSlack?: number;
  /**
   * Whether the deployment evacuates zones. A daemon then refuses requests for its target until the control
   * leader has told it whether its zone is evacuated.
   */
  readonly hasEvacuations?: boolean;
  /**
   * Whether entries refuse what the admission level of a service does not admit. Off by default, because no
   * measured deployment gained from it.
   */
  readonly usesAdmissionLevels?: boolean;
  readonly callerHeaderCodec: CallerHeaderCodec;
  readonly targetHeaderCodec: TargetHeaderCodec;
  /**
   * For targets that are granted keys by calls; without it, responses to their heartbeats grant
   * keys.
   */
  readonly grantCodec?: GrantCodec;
  /** Memory of this process; `undefined` if it is not limited. */
  readonly memoryBytes?: number | undefined;
  readonly clock: Clock;
  readonly logger: Logger;
}

export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

export interface SiteDaemon {
  readonly hostedTarget: HostedTarget;
  readonly metrics: SiteMetrics;
  /** Whether callers may send requests to this daemon. */
  readonly isReady: boolean;
  /** Whether the keys of the target's service are partitioned; `undefined` before the first configuration. */
  readonly isServiceKeyed: boolean | undefined;
  /**
   * Handles a heartbeat of the target. If it is from another target than the known one, asks the process at the
   * target's address for its id, which takes 400 ms at most.
   */
  handleHeartbeat(heartbeat: Heartbeat): Promise<HeartbeatResult>;
  /**
   * Starts the drain of a target that announces its removal. Returns whether the control leader has recorded it,
   * so that the drain outlasts this process; otherwise the announcement must be repeated.
   */
  removeTarget(targetId: string): Promise<boolean>;
  /**
   * Stops accepting requests, waits for requests in flight and closes, all within about `graceMs`. Requests
   * that are still accepted meanwhile get a response by then.
   */
  stop(graceMs: number): Promise<void>;
}

/** Interval at which a target with an overdue heartbeat is checked. */
const TARGET_CHECK_INTERVAL_MS = 250;
const CONNECT_TIMEOUT_MS = 200;
/**
 * Interval at which grants by calls are checked; they are renewed more than 1 s before they expire.
 */
const GRANT_CHECK_INTERVAL_MS = 100;
/**
 * Time for which a stopping daemon still accepts requests: the platform detects that it is not
 * ready after two failed checks 1 s apart.
 */
const READINESS_PROPAGATION_MS = 2_600;
const STOP_POLL_INTERVAL_MS = 50;
/** Time for which demand is reported after the leader asked for it; longer than two reports take. */
const DEMAND_WANTED_MS = 1_500;
/** Time before the end of a stop for the last responses of targets, which end at their deadline. */
const LAST_RESPONSE_MS = 150;
/** A target waits for the response to its removal for 1 s. */
const REMOVAL_CONFIRMATION_MS = 800;
/**
 * Time until the peers have received the last responses. A link of 2 Mbit/s carries the full buffers of ten
 * connections within the maximum; a peer that is gone never confirms.
 */
const MIN_FLUSH_MS = 150;
const MAX_FLUSH_MS = 2_000;
/** Maximum number of connections to the target; leaves connections free for its other callers. */
const MAX_TARGET_CONNECTIONS = 64;

/** Starts the daemon next to a target. */
export async function startSiteDaemon(opts: SiteDaemonOptions): Promise<SiteDaemon> {
  const {clock, logger} = opts;
  const disposables = new DisposableStore();
  let isStopping = false;
  let isClosed = false;
  let isAdmissionClosed = false;
  let stopDeadlineAtMs = Infinity;
  const forwardAddress = `${opts.forwardEndpoint.host}:${opts.forwardEndpoint.port}`;
  const view = new SiteView({clock, availabilityZone: opts.availabilityZone});
  const grantApi =
    opts.grantCodec &&
    disposables.use(
      createGrantClient({
        ...opts.targetEndpoint,
        codec: opts.grantCodec,
        lastHeartbeatAtMs: () => hostedTarget.lastHeartbeatAtMs,
      }),
      (client) => client.close(),
    );
  const tolerance = {coldOverage: opts.coldOverage ?? 1, coldSlack: opts.coldSlack ?? 0};
  const ownService = (): SiteService | undefined =>
    view.configuration.services.find(({name}) => name === opts.service);
  const hostedTarget: HostedTarget = new HostedTarget({
    clock,
    steadyClock: systemClock,
    logger: createComponentLogger('target', logger),
    heartbeatIntervalMs: opts.heartbeatIntervalMs,
    drainMs: opts.drainMs,
    maxHoldMs: opts.maxHoldMs,
    keyCount: KEY_COUNT,
    awaitsLeader: opts.hasEvacuations === true,
    ...(grantApi ? {grantApi} : {}),
    coldBound: () => {
      if (!view.hasConfiguration) return unknownColdBound(tolerance);
      const warmUp = ownService()?.warmUp;
      return warmUp && coldBoundOf(warmUp, tolerance);
    },
    isServiceServed: () => view.instancesOf(opts.service).some(({state}) => state === 'ready'),
  });
  const zoneEvacuation = disposables.use(
    new ZoneEvacuation({
      availabilityZone: opts.availabilityZone,
      view,
      hostedTarget,
      clock,
      logger: createComponentLogger('zones', logger),
    }),
    (evacuation) => evacuation.dispose(),
  );
  // Targets of a zone may have become cold while it was evacuated.
  zoneEvacuation.onZoneRestored = () => {
    hostedTarget.assumeCold('evacuation');
    return healthChecks.check('zone-restored');
  };
  const memoryBudget = new MemoryBudget({
    processBytes: opts.memoryBytes,
    onCutOff: (usage) => logger.warn(usage, 'Slow readers cut off, memory budget exceeded'),
  });
  const uploadMemory = new UploadMemory({
    processBytes: opts.memoryBytes,
    heldBytes: () => memoryBudget.holdBytes,
  });
  const targetClient = disposables.use(
    createTargetClient({
      ...opts.targetEndpoint,
      memoryBudget,
      headerCodec: opts.targetHeaderCodec,
      maxConnections: MAX_TARGET_CONNECTIONS,
      onConnectionRefused: () => void checkTarget(),
      onNotice: (incarnation, notice) => {
        hostedTarget.recordNotice(incarnation, notice);
        if (notice.load) admissionController.recordStatedLoad(incarnation, notice.load);
      },
    }),
    (client) => client.close(),
  );
  const demandMeter = new DemandMeter(clock);
  const serviceLevels = new ServiceLevels({
    clock,
    logger: createComponentLogger('admission', logger),
  });
  let demandWantedUntilMs = -Infinity;
  const measuredDemand = (): Pick<ReportRequest, 'demand'> => {
    if (!opts.usesAdmissionLevels) return {};
    const {usableSlots} = admissionController;
    const isReported =
      clock.nowMs() < demandWantedUntilMs || demandMeter.isNearCapacity(usableSlots);
    return isReported ? {demand: demandMeter.report(usableSlots)} : {};
  };
  const metrics = createDaemonMetrics({
    load: () => admissionController.load,
    admissionLevels: () => serviceLevels.list(),
    configVersion: () => view.configuration.version,
    rateLimitRps: () => hostedTarget.rateLimit?.rps,
    coldLeftMs: () => hostedTarget.coldLeftMs,
    pendingStarts: () => entryHandler.pendingStarts,
    heldSlots: () => admissionController.heldSlotCount,
    slowdown: () => hostedTarget.slowdown,
    keyRps: () => hostedTarget.offeredRps,
    controlSilentMs: () => controlReporter.sinceLastResponseMs,
    isEvacuated: () => hostedTarget.isEvacuated,
    evacuatedZoneCount: () => zoneEvacuation.zoneCount,
    memoryBudget,
  });
  const poison = new PoisonTable({reporterId: forwardAddress, clock});
  let isPoisonReported = true;
  let crashedAtMs = -Infinity;
  const admissionController: AdmissionController = new AdmissionController({
    clock,
    logger: createComponentLogger('gate', logger),
    client: targetClient,
    target: () => resolveCurrentTarget(hostedTarget, isAdmissionClosed),
    holdsKey: (key) => hostedTarget.holdsKey(key),
    rateLimitRps: () => hostedTarget.permittedRps,
    maxPerSecond: () => hostedTarget.coldBound?.maxPerSecond,
    isCold: () => hostedTarget.coldBound !== undefined,
    grantDueInMs: (key) => hostedTarget.grantDueInMs(key),
    poison,
    onResult: (result, durationMs) => {
      metrics.recordTargetRun(result, durationMs);
      healthChecks.recordResult(result);
    },
    onKeyRequest: (key) => hostedTarget.recordRequest(key),
    demandMeter,
    slowdown: () => hostedTarget.slowdown,
  });
  const healthChecks = new HealthChecks({
    clock,
    logger: createComponentLogger('target', logger),
    client: targetClient,
    // The result has no use without a bound for cold targets, and checks have a cost.
    path: () => (ownService()?.warmUp ? ownService()?.healthPath : undefined),
    onHealth: ({targetId, coldLeftMs}) => {
      if (targetId !== undefined && coldLeftMs !== undefined)
        hostedTarget.recordHealth(targetId, coldLeftMs);
    },
  });
  const eventLoopLag = new EventLoopLag(disposables);
  const peers = disposables.use(
    createPeerClient({
      logger: createComponentLogger('peers', logger),
      memoryBudget,
      isStopping: () => isStopping,
    }),
    (client) => client.close(),
  );
  const budgets = new RetryBudgets(opts);
  const entryHandler = createEntryHandler({
    view,
    clock,
    logger: createComponentLogger('entry', logger),
    headerCodec: opts.callerHeaderCodec,
    peers,
    admissionController,
    forwardAddress,
    callerService: opts.service,
    poison,
    retryBudget: (service) => budgets.of(service),
    lagMs: () => eventLoopLag.lagMs,
    phase: () => {
      if (isClosed) return 'closed';
      return isStopping || callerListener.isOverConnectionLimit ? 'closing' : 'open';
    },
    stopDeadlineAtMs: () => stopDeadlineAtMs - LAST_RESPONSE_MS,
    isWithdrawn: () => isAdmissionClosed,
    ...(opts.usesAdmissionLevels
      ? {entryAdmission: new EntryAdmission({demandMeter, serviceLevels})}
      : {}),
    onResponse: (outcome) => metrics.recordRequest(outcome),
    memoryBudget,
    uploadMemory,
  });
  const rpc = disposables.use(createRpcClient(), (client) => client.close());
  const applyConfiguration = (next: SiteConfiguration): void => {
    const previousVersion = view.configuration.version;
    if (next.version <= previousVersion) return;
    logger.info({version: next.version, before: previousVersion}, 'Configuration in force');
    view.setConfiguration(next);
    callerListener.setLimits(next.limits);
  };
  const handleReportResponse = (response: ReportResponse, sentAtMs: number): void => {
    if (sentAtMs > crashedAtMs) isPoisonReported = true;
    if (response.configuration) applyConfiguration(decodeConfiguration(response.configuration));
    budgets.setDaemonCount(response.daemonCount);
    if (response.isDemandWanted) demandWantedUntilMs = clock.nowMs() + DEMAND_WANTED_MS;
    serviceLevels.update((response.demand ?? []).map(decodeSums), response.daemonCount);
    view.updateInstances(response);
    if (response.evacuation) zoneEvacuation.apply(response.evacuation);
    if (response.poison) poison.merge(response.poison);
    for (const [service, changedRanges] of response.ranges) {
      view.setRanges(
        service,
        replaceOverlappingRanges(view.rangesOf(service) as KeyRange[], changedRanges),
      );
    }
    const successors = view
      .instancesOf(opts.service)
      .filter(
        (entry) =>
          entry.state === 'ready' &&
          entry.life !== hostedTarget.incarnation &&
          !view.isEvacuated(entry),
      );
    const ownEntry = response.instances.find((entry) => entry.forwardAddress === forwardAddress);
    const isTargetUnknown = hostedTarget.incarnation === undefined;
    if (ownEntry) hostedTarget.restore(ownEntry);
    if (isTargetUnknown && hostedTarget.incarnation !== undefined)
      void healthChecks.check('daemon-started');
    hostedTarget.applyReportResponse({
      sentAtMs,
      leaseMs: response.leaseMs,
      ranges: view.rangesOf(opts.service) as Parameters<
        HostedTarget['applyReportResponse']
      >[0]['ranges'],
      transfers: response.transfers,
      hasSuccessors: successors.length > 0,
    });
  };
  const controlReporter: ControlReporter = new ControlReporter({
    rpc,
    clock,
    logger: createComponentLogger('link', logger),
    seeds: opts.seeds,
    buildReport: (syncState): ReportRequest => ({
      forwardAddress,
      availabilityZone: opts.availabilityZone,
      configVersion: view.configuration.version,
      ...syncState,
      evacuationIndex: zoneEvacuation.index,
      waitMs: 0,
      ...buildTargetReport(hostedTarget, admissionController),
      endedLives: [...hostedTarget.endedIncarnations],
      released: [...hostedTarget.released],
      ...(isPoisonReported ? {} : {poison: poison.export()}),
      ...measuredDemand(),
      stopping: isStopping,
    }),
    onResponse: handleReportResponse,
  });
  hostedTarget.onCrash = (incarnation) => {
    admissionController.recordTargetCrash(incarnation);
    isPoisonReported = poison.isEmpty;
    crashedAtMs = clock.nowMs();
  };
  hostedTarget.onChange = () => {
    if (!hostedTarget.acceptsRequests) admissionController.refuseQueued('DRAINING');
    controlReporter.reportNow();
  };

  const callerListener: CallerListener = await startCallerListener({
    ...opts.callerEndpoint,
    limits: view.configuration.limits,
    handle: (request, response) => entryHandler.handle(request, response),
    onConnection: () => entryHandler.recordConnection(),
    closeAfterPending: (connection) => entryHandler.closeAfterPending(connection),
    logger,
  });
  const offerListener = await startOfferListener({
    ...opts.forwardEndpoint,
    admissionController,
    logger,
    lagMs: () => eventLoopLag.lagMs,
    memoryBudget,
    uploadMemory,
  });
  // The bodies of uploads in these queues have a bound of their own.
  memoryBudget.addQueue(() =>
    Math.max(0, (peers.heldBytes ?? 0) + offerListener.heldBytes - uploadMemory.usedBytes),
  );
  controlReporter.start();
  disposables.add(() => controlReporter.stop());
  /**
   * Marks the target as ended when it refuses connections, which shows that its process has exited.
   */
  const checkTarget = async (): Promise<void> => {
    const {incarnation, state} = hostedTarget;
    if (incarnation === undefined || state === 'ended') return;
    const listenerState = await targetClient.probeListener(CONNECT_TIMEOUT_MS);
    if (listenerState === 'no' && hostedTarget.incarnation === incarnation)
      hostedTarget.markEnded();
  };
  const backgroundTasks = new BackgroundTasks({
    onFailure: (taskName, err) => logger.error({err, taskName}, 'Task failed'),
  }).disposeWith(disposables);
  backgroundTasks.run('watch target', async (signal) => {
    while (!signal.aborted) {
      await clock.sleep(TARGET_CHECK_INTERVAL_MS, {signal});
      hostedTarget.reviewCold();
      if (hostedTarget.isHeartbeatOverdue) await checkTarget();
    }
  });
  if (grantApi) {
    backgroundTasks.run('grants', async (signal) => {
      while (!signal.aborted) {
        await clock.sleep(GRANT_CHECK_INTERVAL_MS, {signal});
        hostedTarget.applyGrantPlan();
      }
    });
  }
  return {
    hostedTarget,
    metrics,
    get isReady() {
      return !isStopping && view.hasConfiguration;
    },
    get isServiceKeyed() {
      return ownService()?.keyed;
    },
    handleHeartbeat: async (heartbeat) => {
      const healthPath = ownService()?.healthPath;
      const isListenerAsked = healthPath !== undefined && hostedTarget.needsListenerId(heartbeat);
      const listenerId = isListenerAsked ? await healthChecks.identify(healthPath) : undefined;
      return hostedTarget.handleHeartbeat(heartbeat, {listenerId});
    },
    removeTarget: async (targetId) => {
      const deadlineMs = clock.nowMs() + REMOVAL_CONFIRMATION_MS;
      hostedTarget.startDraining(targetId);
      const wasKnown = hostedTarget.isDraining(targetId);
      const isConfirmed = await controlReporter.confirmReport(REMOVAL_CONFIRMATION_MS);
      // The response to a report without the target may have restored it.
      const isRestored = !wasKnown && hostedTarget.isDraining(targetId);
      if (!isConfirmed || !isRestored) return isConfirmed;
      return controlReporter.confirmReport(deadlineMs - clock.nowMs());
    },
    stop: async (graceMs) => {
      isStopping = true;
      controlReporter.reportNow();
      stopDeadlineAtMs = clock.nowMs() + graceMs;
      const waitUntil = async (isDone: () => boolean): Promise<void> => {
        while (!isDone() && clock.nowMs() < stopDeadlineAtMs)
          await clock.sleep(STOP_POLL_INTERVAL_MS);
      };
      const readyUntilMs = clock.nowMs() + READINESS_PROPAGATION_MS;
      // Only this daemon reaches the target, so it still serves requests of other daemons.
      await waitUntil(() => clock.nowMs() >= readyUntilMs);
      isAdmissionClosed = true;
      admissionController.refuseQueued('DRAINING');
      // Requests running at the target may send requests of their own through the caller listener.
      await waitUntil(() => admissionController.inFlight === 0);
      isClosed = true;
      callerListener.stopAccepting();
      // Responses to other daemons may wait for a slow link long after the target has sent them.
      const isAnswered = (): boolean =>
        entryHandler.inFlight === 0 &&
        offerListener.openStreams === 0 &&
        offerListener.unsentBytes === 0;
      await waitUntil(isAnswered);
      const {openStreams, unsentBytes} = offerListener;
      const remainingMs = stopDeadlineAtMs - clock.nowMs();
      logger.info(
        {inFlight: entryHandler.inFlight, openStreams, unsentBytes, remainingMs},
        'Daemon closing',
      );
      callerListener.closeAll();
      await offerListener.close(Math.min(Math.max(remainingMs, MIN_FLUSH_MS), MAX_FLUSH_MS));
      await disposables.dispose();
    },
  };
}

function resolveCurrentTarget(
  hostedTarget: HostedTarget,
  isAdmissionClosed: boolean,
): CurrentTarget | MedlarlaneError {
  const {lastHeartbeat: heartbeat, incarnation} = hostedTarget;
  if (!heartbeat || incarnation === undefined) return new MedlarlaneError('NO_TARGET');
  if (isAdmissionClosed) return new MedlarlaneError('DRAINING', 'This daemon is stopping');
  if (!hostedTarget.acceptsRequests)
    return new MedlarlaneError(hostedTarget.state === 'ended' ? 'NO_TARGET' : 'DRAINING');
  return {
    targetId: heartbeat.targetId,
    life: incarnation,
    service: heartbeat.service,
    slots: heartbeat.slots,
  };
}

function buildTargetReport(
  hostedTarget: HostedTarget,
  admissionController: AdmissionController,
): Pick<ReportRequest, 'target'> {
  const {lastHeartbeat: heartbeat, incarnation, state, mayHoldKeys} = hostedTarget;
  const {capacityLimit: rateLimit} = hostedTarget;
  const {isEvacuated} = hostedTarget;
  if (!heartbeat || incarnation === undefined || state === undefined) return {};
  // The leader may reassign the keys of a target that holds none and accepts no new ones.
  if (!mayHoldKeys && (state !== 'ready' || isEvacuated)) hostedTarget.invalidateLease();
  return {
    target: {
      targetId: heartbeat.targetId,
      life: incarnation,
      service: heartbeat.service,
      state,
      slots: heartbeat.slots,
      coldLeftMs: hostedTarget.coldLeftMs,
      mayHoldKeys,
      offeredRps: Math.round(hostedTarget.offeredRps),
      meanMs: admissionController.load.meanMs,
      ...(rateLimit ? {rateLimit} : {}),
      isRateLimitKnown: hostedTarget.hasNotice,
      ...(isEvacuated ? {isEvacuated} : {}),
    },
  };
}
