import {MedlarlaneError, toMedlarlaneError} from '@medlarlane/errors';
import {BackgroundTasks} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';
import {createComponentLogger, silentLogger} from '@medlarlane/logger';
import type {Logger} from '@medlarlane/logger';
import type {LogBatch, LogEntry, LogStore, MemberSet, Snapshot} from '@medlarlane/log-store';
import {ConditionVariable} from './conditionVariable.js';
import type {
  AppendRequest,
  AppendResponse,
  ConsensusRequest,
  ConsensusResponse,
  ConsensusTransport,
  InstallSnapshotRequest,
  InstallSnapshotResponse,
  ResponseTo,
  VoteRequest,
  VoteResponse,
} from './consensusMessages.js';
import {Leadership} from './leadership.js';
import type {
  CommittedCommand,
  LeaderContext,
  PeerStatus,
  ReadBarrierOptions,
} from './leadership.js';
import {quorumSize} from './memberChange.js';
import type {MemberChange} from './memberChange.js';
import {encodeMembers, ReplicaLog} from './replicaLog.js';
import {DEFAULT_TIMINGS} from './timings.js';
import type {ReplicaTimings} from './timings.js';

/**
 * The replicated state machine. Applying the same commands must give the same state and results.
 */
export interface StateMachine {
  /** Applies a command entry and returns its result. */
  apply(entry: LogEntry): unknown;
  snapshot(): Uint8Array;
  restore(payload: Uint8Array): void;
}

export interface StartReplicaOptions {
  readonly replicaId: string;
  /** The caller owns the store: closing the replica does not close it. */
  readonly store: LogStore;
  readonly transport: ConsensusTransport;
  readonly clock: Clock;
  /** Initial members of a new group, equal on all of them; ignored when the log is not empty. */
  readonly bootstrap?: MemberSet;
  readonly stateMachine: StateMachine;
  readonly timings?: Partial<ReplicaTimings>;
  /** Number of applied entries after which a snapshot is saved and the log is compacted. */
  readonly snapshotIntervalEntries?: number;
  /**
   * Size of the applied entries after which a snapshot is saved, or the size of the last snapshot if that is
   * larger. Bounds the memory of the log and of its recovery where entries are large.
   */
  readonly snapshotIntervalBytes?: number;
  readonly logger?: Logger;
  /** Returns random numbers in [0, 1) for the election timeout. */
  readonly random?: () => number;
}

export type ReplicaRole = 'follower' | 'candidate' | 'leader';

export interface RoleChange {
  readonly role: ReplicaRole;
  readonly term: number;
  readonly leaderId?: string;
  /** Whether the replica is the leader and has applied the no-op entry of its term. */
  readonly ready: boolean;
}

export interface ReplicaStatus {
  readonly replicaId: string;
  readonly role: ReplicaRole;
  readonly term: number;
  readonly leaderId?: string;
  readonly commitIndex: number;
  readonly appliedIndex: number;
  readonly lastIndex: number;
  readonly members: MemberSet;
  /**
   * Whether this replica leads, or has heard from a leader within the maximum election timeout. A replica that
   * has just started counts as in contact for that time.
   */
  readonly hasLeaderContact: boolean;
  /** The reason why this replica cannot write its log. */
  readonly failure?: MedlarlaneError;
  /** Set only on the leader. */
  readonly peers?: Readonly<Record<string, PeerStatus>>;
  /** Number of voters that can fail now without loss of data or service. Set only on the leader. */
  readonly lossesTolerated?: number;
}

export interface Replica {
  readonly replicaId: string;
  readonly term: number;
  readonly leaderId: string | undefined;
  readonly commitIndex: number;
  readonly appliedIndex: number;
  /**
   * Resolves once the command is committed and applied on this replica.
   * @throws MedlarlaneError `NOT_LEADER` when the command was not appended; its details contain
   * `leaderId` and `leaderAddress` when known. `COMMIT_UNKNOWN` when the outcome is unknown.
   */
  propose(command: Uint8Array): Promise<CommittedCommand>;
  /** Resolves once reads of the state machine reflect all entries committed before the call. */
  readBarrier(opts?: ReadBarrierOptions): Promise<void>;
  handle(request: ConsensusRequest): Promise<ConsensusResponse>;
  /** Whether this replica is the leader and has applied the no-op entry of its term. */
  isLeader(): boolean;
  /** Whether the leader lease is valid, so that no other leader can have been elected. */
  isLeaderLeaseValid(): boolean;
  status(): ReplicaStatus;
  /**
   * Resolves once the change is committed.
   * @throws MedlarlaneError `NOT_LEADER`, `MEMBER_CHANGE_PENDING`, `REPLICA_BEHIND`,
   * `REQUEST_INVALID` or `COMMIT_UNKNOWN`.
   */
  changeMembers(change: MemberChange): Promise<void>;
  /** Calls the listener after each change; returns a function that removes the listener. */
  onRoleChange(listener: (change: RoleChange) => void): () => void;
  close(): Promise<void>;
}

