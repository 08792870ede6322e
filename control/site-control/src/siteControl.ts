import type {Replica} from '@medlarlane/consensus';
import {MedlarlaneError, toMedlarlaneError} from '@medlarlane/errors';
import {BackgroundTasks} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';
import type {Logger} from '@medlarlane/logger';
import {QUARANTINE_CRASH_THRESHOLD, PoisonTable} from '@medlarlane/poison';
import type {ConfigurationChange, SiteConfiguration} from '@medlarlane/site-config';
import {encodeCommand} from '@medlarlane/site-state';
import type {ChangeOutcome, KeyAssignment, SiteState} from '@medlarlane/site-state';
import {InstanceDirectory} from './directory.js';
import {KEY_LEASE_MS, KeyLeaseTable} from './leaseLedger.js';
import {planKeys} from './planKeys.js';
import {planTransfers} from './planTransfers.js';
import type {Transfer} from './planTransfers.js';
import {encodeConfiguration} from './reports.js';
import type {ReportedTarget, ReportRequest, ReportResponse} from './reports.js';

export interface SiteControlOptions {
  readonly replica: Replica;
  readonly state: SiteState;
  readonly clock: Clock;
  readonly logger: Logger;
}

interface Session {
  readonly report: ReportRequest;
  readonly reportedAtMs: number;
}

/** Everything that one term of leadership knows besides the log. */
interface Term {
  readonly term: number;
  readonly startedAtMs: number;
  readonly leases: KeyLeaseTable;
  readonly directory: InstanceDirectory;
  readonly sessions: Map<string, Session>;
  readonly firstTargetAtMs: Map<string, number>;
  /** Lives whose keys a proposed command gives away; they get no lease until it is applied. */
  readonly taking: Set<string>;
  readonly transfers: Map<number, PendingTransfer>;
  readonly poison: PoisonTable;
  /** Revision of the directory at which the poison table last changed. */
  poisonRevision: number;
  /** When the keys of a service were last rebalanced. */
  readonly rebalancedAtMs: Map<string, number>;
}

interface PendingTransfer extends Transfer {
  readonly service: string;
  readonly startedAtMs: number;
}

const STEP_MS = 100;
/** An instance whose daemon is silent stays in the directory, because requests may still reach it. */
const KEEP_SILENT_INSTANCE_MS = 20_000;
/** A target whose daemon reported less recently gets no new keys; daemons report every 600 ms. */
const RECENT_REPORT_MS = 1_500;
/** Before the first assignment of a service its targets have this time to appear. */
const FIRST_ASSIGNMENT_DELAY_MS = 2_000;
/** A transfer takes up to two heartbeats of the target; after this time it is given up. */
const TRANSFER_TIMEOUT_MS = 4_000;
/** News is gathered for this time before it is sent, and longer in a large fleet, where each costs more. */
const NEWS_DELAY_MS = 20;
const NEWS_DELAY_PER_DAEMON_MS = 0.25;
/** Assignments that a log line names; a service has hundreds of ranges. */
const LOGGED_ASSIGNMENTS = 8;
/** Loads are measured anew for this time after keys have moved. */
const REBALANCE_PAUSE_MS = 1_500;

/** The leader's work: sessions of daemons, the directory, key placement and configuration changes. */
export class SiteControl {
  private current: Term | undefined;
  private readonly tasks: BackgroundTasks;
  private readonly waiters = new Set<() => void>();
  private placing = false;
  private waking = false;
  private encoded: {readonly version: number; readonly bytes: Uint8Array<ArrayBuffer>} | undefined;
  private lastTransferId = 0;

  constructor(private readonly opts: SiteControlOptions) {
    const {logger, state, replica} = opts;
    this.tasks = new BackgroundTasks({
      onFailure: (taskName, err) => logger.error({err, taskName}, 'Task failed'),
    });
    state.onChange(() => this.wake());
    replica.onRoleChange((change) => {
      logger.info({...change}, 'Role changed');
      this.wake();
    });
  }

  start(): void {
    this.tasks.run('control steps', async (signal) => {
      while (!signal.aborted) {
        await this.opts.clock.sleep(STEP_MS, {signal});
        this.step();
      }
    });
  }

  async stop(): Promise<void> {
    this.wake();
    await this.tasks.stop();
  }

