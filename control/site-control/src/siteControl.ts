import type {Replica} from '@medlarlane/consensus';
import {MedlarlaneError, toMedlarlaneError} from '@medlarlane/errors';
import {BackgroundTasks} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';
import type {Logger} from '@medlarlane/logger';
import {QUARANTINE_CRASH_THRESHOLD, PoisonTable} from '@medlarlane/poison';
import type {ConfigurationChange, SiteConfiguration} from '@medlarlane/site-config';
import {encodeCommand} from '@medlarlane/site-state';
import type {
  ChangeOutcome,
  EvacuationChange,
  EvacuationOutcome,
  KeyAssignment,
  SiteState,
} from '@medlarlane/site-state';
import {InstanceDirectory} from './instanceDirectory.js';
import {KEY_LEASE_MS, KeyLeaseTable} from './keyLeaseTable.js';
import {planKeys} from './planKeys.js';
import {planTransfers, usableFractionOf} from './planTransfers.js';
import type {LoadedTarget} from './planTransfers.js';
import {encodeConfiguration} from './reports.js';
import {DEMAND_INTERVAL_MS, ServiceDemandTable} from './serviceDemand.js';
import {ReportOrder} from './reportOrder.js';
import type {ReportedTarget, ReportRequest, ReportResponse} from './reports.js';
import {TransferLedger} from './transferLedger.js';
import {
  evacuationUpdate,
  followsEvacuation,
  isOutOfService,
  lacksEvacuation,
} from './zoneService.js';

export interface SiteControlOptions {
  readonly replica: Replica;
  readonly state: SiteState;
  readonly clock: Clock;
  readonly logger: Logger;
}

interface DaemonSession {
  readonly report: ReportRequest;
  readonly reportedAtMs: number;
}

/** State of one leadership term that is not in the log. */
interface LeadershipTerm {
  readonly term: number;
  readonly startedAtMs: number;
  readonly leases: KeyLeaseTable;
  readonly directory: InstanceDirectory;
  readonly sessions: Map<string, DaemonSession>;
  readonly reportOrder: ReportOrder;
  readonly demand: ServiceDemandTable;
  readonly firstReadyAtMs: Map<string, number>;
  /** Owners whose keys a proposed command reassigns; their leases are not renewed until it is applied. */
  readonly reassigning: Set<string>;
  readonly transfers: TransferLedger;
  readonly poison: PoisonTable;
  /** Directory revision at which the poison table last changed. */
  poisonChangedRevision: number;
}

const RECONCILE_INTERVAL_MS = 100;
/** Time for which an instance stays in the directory without reports, because requests may still reach it. */
const INSTANCE_RETENTION_MS = 20_000;
/** A target whose last report is older gets no new keys. Daemons report every 600 ms. */
const REPORT_MAX_AGE_MS = 1_500;
/** Time between the first ready target of a service and its first assignment, so that more targets can join. */
const FIRST_ASSIGNMENT_DELAY_MS = 2_000;
/** Updates are batched for this time before they are sent, and longer in a large fleet, where each costs more. */
const UPDATE_BATCH_DELAY_MS = 20;
const UPDATE_BATCH_DELAY_PER_DAEMON_MS = 0.25;
/** Maximum number of assignments in a log record; a service has hundreds of ranges. */
const MAX_LOGGED_ASSIGNMENTS = 8;
/** Time after the start of a term until the first transfers, in which the daemons report their loads. */
const FIRST_TRANSFER_DELAY_MS = 1_500;
/** Maximum number of transfers of a plan in the log; a hot stretch is divided among dozens of targets. */
const MAX_LOGGED_TRANSFERS = 8;

/** Control leader: handles daemon reports, the instance directory, key placement and configuration changes. */
export class SiteControl {
  private currentTerm: LeadershipTerm | undefined;
  private readonly tasks: BackgroundTasks;
  private readonly waitingReports = new Set<() => void>();
  private isPlacing = false;
  private isWakeScheduled = false;
  private encodedCache:
    {readonly version: number; readonly bytes: Uint8Array<ArrayBuffer>} | undefined;