/** Starts a replica of the replicated log on an open store. */
export function startReplica(opts: StartReplicaOptions): Replica {
  const replica = new ReplicaNode(opts);
  replica.start();
  return replica;
}

const DEFAULT_SNAPSHOT_INTERVAL_ENTRIES = 10_000;
const DEFAULT_SNAPSHOT_INTERVAL_BYTES = 4_194_304;
// Lets a replica that missed a few entries catch up without a snapshot transfer.
const RETAINED_ENTRIES = 1_000;
const RETAINED_BYTES = 4_194_304;
const MAX_APPLIES_PER_TURN = 256;

class ReplicaNode implements Replica, LeaderContext {
  readonly replicaId: string;
  readonly clock: Clock;
  readonly timings: ReplicaTimings;
  readonly log: ReplicaLog;
  term: number;
  leaderId: string | undefined;
  commitIndex = 0;
  appliedIndex = 0;
  private role: ReplicaRole = 'follower';
  private votedFor: string;
  /**
   * Set while the log may lack entries that were acknowledged from a lost disk; see `canGrantVote`.
   */
  private catchingUp: boolean;
  private leadership: Leadership | undefined;
  private readonly startedAtMs: number;
  private lastLeaderContactMs = -Infinity;
  private electionDueMs = 0;
  private lastWrite: Promise<void> = Promise.resolve();
  /** Last index that is known to be on disk. */
  private durableIndex: number;
  private replacementCount = 0;
  /** Set while a snapshot from the leader is in memory but not yet on disk. */
  private snapshotInstallation: Promise<boolean> | undefined;
  /** Set when a task failed because of an internal error. */
  private hasFailedTask = false;
  private isSavingSnapshot = false;
  /** Size of the entries that were applied since the last snapshot. */
  private unsnapshottedBytes = 0;
  private readonly commitIndexAdvanced = new ConditionVariable();
  private readonly electionTimerReset = new ConditionVariable();
  private readonly listeners = new Set<(change: RoleChange) => void>();
  private readonly tasks: BackgroundTasks;
  private readonly logger: Logger;

  constructor(private readonly opts: StartReplicaOptions) {
    const {hardState, snapshot, entries} = opts.store.recovered;
    this.replicaId = opts.replicaId;
    this.clock = opts.clock;
    this.timings = {...DEFAULT_TIMINGS, ...opts.timings};
    this.logger = createComponentLogger('consensus', opts.logger ?? silentLogger);
    this.tasks = new BackgroundTasks({
      onFailure: (name, failure) => this.handleTaskFailure(name, failure),
    });
    this.term = hardState.term;
    this.votedFor = hardState.votedFor;
    this.log = new ReplicaLog(snapshot, entries);
    this.durableIndex = this.log.lastIndex;
    this.catchingUp = hardState.catchingUp ?? (this.log.lastIndex === 0 && this.term === 0);
    this.startedAtMs = this.clock.nowMs();
    if (snapshot) {
      opts.stateMachine.restore(snapshot.payload);
      this.commitIndex = this.appliedIndex = snapshot.index;
    }
  }

  start(): void {
    if (this.opts.bootstrap && this.log.lastIndex === 0 && this.term === 0) {
      this.bootstrap(this.opts.bootstrap);
    }
    this.resetElectionTimer();
    this.tasks.run('apply', (signal) => this.applyCommitted(signal));
    this.tasks.run('election', (signal) => this.runElections(signal));
  }

  async propose(command: Uint8Array): Promise<CommittedCommand> {
    return this.requireLeadership().propose(command);
  }

  async readBarrier(opts?: ReadBarrierOptions): Promise<void> {
    return this.requireLeadership().readBarrier(opts);
  }