  /** @throws MedlarlaneError `NOT_LEADER`. */
  async report(report: ReportRequest): Promise<ReportResponse> {
    const term = this.requireTerm();
    this.acceptReport(term, report);
    await this.release(term, report);
    if (!this.hasNews(term, report) && report.waitMs > 0) {
      await this.waitForNews(Math.min(report.waitMs, KEY_LEASE_MS));
    }
    return this.answer(this.requireTerm(), report);
  }

  /** @throws MedlarlaneError `NOT_LEADER` or `COMMIT_UNKNOWN`. */
  async changeConfiguration(change: ConfigurationChange): Promise<ChangeOutcome> {
    const {replica, logger} = this.opts;
    const command = encodeCommand({kind: 'changeConfiguration', change});
    const {index, result} = await replica.propose(command);
    const {digest, version, baseVersion} = change;
    logger.info({digest, version, baseVersion, index, result}, 'Decided a configuration change');
    return result as ChangeOutcome;
  }

  /** The newest configuration. @throws MedlarlaneError `NOT_LEADER`. */
  async readConfiguration(): Promise<SiteConfiguration> {
    await this.opts.replica.readBarrier({confirm: 'quorum'});
    return this.opts.state.configuration;
  }

  private requireTerm(): Term {
    const {replica, clock, logger} = this.opts;
    if (!replica.isLeader() || !replica.isLeaderLeaseValid()) {
      this.current = replica.isLeader() ? this.current : undefined;
      const {leaderId, members} = replica.status();
      const leaderAddress = leaderId === undefined ? undefined : members.addresses[leaderId];
      const known = leaderAddress !== undefined && leaderId !== replica.replicaId;
      throw new MedlarlaneError('NOT_LEADER', undefined, {details: known ? {leaderAddress} : {}});
    }
    if (this.current?.term !== replica.term) {
      logger.info({term: replica.term}, 'Started to lead');
      this.current = {
        term: replica.term,
        startedAtMs: clock.nowMs(),
        leases: new KeyLeaseTable(clock),
        directory: new InstanceDirectory(),
        sessions: new Map(),
        firstTargetAtMs: new Map(),
        taking: new Set(),
        transfers: new Map(),
        poison: new PoisonTable({
          reporterId: `leader-${replica.term}`,
          crashThreshold: QUARANTINE_CRASH_THRESHOLD,
          clock,
        }),
        poisonRevision: 0,
        rebalancedAtMs: new Map(),
      };
    }
    return this.current;
  }