  constructor(private readonly opts: SiteControlOptions) {
    const {logger, state, replica} = opts;
    this.tasks = new BackgroundTasks({
      onFailure: (taskName, err) => logger.error({err, taskName}, 'Task failed'),
    });
    state.onChange(() => this.wakeWaitingReports());
    replica.onRoleChange((change) => {
      logger.info({...change}, 'Role changed');
      this.wakeWaitingReports();
    });
  }

  start(): void {
    this.tasks.run('control steps', async (signal) => {
      while (!signal.aborted) {
        await this.opts.clock.sleep(RECONCILE_INTERVAL_MS, {signal});
        this.reconcile();
      }
    });
  }

  async stop(): Promise<void> {
    this.wakeWaitingReports();
    await this.tasks.stop();
  }

  /** @throws MedlarlaneError `NOT_LEADER`. */
  async report(receivedReport: ReportRequest): Promise<ReportResponse> {
    const term = this.requireTerm();
    const report = withKnownStatements(term.directory, receivedReport);
    if (this.isInOrder(term, report)) {
      this.acceptReport(term, report);
      await this.commitReleases(term, report);
    }
    if (!this.hasUpdates(term, report) && report.waitMs > 0) {
      // While demand is wanted, sums are sent as often as they may be.
      const maxWaitMs = term.demand.isWanted ? DEMAND_INTERVAL_MS : KEY_LEASE_MS;
      await this.waitForUpdates(Math.min(report.waitMs, maxWaitMs));
    }
    return this.buildResponse(this.requireTerm(), report);
  }

  /** @throws MedlarlaneError `NOT_LEADER` or `COMMIT_UNKNOWN`. */
  async changeConfiguration(change: ConfigurationChange): Promise<ChangeOutcome> {
    const {replica, logger} = this.opts;
    const command = encodeCommand({kind: 'changeConfiguration', change});
    const {index, result} = await replica.propose(command);
    const {digest, version, baseVersion} = change;
    logger.info({digest, version, baseVersion, index, result}, 'Configuration change decided');
    return result as ChangeOutcome;
  }

  /** @throws MedlarlaneError `NOT_LEADER` or `COMMIT_UNKNOWN`. */
  async changeEvacuation(change: EvacuationChange): Promise<EvacuationOutcome> {
    const {replica, logger, state} = this.opts;
    const command = encodeCommand({kind: 'setEvacuation', ...change});
    const {index, result} = await replica.propose(command);
    const evacuatedZones = [...state.evacuatedZones.keys()];
    logger.info({...change, index, result, evacuatedZones}, 'Evacuation change decided');
    return result as EvacuationOutcome;
  }

  /** Returns the log index of the latest accepted evacuation call. @throws MedlarlaneError `NOT_LEADER`. */
  async readEvacuationCallIndex(): Promise<number> {
    await this.opts.replica.readBarrier({confirm: 'quorum'});
    return this.opts.state.evacuationCallIndex;
  }

  /** Returns the current configuration. @throws MedlarlaneError `NOT_LEADER`. */
  async readConfiguration(): Promise<SiteConfiguration> {
    await this.opts.replica.readBarrier({confirm: 'quorum'});
    return this.opts.state.configuration;
  }