  async changeMembers(change: MemberChange): Promise<void> {
    return this.requireLeadership().changeMembers(change);
  }

  handle(request: ConsensusRequest): Promise<ConsensusResponse> {
    switch (request.kind) {
      case 'vote':
        return this.handleVote(request);
      case 'append':
        return this.handleAppend(request);
      case 'installSnapshot':
        return this.handleInstallSnapshot(request);
    }
  }

  isLeader(): boolean {
    return this.leadership !== undefined && this.appliedIndex >= this.leadership.noopIndex;
  }

  isLeaderLeaseValid(): boolean {
    return this.leadership?.isLeaseValid() ?? false;
  }

  status(): ReplicaStatus {
    const {replicaId, role, term, commitIndex, appliedIndex, log, leadership} = this;
    const {failure} = this.opts.store;
    return {
      replicaId,
      role,
      term,
      commitIndex,
      appliedIndex,
      lastIndex: log.lastIndex,
      members: log.members,
      hasLeaderContact: this.hasLeaderContact(),
      ...(this.leaderId === undefined ? {} : {leaderId: this.leaderId}),
      ...(failure ? {failure} : {}),
      ...(leadership
        ? {peers: leadership.peerStatus(), lossesTolerated: leadership.lossesTolerated()}
        : {}),
    };
  }

  onRoleChange(listener: (change: RoleChange) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  async close(): Promise<void> {
    this.endLeadership();
    this.listeners.clear();
    await this.tasks.stop();
  }

  // Used by the leader's tasks.

  async call<R extends ConsensusRequest>(
    peerId: string,
    address: string,
    request: R,
    {timeoutMs, signal}: {timeoutMs: number; signal: AbortSignal},
  ): Promise<ResponseTo<R>> {
    const abort = new AbortController();
    const stop = (): void => abort.abort(signal.reason);
    signal.addEventListener('abort', stop, {once: true});
    if (signal.aborted) stop();
    try {
      const timeout = this.clock.sleep(timeoutMs, {signal: abort.signal}).then(() => {
        throw new Error(`Replica ${peerId} did not respond within ${timeoutMs} ms`);
      });
      const peerCall = this.opts.transport.call(peerId, address, request, abort.signal);
      const response = await Promise.race([peerCall, timeout]);
      if (response.kind !== request.kind) throw new Error('Unexpected response kind');
      return response as ResponseTo<R>;
    } finally {
      abort.abort();
      signal.removeEventListener('abort', stop);
    }
  }

  write(batch: LogBatch): Promise<void> {
    const {lastIndex} = this.log;
    if (batch.truncateFrom !== undefined) this.lowerDurableIndex(batch.truncateFrom - 1);
    const {replacementCount} = this;
    const written = this.opts.store.append(batch).then(
      () => {
        if (replacementCount !== this.replacementCount) return;
        this.durableIndex = Math.max(this.durableIndex, lastIndex);
      },
      (failure: unknown) => {
        this.handleLogFailure();
        throw failure;
      },
    );
    written.catch(() => undefined);
    this.lastWrite = written;
    return written;
  }

  /**
   * Called when entries after `lastIndex` were replaced in memory. Writes in progress no longer
   * make these indexes durable.
   */
  private lowerDurableIndex(lastIndex: number): void {
    this.replacementCount++;
    this.durableIndex = Math.min(this.durableIndex, lastIndex);
  }

  commit(index: number): void {
    if (index <= this.commitIndex) return;
    this.commitIndex = index;
    this.commitIndexAdvanced.notifyAll();
    this.leadership?.handleCommitAdvanced();
  }

  becomeFollower(term: number, leaderId?: string): void {
    const before = this.roleState();
    if (term > this.term) {
      this.term = term;
      // The leader of the term already has its votes, so this replica must not vote for another
      // one.
      this.votedFor = leaderId ?? '';
      this.leaderId = undefined;
      void this.writeHardState().catch(() => undefined);
    }
    if (this.role === 'leader') this.leaderId = undefined;
    this.leaderId = leaderId ?? this.leaderId;
    this.endLeadership();
    this.role = 'follower';
    this.notifyRoleChange(before);
  }

  handleTaskFailure(taskName: string, failure: unknown): void {
    this.logger.error({err: failure, taskName}, 'Task failed');
    if (this.leadership) this.becomeFollower(this.term);
  }

  // Bootstrap and log.

  private bootstrap(members: MemberSet): void {
    const sorted: MemberSet = {
      voters: [...members.voters].sort(),
      learners: [...members.learners].sort(),
      addresses: Object.fromEntries(Object.entries(members.addresses).sort()),
    };
    const first: LogEntry = {
      index: BOOTSTRAP_INDEX,
      term: 1,
      kind: 'members',
      payload: encodeMembers(sorted),
    };
    this.term = 1;
    this.log.append([first]);
    void this.write({hardState: this.hardState(), entries: [first]}).catch(() => undefined);
  }

  private hardState(): {term: number; votedFor: string; catchingUp?: boolean} {
    const {term, votedFor, catchingUp} = this;
    return {term, votedFor, ...(catchingUp ? {catchingUp} : {})};
  }

  private writeHardState(): Promise<void> {
    return this.write({hardState: this.hardState(), entries: []});
  }

  private handleLogFailure(): void {
    this.logger.error({err: this.opts.store.failure}, 'Log cannot be written');
    if (this.role !== 'follower') this.becomeFollower(this.term);
  }

  // Elections.

  private async runElections(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const waitMs = this.electionDueMs - this.clock.nowMs();
      if (waitMs > 0 || this.role === 'leader') {
        const maxWaitMs = waitMs > 0 ? waitMs : this.timings.electionTimeoutMaxMs;
        await this.electionTimerReset.waitFor(this.clock, maxWaitMs, signal);
        continue;
      }
      this.resetElectionTimer();
      if (this.canStartElection()) await this.runElection(signal);
    }
  }