  private acceptReport(term: Term, report: ReportRequest): void {
    const {clock, logger} = this.opts;
    const {forwardAddress, target} = report;
    const before = term.sessions.get(forwardAddress)?.report;
    term.sessions.set(forwardAddress, {report, reportedAtMs: clock.nowMs()});
    for (const life of report.endedLives) term.leases.end(life);
    if (report.poison) {
      term.poison.merge(report.poison);
      term.directory.touch();
      term.poisonRevision = term.directory.revision;
      logger.info({forwardAddress, entries: term.poison.list()}, 'Heard of crashed targets');
      this.wake();
    }
    if (target) this.acceptTarget(term, target);
    if (target) this.endFormerLives(term, forwardAddress, target);
    // A daemon that has just started has not heard from its target yet; the target goes on.
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
    });
    if (!changed) return;
    logger.info(
      {forwardAddress, life: target.life, state: target.state, before: before?.target?.state},
      'Directory entry changed',
    );
    this.wake();
  }

  private acceptTarget(term: Term, target: ReportedTarget): void {
    const {clock} = this.opts;
    if (!isLeasable(target)) term.leases.end(target.life);
    else term.leases.revive(target.life);
    if (target.state === 'ready' && !term.firstTargetAtMs.has(target.service)) {
      term.firstTargetAtMs.set(target.service, clock.nowMs());
    }
  }

  /**
   * One target at a time listens beside a daemon, so that a later life proves the end of an owner that
   * was there before, also when the daemon that knew it has lost its memory with it.
   */
  private endFormerLives(term: Term, forwardAddress: string, {life}: ReportedTarget): void {
    for (const [owner, home] of this.opts.state.ownerAddresses) {
      if (home !== forwardAddress || bornMsOf(owner) >= bornMsOf(life)) continue;
      if (term.leases.hasEnded(owner)) continue;
      this.opts.logger.info({owner, life, forwardAddress}, 'Owner ended before this life began');
      term.leases.end(owner);
    }
  }

  /** Commits what the target gave back, so that its next owner gets the handover. */
  private async release(term: Term, {released, target}: ReportRequest): Promise<void> {
    if (released.length === 0 || !target) return;
    const ready = new Set(this.readyTargets(term, target.service).map(({life}) => life));
    const assignments = released.map(({life, fromKey, toKey, handover, transferId}) => {
      const toLife = term.transfers.get(transferId)?.toLife ?? '';
      term.transfers.delete(transferId);
      const ownerLife = ready.has(toLife) ? toLife : '';
      return {fromKey, toKey, ownerLife, handover, previousOwnerLife: life};
    });
    await this.assign(target.service, assignments);
    term.rebalancedAtMs.set(target.service, this.opts.clock.nowMs());
    if (assignments.some(({ownerLife}) => ownerLife === '') && !this.placing) {
      await this.placeKeys(term);
    }
  }

  /** Targets of a service that may get keys. */
  private readyTargets(term: Term, service: string): ReportedTarget[] {
    const nowMs = this.opts.clock.nowMs();
    return [...term.sessions.values()]
      .filter(
        ({report, reportedAtMs}) =>
          report.target?.service === service &&
          report.target.state === 'ready' &&
          !report.stopping &&
          nowMs - reportedAtMs < RECENT_REPORT_MS,
      )
      .map(({report}) => report.target!);
  }

  /** Asks targets with more than their part of the load to give keys away. */
  private rebalance(term: Term, service: string): void {
    const {clock, logger} = this.opts;
    const nowMs = clock.nowMs();
    for (const [transferId, {startedAtMs}] of term.transfers) {
      if (nowMs - startedAtMs > TRANSFER_TIMEOUT_MS) term.transfers.delete(transferId);
    }
    const pending = [...term.transfers.values()].some((transfer) => transfer.service === service);
    const pausedMs = nowMs - (term.rebalancedAtMs.get(service) ?? term.startedAtMs);
    if (pending || pausedMs < REBALANCE_PAUSE_MS) return;
    const owners = new Set(this.opts.state.rangesOf(service).map(({ownerLife}) => ownerLife));
    const targets = this.readyTargets(term, service).map((target) => ({
      ...target,
      ownsKeys: owners.has(target.life),
    }));
    for (const transfer of planTransfers(targets)) {
      this.lastTransferId += 1;
      term.transfers.set(this.lastTransferId, {...transfer, service, startedAtMs: nowMs});
      logger.info(
        {
          transferId: this.lastTransferId,
          ...transfer,
          service,
          from: loadOf(targets, transfer.fromLife),
          to: loadOf(targets, transfer.toLife),
        },
        'Asked for keys',
      );
      this.wake();
    }
  }

  private async assign(service: string, assignments: KeyAssignment[]): Promise<void> {
    const {replica, logger} = this.opts;
    const homes = this.homesOf(new Set(assignments.map(({ownerLife}) => ownerLife)));
    const command = encodeCommand({kind: 'assignKeys', service, assignments, homes});
    const {index, result} = await replica.propose(command);
    const named = assignments.slice(0, LOGGED_ASSIGNMENTS);
    logger.info(
      {service, assignments: named, count: assignments.length, index, changed: result},
      'Assigned keys',
    );
  }

  private homesOf(lives: ReadonlySet<string>): Record<string, string> {
    const reports = [...(this.current?.sessions.values() ?? [])].map(({report}) => report);
    return Object.fromEntries(
      reports
        .filter(({target}) => target && lives.has(target.life))
        .map(({target, forwardAddress}) => [target!.life, forwardAddress]),
    );
  }

  private hasNews(term: Term, report: ReportRequest): boolean {
    return (
      report.leaderTerm !== term.term ||
      report.directoryRevision !== term.directory.revision ||
      report.rangesIndex < this.opts.state.rangesIndex ||
      report.configVersion !== this.opts.state.configuration.version
    );
  }

  private answer(term: Term, report: ReportRequest): ReportResponse {
    const {replica, state} = this.opts;
    const known = report.leaderTerm === term.term ? report.directoryRevision : 0;
    const {target} = report;
    const leased = target && isLeasable(target) && !term.taking.has(target.life);
    if (leased) term.leases.renew(target.life);
    return {
      leaderTerm: term.term,
      leaseMs: leased ? KEY_LEASE_MS : 0,
      controlAddresses: Object.values(replica.status().members.addresses),
      daemonCount: term.sessions.size,
      ...(state.configuration.version === report.configVersion
        ? {}
        : {configuration: this.encodedConfiguration()}),
      directoryRevision: term.directory.revision,
      ...term.directory.since(known),
      rangesIndex: state.rangesIndex,
      ranges: state.rangesSince(report.rangesIndex),
      ...(term.poisonRevision > known ? {poison: term.poison.export()} : {}),
      transfers: [...term.transfers]
        .filter(([, {fromLife}]) => fromLife === target?.life)
        .map(([transferId, {share}]) => ({transferId, share})),
    };
  }

  private step(): void {
    let term: Term;
    try {
      term = this.requireTerm();
    } catch {
      // Not the leader; the failure says nothing else.
      return;
    }
    this.forgetSilent(term);
    if (!this.placing) void this.placeKeys(term);
  }

  private forgetSilent(term: Term): void {
    const nowMs = this.opts.clock.nowMs();
    for (const [forwardAddress, {reportedAtMs}] of term.sessions) {
      if (nowMs - reportedAtMs < KEEP_SILENT_INSTANCE_MS) continue;
      term.sessions.delete(forwardAddress);
      term.directory.remove(forwardAddress);
    }
  }

  private async placeKeys(term: Term): Promise<void> {
    const {state, logger} = this.opts;
    this.placing = true;
    try {
      for (const {name, keyed} of state.configuration.services) {
        if (!keyed || !this.mayAssign(term, name)) continue;
        const sessions = [...term.sessions.values()].filter(
          ({report}) => report.target?.service === name,
        );
        const serving = new Set(
          sessions
            .filter(({report}) => report.target?.state === 'ready')
            .map(({report}) => report.target!.life),
        );
        const targets = this.readyTargets(term, name);
        const {assignments} = planKeys({
          ranges: state.rangesOf(name),
          targets,
          isLeaseExpired: (life) => term.leases.isLeaseExpired(life),
          isServing: (life) => serving.has(life) && !term.leases.isLeaseExpired(life),
        });
        if (assignments.length === 0) {
          this.rebalance(term, name);
          continue;
        }
        const losers = assignments.map(({previousOwnerLife}) => previousOwnerLife);
        for (const life of losers) term.taking.add(life);
        await this.assign(name, assignments);
        for (const life of losers) term.taking.delete(life);
      }
    } catch (thrown) {
      logger.warn({code: toMedlarlaneError(thrown).code}, 'Key placement failed');
    } finally {
      this.placing = false;
    }
  }

  private mayAssign(term: Term, service: string): boolean {
    if (this.opts.state.hasBeenAssigned(service)) return true;
    const firstAtMs = term.firstTargetAtMs.get(service);
    return (
      firstAtMs !== undefined && this.opts.clock.nowMs() - firstAtMs > FIRST_ASSIGNMENT_DELAY_MS
    );
  }

  private encodedConfiguration(): Uint8Array<ArrayBuffer> {
    const {configuration} = this.opts.state;
    if (this.encoded?.version !== configuration.version) {
      this.encoded = {version: configuration.version, bytes: encodeConfiguration(configuration)};
    }
    return this.encoded.bytes;
  }

  /** Answers the waiting reports shortly, so that changes that come together are sent together. */
  private wake(): void {
    if (this.waking) return;
    this.waking = true;
    const sessions = this.current?.sessions.size ?? 0;
    setTimeout(
      () => {
        this.waking = false;
        for (const waiter of this.waiters) waiter();
      },
      NEWS_DELAY_MS + NEWS_DELAY_PER_DAEMON_MS * sessions,
    );
  }

  private waitForNews(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const done = (): void => {
        clearTimeout(timer);
        this.waiters.delete(done);
        resolve();
      };
      const timer = setTimeout(done, waitMs);
      this.waiters.add(done);
    });
  }
}

/** A life is named by the id of its target and the time of its start. */
function bornMsOf(life: string): number {
  return Number(life.slice(life.lastIndexOf('/') + 1));
}

function loadOf(targets: readonly ReportedTarget[], life: string): unknown {
  const target = targets.find((other) => other.life === life);
  return target && {offeredRps: target.offeredRps, meanMs: target.meanMs, slots: target.slots};
}

/** Whether the target may hold keys under the daemon's lease. */
function isLeasable({state, mayHoldKeys}: ReportedTarget): boolean {
  return state === 'ready' || (state !== 'ended' && mayHoldKeys);
}