  private requireTerm(): LeadershipTerm {
    const {replica, clock, logger} = this.opts;
    if (!replica.isLeader() || !replica.isLeaderLeaseValid()) {
      this.currentTerm = replica.isLeader() ? this.currentTerm : undefined;
      const {leaderId, members} = replica.status();
      const leaderAddress = leaderId === undefined ? undefined : members.addresses[leaderId];
      const isLeaderKnown = leaderAddress !== undefined && leaderId !== replica.replicaId;
      throw new MedlarlaneError('NOT_LEADER', undefined, {
        details: isLeaderKnown ? {leaderAddress} : {},
      });
    }
    if (this.currentTerm?.term !== replica.term) {
      logger.info({term: replica.term}, 'Leadership term started');
      const sessions = new Map<string, DaemonSession>();
      this.currentTerm = {
        term: replica.term,
        startedAtMs: clock.nowMs(),
        leases: new KeyLeaseTable(clock),
        directory: new InstanceDirectory(),
        sessions,
        reportOrder: new ReportOrder(),
        demand: new ServiceDemandTable(clock, sessions),
        firstReadyAtMs: new Map(),
        reassigning: new Set(),
        transfers: new TransferLedger(clock),
        poison: new PoisonTable({
          reporterId: `leader-${replica.term}`,
          crashThreshold: QUARANTINE_CRASH_THRESHOLD,
          clock,
        }),
        poisonChangedRevision: 0,
      };
    }
    return this.currentTerm;
  }

  private isInOrder(term: LeadershipTerm, report: ReportRequest): boolean {
    if (term.reportOrder.record(report)) return true;
    const {forwardAddress, processId, sequence, target} = report;
    const newest = term.sessions.get(forwardAddress)?.report;
    this.opts.logger.info(
      {
        forwardAddress,
        processId,
        sequence,
        state: target?.state,
        newestProcessId: newest?.processId,
        newestSequence: newest?.sequence,
        newestState: newest?.target?.state,
      },
      'Outdated report ignored',
    );
    return false;
  }

  private acceptReport(term: LeadershipTerm, report: ReportRequest): void {
    const {clock, logger} = this.opts;
    const {forwardAddress, target} = report;
    const previousReport = term.sessions.get(forwardAddress)?.report;
    term.sessions.set(forwardAddress, {report, reportedAtMs: clock.nowMs()});
    term.demand.accept(report);
    for (const incarnation of report.endedLives) term.leases.markEnded(incarnation);
    if (report.poison) {
      term.poison.merge(report.poison);
      term.directory.incrementRevision();
      term.poisonChangedRevision = term.directory.revision;
      logger.info({forwardAddress, entries: term.poison.list()}, 'Target crashes reported');
      this.wakeWaitingReports();
    }
    if (target) this.acceptTarget(term, target, report);
    if (target) this.endFormerIncarnations(term, forwardAddress, target);
    // A daemon that has just started has no heartbeat of its target yet; the directory entry stays.
    if (!target) return;
    const changed = term.directory.put({
      forwardAddress,
      availabilityZone: report.availabilityZone,
      targetId: target.targetId,
      life: target.life,
      service: target.service,
      state: target.state,
      slots: target.slots,
      coldLeftMs: target.coldLeftMs,
      stopping: report.stopping,
      ...(target.rateLimit ? {rateLimitRps: target.rateLimit.rps} : {}),
    });
    if (!changed) return;
    logger.info(
      {
        forwardAddress,
        life: target.life,
        state: target.state,
        before: previousReport?.target?.state,
        rateLimitRps: target.rateLimit?.rps,
      },
      'Directory entry changed',
    );
    this.wakeWaitingReports();
  }

  private acceptTarget(term: LeadershipTerm, target: ReportedTarget, report: ReportRequest): void {
    const {clock} = this.opts;
    // Until a daemon has heard this leader, the previous one may have granted it a lease by its response to
    // a later report.
    const isLastWord = report.leaderTerm === term.term;
    if (this.needsLease(target, report)) term.leases.clearEnded(target.life);
    else if (isLastWord) term.leases.markEnded(target.life);
    if (target.state === 'ready' && !term.firstReadyAtMs.has(target.service)) {
      term.firstReadyAtMs.set(target.service, clock.nowMs());
    }
  }