  private resetElectionTimer(): void {
    const {electionTimeoutMinMs: electionMinMs, electionTimeoutMaxMs: electionMaxMs} = this.timings;
    const random = this.opts.random ?? Math.random;
    this.electionDueMs =
      this.clock.nowMs() + electionMinMs + random() * (electionMaxMs - electionMinMs);
  }

  private canStartElection(): boolean {
    const {voters} = this.log.members;
    return (
      !this.hasFailedTask &&
      voters.includes(this.replicaId) &&
      !this.shouldRefuseVotes() &&
      this.canGrantVote(this.log.lastIndex)
    );
  }

  /** Runs a pre-vote first, so that a replica that cannot win does not increase the term. */
  private async runElection(signal: AbortSignal): Promise<void> {
    const term = this.term + 1;
    const {voters, learners} = this.log.members;
    if (!(await this.requestVotes(term, true, signal))) return;
    if (this.role === 'leader' || this.term + 1 !== term || !this.canStartElection()) return;
    const before = this.roleState();
    this.term = term;
    this.votedFor = this.replicaId;
    this.leaderId = undefined;
    this.role = 'candidate';
    this.notifyRoleChange(before);
    this.logger.info({term, voters, learners}, 'Starting an election');
    try {
      await this.writeHardState();
    } catch {
      return;
    }
    if (!(await this.requestVotes(term, false, signal))) return;
    if (signal.aborted || this.term !== term || this.role !== 'candidate') return;
    this.becomeLeader();
  }

  private requestVotes(term: number, preVote: boolean, signal: AbortSignal): Promise<boolean> {
    const {members, lastIndex, lastTerm} = this.log;
    const request: VoteRequest = {
      kind: 'vote',
      term,
      candidateId: this.replicaId,
      lastLogIndex: lastIndex,
      lastLogTerm: lastTerm,
      preVote,
    };
    const requiredVotes = quorumSize(members);
    const others = members.voters.filter((id) => id !== this.replicaId);
    let grantedVotes = 1;
    return new Promise((resolve) => {
      if (grantedVotes >= requiredVotes) return resolve(true);
      const requestVote = async (peerId: string): Promise<void> => {
        const address = members.addresses[peerId] ?? '';
        const timeoutMs = this.timings.callTimeoutMs;
        const response = await this.call(peerId, address, request, {timeoutMs, signal});
        if (response.granted && ++grantedVotes >= requiredVotes) resolve(true);
        else if (response.term > this.term) this.becomeFollower(response.term);
      };
      const voteRequests = others.map((peerId) => requestVote(peerId).catch(() => undefined));
      void Promise.all(voteRequests).then(() => resolve(false));
    });
  }