  /**
   * Only one target at a time runs at a daemon, so a later incarnation proves that an earlier owner at
   * the same daemon has ended, even when the daemon restarted and no longer knows of it.
   */
  private endFormerIncarnations(
    term: LeadershipTerm,
    forwardAddress: string,
    {life}: ReportedTarget,
  ): void {
    for (const [owner, ownerAddress] of this.opts.state.ownerAddresses) {
      if (ownerAddress !== forwardAddress || startTimeMsOf(owner) >= startTimeMsOf(life)) continue;
      if (term.leases.hasEnded(owner)) continue;
      this.opts.logger.info({owner, life, forwardAddress}, 'Former owner ended');
      term.leases.markEnded(owner);
    }
  }

  /** Commits the released ranges with their handover, which the next owner needs. */
  private async commitReleases(
    term: LeadershipTerm,
    {released, target}: ReportRequest,
  ): Promise<void> {
    if (released.length === 0 || !target) return;
    const readyIncarnations = new Set(
      this.readyTargets(term, target.service).map(({life}) => life),
    );
    const assignments = released.map(({life, fromKey, toKey, handover, transferId, epoch}) => {
      const toLife = term.transfers.complete(transferId)?.toLife ?? '';
      const ownerLife = readyIncarnations.has(toLife) ? toLife : '';
      const previous = {previousOwnerLife: life, maxPreviousEpoch: epoch};
      return {fromKey, toKey, ownerLife, handover, ...previous};
    });
    await this.assign(target.service, assignments);
    if (assignments.some(({ownerLife}) => ownerLife === '') && !this.isPlacing) {
      await this.placeKeys(term);
    }
  }

  /** Targets of a service that can be assigned keys. */
  private readyTargets(term: LeadershipTerm, service: string): ReportedTarget[] {
    const nowMs = this.opts.clock.nowMs();
    return [...term.sessions.values()]
      .filter(
        ({report, reportedAtMs}) =>
          report.target?.service === service &&
          report.target.state === 'ready' &&
          !isOutOfService(this.opts.state, report) &&
          !report.stopping &&
          nowMs - reportedAtMs < REPORT_MAX_AGE_MS,
      )
      .map(({report}) => report.target!);
  }

  /** Requests key transfers from overloaded targets. */
  private rebalance(term: LeadershipTerm, service: string): void {
    const {clock, logger} = this.opts;
    term.transfers.removeExpired();
    if (clock.nowMs() - term.startedAtMs < FIRST_TRANSFER_DELAY_MS) return;
    const owners = new Set(this.opts.state.rangesOf(service).map(({ownerLife}) => ownerLife));
    const targets = term.transfers.correctLoads(
      this.readyTargets(term, service).map((target) => ({
        ...target,
        ownsKeys: owners.has(target.life),
      })),
    );
    const planned = planTransfers(targets);
    if (planned.length === 0) return;
    const transfers = planned.map((transfer) => {
      const offeredRps = targets.find(({life}) => life === transfer.fromLife)?.offeredRps ?? 0;
      const movedRps = transfer.share * offeredRps;
      const transferId = term.transfers.add({...transfer, service, movedRps});
      return {transferId, ...transfer, movedRps: Math.round(movedRps)};
    });
    const loadsOf = (lives: readonly string[]): unknown[] =>
      [...new Set(lives)].slice(0, MAX_LOGGED_TRANSFERS).map((life) => loadOf(targets, life));
    logger.info(
      {
        service,
        count: transfers.length,
        transfers: transfers.slice(0, MAX_LOGGED_TRANSFERS),
        from: loadsOf(transfers.map(({fromLife}) => fromLife)),
        to: loadsOf(transfers.map(({toLife}) => toLife)),
      },
      'Key transfers requested',
    );
    this.wakeWaitingReports();
  }

  private async assign(service: string, assignments: KeyAssignment[]): Promise<void> {
    const {replica, logger} = this.opts;
    const ownerAddresses = this.daemonAddressesOf(
      new Set(assignments.map(({ownerLife}) => ownerLife)),
    );
    const command = encodeCommand({
      kind: 'assignKeys',
      service,
      assignments,
      homes: ownerAddresses,
    });
    const {index, result} = await replica.propose(command);
    const loggedAssignments = assignments.slice(0, MAX_LOGGED_ASSIGNMENTS);
    logger.info(
      {service, assignments: loggedAssignments, count: assignments.length, index, changed: result},
      'Keys assigned',
    );
  }

  private daemonAddressesOf(incarnations: ReadonlySet<string>): Record<string, string> {
    const reports = [...(this.currentTerm?.sessions.values() ?? [])].map(({report}) => report);
    return Object.fromEntries(
      reports
        .filter(({target}) => target && incarnations.has(target.life))
        .map(({target, forwardAddress}) => [target!.life, forwardAddress]),
    );
  }

  private hasUpdates(term: LeadershipTerm, report: ReportRequest): boolean {
    return (
      report.leaderTerm !== term.term ||
      report.directoryRevision !== term.directory.revision ||
      report.rangesIndex < this.opts.state.rangesIndex ||
      lacksEvacuation(this.opts.state, report) ||
      report.configVersion !== this.opts.state.configuration.version
    );
  }

  private buildResponse(term: LeadershipTerm, report: ReportRequest): ReportResponse {
    const {replica, state} = this.opts;
    const knownRevision = report.leaderTerm === term.term ? report.directoryRevision : 0;
    // A report that was held or delayed may have been followed by a newer one.
    const newest = term.sessions.get(report.forwardAddress)?.report ?? report;
    const {target} = newest;
    const hasLease =
      target && this.needsLease(target, newest) && !term.reassigning.has(target.life);
    if (hasLease) term.leases.renew(target.life);
    const sums = term.demand.sumsFor(report.forwardAddress);
    return {
      leaderTerm: term.term,
      leaseMs: hasLease ? KEY_LEASE_MS : 0,
      controlAddresses: Object.values(replica.status().members.addresses),
      daemonCount: term.sessions.size,
      ...(state.configuration.version === report.configVersion
        ? {}
        : {configuration: this.encodedConfiguration()}),
      directoryRevision: term.directory.revision,
      ...term.directory.changesSince(knownRevision),
      rangesIndex: state.rangesIndex,
      ranges: state.rangesAssignedSince(report.rangesIndex),
      ...(term.poisonChangedRevision > knownRevision ? {poison: term.poison.export()} : {}),
      ...evacuationUpdate(state, report),
      transfers: term.transfers.requestedFrom(target?.life),
      ...(term.demand.isWanted ? {isDemandWanted: true} : {}),
      ...(sums.length > 0 ? {demand: sums} : {}),
    };
  }

  private reconcile(): void {
    let term: LeadershipTerm;
    try {
      term = this.requireTerm();
    } catch {
      // This replica is not the leader; requireTerm() fails for no other reason.
      return;
    }
    this.removeStaleInstances(term);
    if (!this.isPlacing) void this.placeKeys(term);
  }

  private removeStaleInstances(term: LeadershipTerm): void {
    const nowMs = this.opts.clock.nowMs();
    for (const [forwardAddress, {reportedAtMs}] of term.sessions) {
      if (nowMs - reportedAtMs < INSTANCE_RETENTION_MS) continue;
      term.sessions.delete(forwardAddress);
      term.reportOrder.remove(forwardAddress);
      term.directory.remove(forwardAddress);
      term.demand.remove(forwardAddress);
    }
  }