  private becomeLeader(): void {
    const before = this.roleState();
    this.logger.info({term: this.term}, 'Elected as leader');
    this.role = 'leader';
    this.leaderId = this.replicaId;
    if (this.catchingUp) {
      this.catchingUp = false;
      void this.writeHardState().catch(() => undefined);
    }
    this.leadership = new Leadership(this, this.term);
    this.leadership.start();
    this.notifyRoleChange(before);
  }

  private endLeadership(): void {
    const {leadership} = this;
    this.leadership = undefined;
    if (!leadership) return;
    this.logger.info({term: leadership.term}, 'Stepped down as leader');
    leadership.stop(this.notLeader());
    this.resetElectionTimer();
    this.electionTimerReset.notifyAll();
  }

  private async handleVote(request: VoteRequest): Promise<VoteResponse> {
    const respond = (granted: boolean): VoteResponse => ({kind: 'vote', term: this.term, granted});
    // The term is not adopted either, so that a replica that was partitioned cannot depose a
    // working leader.
    if (this.shouldRefuseVotes()) return respond(false);
    const {lastTerm, lastIndex} = this.log;
    const isUpToDate =
      request.lastLogTerm > lastTerm ||
      (request.lastLogTerm === lastTerm && request.lastLogIndex >= lastIndex);
    const isEligible = isUpToDate && this.canGrantVote(request.lastLogIndex);
    if (request.preVote) return respond(isEligible && request.term > this.term);
    if (request.term > this.term) this.becomeFollower(request.term);
    const isVoteAvailable = this.votedFor === '' || this.votedFor === request.candidateId;
    if (!isEligible || request.term < this.term || !isVoteAvailable) return respond(false);
    if (this.votedFor === '') {
      this.votedFor = request.candidateId;
      void this.writeHardState().catch(() => undefined);
    }
    this.resetElectionTimer();
    try {
      await this.lastWrite;
    } catch {
      return respond(false);
    }
    return {kind: 'vote', term: request.term, granted: this.term === request.term};
  }

  private shouldRefuseVotes(): boolean {
    const {voteRefusalMs} = this.timings;
    const nowMs = this.clock.nowMs();
    return (
      this.opts.store.failure !== undefined ||
      nowMs - this.startedAtMs < voteRefusalMs ||
      nowMs - this.lastLeaderContactMs < voteRefusalMs ||
      this.isLeaderLeaseValid()
    );
  }

  /**
   * A replica that started with an empty folder may have lost entries that it acknowledged. Until
   * it has caught up with a leader, it votes only in a new group: both its own log and the
   * candidate's may hold nothing but the bootstrap entry.
   */
  private canGrantVote(candidateLastIndex: number): boolean {
    if (this.log.lastIndex === 0) return false;
    return (
      !this.catchingUp ||
      (this.log.lastIndex === BOOTSTRAP_INDEX && candidateLastIndex === BOOTSTRAP_INDEX)
    );
  }

  // Follower.

  private async handleAppend(request: AppendRequest): Promise<AppendResponse> {
    const respond = (success: boolean, lastIndex: number): AppendResponse => ({
      kind: 'append',
      term: this.term,
      success,
      lastIndex,
      failed: this.opts.store.failure !== undefined,
    });
    if (request.term < this.term) return respond(false, this.log.lastIndex);
    this.recordLeaderContact(request);
    if (this.opts.store.failure) return respond(false, this.log.lastIndex);
    if (this.snapshotInstallation && request.entries.length > 0) {
      // Otherwise the new entries would be written to disk before the snapshot that they follow.
      await this.snapshotInstallation;
      if (request.term < this.term) return respond(false, this.log.lastIndex);
    }
    const {log} = this;
    // Entries before the first one in memory are committed, so they match those of the leader.
    const previousTerm = log.termAt(request.previousIndex);
    if (request.previousIndex > log.lastIndex) return respond(false, log.lastIndex);
    if (previousTerm !== undefined && previousTerm !== request.previousTerm) {
      return respond(false, Math.max(this.commitIndex, request.previousIndex - 1));
    }
    if (previousTerm === undefined && request.previousIndex > this.commitIndex) {
      return respond(false, this.commitIndex);
    }
    const matched = request.previousIndex + request.entries.length;
    const written = this.storeEntries(request, matched);
    this.commit(Math.min(request.commitIndex, matched));
    if (request.entries.length === 0 && !written) {
      return respond(true, Math.min(matched, this.durableIndex));
    }
    try {
      await this.lastWrite;
    } catch {
      return respond(false, 0);
    }
    return respond(this.term === request.term, matched);
  }