  private async placeKeys(term: LeadershipTerm): Promise<void> {
    const {state, logger} = this.opts;
    this.isPlacing = true;
    try {
      for (const {name, keyed} of state.configuration.services) {
        if (!keyed || !this.canAssign(term, name)) continue;
        const sessions = [...term.sessions.values()].filter(
          ({report}) => report.target?.service === name,
        );
        const servingIncarnations = new Set(
          sessions
            .filter(
              ({report}) => report.target?.state === 'ready' && !isOutOfService(state, report),
            )
            .map(({report}) => report.target!.life),
        );
        const targets = this.readyTargets(term, name).map((target) => ({
          life: target.life,
          usableFraction: usableFractionOf(target),
        }));
        const {assignments} = planKeys({
          ranges: state.rangesOf(name),
          targets,
          isLeaseExpired: (incarnation) => term.leases.isLeaseExpired(incarnation),
          isServing: (incarnation) =>
            servingIncarnations.has(incarnation) && !term.leases.isLeaseExpired(incarnation),
        });
        if (assignments.length === 0) {
          this.rebalance(term, name);
          continue;
        }
        const previousOwners = assignments.map(({previousOwnerLife}) => previousOwnerLife);
        for (const incarnation of previousOwners) term.reassigning.add(incarnation);
        await this.assign(name, assignments);
        for (const incarnation of previousOwners) term.reassigning.delete(incarnation);
      }
    } catch (thrown) {
      logger.warn({code: toMedlarlaneError(thrown).code}, 'Key placement failed');
    } finally {
      this.isPlacing = false;
    }
  }

  /** Whether the target may hold keys and so needs a lease. */
  private needsLease({state, mayHoldKeys}: ReportedTarget, report: ReportRequest): boolean {
    const acceptsGrants = state === 'ready' && !followsEvacuation(this.opts.state, report);
    return acceptsGrants || (state !== 'ended' && mayHoldKeys);
  }

  private canAssign(term: LeadershipTerm, service: string): boolean {
    if (this.opts.state.hasBeenAssigned(service)) return true;
    const firstAtMs = term.firstReadyAtMs.get(service);
    return (
      firstAtMs !== undefined && this.opts.clock.nowMs() - firstAtMs > FIRST_ASSIGNMENT_DELAY_MS
    );
  }

  private encodedConfiguration(): Uint8Array<ArrayBuffer> {
    const {configuration} = this.opts.state;
    if (this.encodedCache?.version !== configuration.version) {
      this.encodedCache = {
        version: configuration.version,
        bytes: encodeConfiguration(configuration),
      };
    }
    return this.encodedCache.bytes;
  }

  /** Answers the waiting reports after a short delay, so that concurrent changes are sent in one response. */
  private wakeWaitingReports(): void {
    if (this.isWakeScheduled) return;
    this.isWakeScheduled = true;
    const sessions = this.currentTerm?.sessions.size ?? 0;
    setTimeout(
      () => {
        this.isWakeScheduled = false;
        for (const respond of this.waitingReports) respond();
      },
      UPDATE_BATCH_DELAY_MS + UPDATE_BATCH_DELAY_PER_DAEMON_MS * sessions,
    );
  }

  private waitForUpdates(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        this.waitingReports.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      this.waitingReports.add(finish);
    });
  }
}

/**
 * Completes the report of a daemon that was restarted with what an incarnation stated before: it stays
 * `draining`, because it never returns to service, and limited until the daemon hears from it again.
 */
function withKnownStatements(directory: InstanceDirectory, report: ReportRequest): ReportRequest {
  const {target, forwardAddress} = report;
  const known = directory.get(forwardAddress);
  if (!target || known?.life !== target.life) return report;
  const isDraining = known.state === 'draining' && target.state === 'ready';
  const isLimited = known.rateLimitRps !== undefined && target.isRateLimitKnown === false;
  if (!isDraining && !isLimited) return report;
  return {
    ...report,
    target: {
      ...target,
      ...(isDraining ? {state: 'draining'} : {}),
      ...(isLimited ? {rateLimit: {rps: known.rateLimitRps!, ageMs: 0}} : {}),
    },
  };
}

/** Parses the start time of an incarnation, which has the form `targetId/startTimeMs`. */
function startTimeMsOf(incarnation: string): number {
  return Number(incarnation.slice(incarnation.lastIndexOf('/') + 1));
}

function loadOf(targets: readonly LoadedTarget[], incarnation: string): unknown {
  const target = targets.find((other) => other.life === incarnation);
  if (!target) return undefined;
  const {life, offeredRps, meanMs, slots, rateLimit} = target;
  return {life, offeredRps: Math.round(offeredRps), meanMs, slots, rateLimit};
}