  /** Stores the entries of the request that the log does not hold yet; returns whether it wrote. */
  private storeEntries(request: AppendRequest, matched: number): boolean {
    const {log} = this;
    const newEntries = request.entries.filter(
      ({index, term}) => index > this.appliedIndex && log.termAt(index) !== term,
    );
    const [first] = newEntries;
    const entries = first ? request.entries.filter(({index}) => index >= first.index) : [];
    const isTruncation = first !== undefined && first.index <= log.lastIndex;
    if (isTruncation) {
      if (first.index <= this.commitIndex) throw new Error('Leader replaces a committed entry');
      log.truncateFrom(first.index);
    }
    log.append(entries);
    const hasCaughtUp =
      this.catchingUp &&
      !this.snapshotInstallation &&
      matched >= request.commitIndex &&
      log.termAt(matched) === request.term;
    if (hasCaughtUp) this.catchingUp = false;
    if (!first && !hasCaughtUp) return false;
    void this.write({
      ...(hasCaughtUp ? {hardState: this.hardState()} : {}),
      ...(isTruncation ? {truncateFrom: first.index} : {}),
      entries,
    }).catch(() => undefined);
    return true;
  }

  private async handleInstallSnapshot(
    request: InstallSnapshotRequest,
  ): Promise<InstallSnapshotResponse> {
    const respond = (success: boolean): InstallSnapshotResponse => ({
      kind: 'installSnapshot',
      term: this.term,
      success,
    });
    if (request.term < this.term) return respond(false);
    this.recordLeaderContact(request);
    if (this.opts.store.failure) return respond(false);
    if (this.snapshotInstallation) await this.snapshotInstallation;
    if (request.term < this.term) return respond(false);
    if (request.lastIndex <= this.commitIndex) return respond(await this.isDurable());
    this.snapshotInstallation = this.install(request);
    const installed = await this.snapshotInstallation;
    this.snapshotInstallation = undefined;
    return respond(installed && this.term === request.term);
  }

  private async install(request: InstallSnapshotRequest): Promise<boolean> {
    const {log} = this;
    const {lastIndex: index, lastTerm: term, members, payload} = request;
    const snapshot: Snapshot = {index, term, members, payload};
    const kept = log.termAt(index) === term ? log.entriesAfter(index) : [];
    this.logger.info({index}, 'Installing a snapshot');
    // The in-memory log changes before the first await, so that no other request sees a partial
    // change.
    log.reset(snapshot, kept);
    this.opts.stateMachine.restore(payload);
    this.commitIndex = this.appliedIndex = index;
    this.unsnapshottedBytes = 0;
    this.lowerDurableIndex(index);
    try {
      await this.saveSnapshot(snapshot, kept);
    } catch {
      return false;
    }
    this.durableIndex = Math.max(this.durableIndex, index);
    return true;
  }

  private recordLeaderContact({term, leaderId}: {term: number; leaderId: string}): void {
    if (this.role !== 'follower' || term > this.term || this.leaderId !== leaderId) {
      if (this.role === 'leader' && term === this.term) throw new Error('Two leaders in one term');
      this.becomeFollower(term, leaderId);
    }
    this.lastLeaderContactMs = this.clock.nowMs();
    this.resetElectionTimer();
  }

  private hasLeaderContact(): boolean {
    if (this.role === 'leader') return true;
    const lastContactMs = Math.max(this.lastLeaderContactMs, this.startedAtMs);
    return this.clock.nowMs() - lastContactMs <= this.timings.electionTimeoutMaxMs;
  }

  private async isDurable(): Promise<boolean> {
    try {
      await this.lastWrite;
      return true;
    } catch {
      return false;
    }
  }

  // State machine.

  private async applyCommitted(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      for (let i = 0; i < MAX_APPLIES_PER_TURN && this.appliedIndex < this.commitIndex; i++) {
        this.applyNext();
      }
      if (this.appliedIndex < this.commitIndex) await nextEventLoopTurn();
      else await this.commitIndexAdvanced.wait(signal);
    }
  }

  private applyNext(): void {
    const entry = this.log.entryAt(this.appliedIndex + 1);
    if (!entry) throw new Error(`Entry ${this.appliedIndex + 1} is committed but missing`);
    const before = this.roleState();
    this.appliedIndex = entry.index;
    this.unsnapshottedBytes += entry.payload.length;
    if (entry.kind === 'command') this.applyCommand(entry);
    else this.leadership?.handleEntryApplied(entry.index, {result: undefined});
    if (entry.kind === 'members' && this.leadership && !this.isVoter())
      this.becomeFollower(this.term);
    this.notifyRoleChange(before);
    this.saveSnapshotIfDue();
  }

  private applyCommand(entry: LogEntry): void {
    try {
      const result = this.opts.stateMachine.apply(entry);
      this.leadership?.handleEntryApplied(entry.index, {result});
    } catch (thrown) {
      this.logger.error(
        {err: thrown, index: entry.index},
        'State machine failed to apply a command',
      );
      this.leadership?.handleEntryApplied(entry.index, {failure: toMedlarlaneError(thrown)});
    }
  }

  private isVoter(): boolean {
    return this.log.members.voters.includes(this.replicaId);
  }

  private saveSnapshotIfDue(): void {
    const {log, appliedIndex, opts} = this;
    if (!this.isSnapshotDue() || this.isSavingSnapshot || opts.store.failure) return;
    const snapshot: Snapshot = {
      index: appliedIndex,
      term: log.termAt(appliedIndex)!,
      members: log.membersAt(appliedIndex),
      payload: opts.stateMachine.snapshot(),
    };
    this.isSavingSnapshot = true;
    const appliedBytes = this.unsnapshottedBytes;
    this.unsnapshottedBytes = 0;
    void this.saveSnapshot(snapshot, log.entriesAfter(appliedIndex))
      .then(() => this.compactLog(snapshot, appliedBytes))
      .catch(() => undefined)
      .finally(() => (this.isSavingSnapshot = false));
  }

  private isSnapshotDue(): boolean {
    const {log, appliedIndex, opts} = this;
    const intervalEntries = opts.snapshotIntervalEntries ?? DEFAULT_SNAPSHOT_INTERVAL_ENTRIES;
    const intervalBytes = Math.max(
      opts.snapshotIntervalBytes ?? DEFAULT_SNAPSHOT_INTERVAL_BYTES,
      log.snapshot?.payload.length ?? 0,
    );
    const appliedEntries = appliedIndex - (log.snapshot?.index ?? 0);
    return appliedEntries >= intervalEntries || this.unsnapshottedBytes >= intervalBytes;
  }

  private compactLog(snapshot: Snapshot, appliedBytes: number): void {
    const {log} = this;
    if (snapshot.index <= (log.snapshot?.index ?? 0)) return;
    log.compact(snapshot, {maxEntries: RETAINED_ENTRIES, maxBytes: RETAINED_BYTES});
    this.logger.info(
      {
        index: snapshot.index,
        appliedBytes,
        snapshotBytes: snapshot.payload.length,
        logBytes: log.sizeBytes,
      },
      'Log compacted',
    );
  }

  private async saveSnapshot(snapshot: Snapshot, kept: readonly LogEntry[]): Promise<void> {
    try {
      await this.opts.store.saveSnapshot(snapshot, kept);
    } catch (failure) {
      this.handleLogFailure();
      throw failure;
    }
  }

  // Roles.

  private requireLeadership(): Leadership {
    if (this.leadership) return this.leadership;
    throw this.notLeader();
  }

  private notLeader(): MedlarlaneError {
    const leaderId = this.leaderId === this.replicaId ? undefined : this.leaderId;
    const leaderAddress = leaderId === undefined ? undefined : this.log.members.addresses[leaderId];
    return new MedlarlaneError('NOT_LEADER', undefined, {
      details: {...(leaderId ? {leaderId} : {}), ...(leaderAddress ? {leaderAddress} : {})},
    });
  }

  private roleState(): RoleChange {
    const {role, term, leaderId} = this;
    return {role, term, ...(leaderId === undefined ? {} : {leaderId}), ready: this.isLeader()};
  }

  private notifyRoleChange(before: RoleChange): void {
    const now = this.roleState();
    const isUnchanged =
      now.role === before.role &&
      now.term === before.term &&
      now.leaderId === before.leaderId &&
      now.ready === before.ready;
    if (isUnchanged) return;
    for (const listener of this.listeners) listener(now);
  }
}

// Index of the entry with the initial member set of a group.
const BOOTSTRAP_INDEX = 1;

function nextEventLoopTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
