import {MedlarlaneError, toMedlarlaneError} from '@medlarlane/errors';
import {BackgroundTasks} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';
import {createComponentLogger, silentLogger} from '@medlarlane/logger';
import type {Logger} from '@medlarlane/logger';
import type {LogBatch, LogEntry, LogStore, MemberSet, Snapshot} from '@medlarlane/log-store';
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
import type {CommittedCommand, LeaderHost, PeerStatus, ReadBarrierOptions} from './leadership.js';
import {quorumSize} from './memberChange.js';
import type {MemberChange} from './memberChange.js';
import {encodeMembers, ReplicaLog} from './replicaLog.js';
import {DEFAULT_TIMINGS} from './timings.js';
import type {ReplicaTimings} from './timings.js';
import {Wakeup} from './wakeup.js';

/** The deterministic state machine over the commands. */
export interface StateMachine {
  /** Applies a command entry and returns its result. */
  apply(entry: LogEntry): unknown;
  snapshot(): Uint8Array;
  restore(payload: Uint8Array): void;
}

export interface StartReplicaOptions {
  readonly replicaId: string;
  /** Stays open when the replica closes. */
  readonly store: LogStore;
  readonly transport: ConsensusTransport;
  readonly clock: Clock;
  /** First members of a new group, equal on all of them; ignored when the log is not empty. */
  readonly bootstrap?: MemberSet;
  readonly stateMachine: StateMachine;
  readonly timings?: Partial<ReplicaTimings>;
  /** Entries after which a snapshot replaces them. */
  readonly snapshotIntervalEntries?: number;
  readonly logger?: Logger;
  /** Random numbers in [0, 1) for the election timeout. */
  readonly random?: () => number;
}

export type ReplicaRole = 'follower' | 'candidate' | 'leader';

export interface RoleChange {
  readonly role: ReplicaRole;
  readonly term: number;
  readonly leaderId?: string;
  /** A leader that has applied its own no-op. */
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
  /** Why this replica cannot write its log. */
  readonly failure?: MedlarlaneError;
  /** Only on the leader. */
  readonly peers?: Readonly<Record<string, PeerStatus>>;
  /** Voters that may be lost now without loss of data or service. Only on the leader. */
  readonly lossesTolerated?: number;
}

export interface Replica {
  readonly replicaId: string;
  readonly term: number;
  readonly leaderId: string | undefined;
  readonly commitIndex: number;
  readonly appliedIndex: number;
  /**
   * Resolves once the command is committed and applied here.
   * @throws MedlarlaneError `NOT_LEADER` when it was not appended; details hold `leaderId` and
   * `leaderAddress` when known. `COMMIT_UNKNOWN` when the outcome is open.
   */
  propose(command: Uint8Array): Promise<CommittedCommand>;
  /** Resolves once reads of the state machine reflect everything committed before the call. */
  readBarrier(opts?: ReadBarrierOptions): Promise<void>;
  handle(request: ConsensusRequest): Promise<ConsensusResponse>;
  /** Whether this is the leader and has applied its own no-op. */
  isLeader(): boolean;
  /** Whether no other leader can have been elected at this moment. */
  isLeaderLeaseValid(): boolean;
  status(): ReplicaStatus;
  /**
   * Resolves once the change is committed.
   * @throws MedlarlaneError `NOT_LEADER`, `MEMBER_CHANGE_PENDING`, `REPLICA_BEHIND`,
   * `REQUEST_INVALID` or `COMMIT_UNKNOWN`.
   */
  changeMembers(change: MemberChange): Promise<void>;
  /** Calls the listener after each change; returns the function that removes it. */
  onRoleChange(listener: (change: RoleChange) => void): () => void;
  close(): Promise<void>;
}

/** Starts a replica of the replicated log on an opened store. */
export function startReplica(opts: StartReplicaOptions): Replica {
  const replica = new ReplicaNode(opts);
  replica.start();
  return replica;
}

const DEFAULT_SNAPSHOT_EVERY_ENTRIES = 10_000;
// Lets a replica that missed a few entries catch up without a whole snapshot.
const TRAILING_ENTRIES = 1_000;
const APPLIES_PER_TURN = 256;

class ReplicaNode implements Replica, LeaderHost {
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
  /** Set while the log may lack entries that a lost disk held; see `mayVote`. */
  private catchingUp: boolean;
  private leadership: Leadership | undefined;
  private readonly startedAtMs: number;
  private leaderContactMs = -Infinity;
  private electionDueMs = 0;
  private lastWrite: Promise<void> = Promise.resolve();
  /** Last index known to be on disk. */
  private durableIndex: number;
  private replacements = 0;
  /** Set while a snapshot from the leader is in memory but not yet on disk. */
  private installing: Promise<boolean> | undefined;
  /** Set when a task ended by a fault in this program. */
  private broken = false;
  private savingSnapshot = false;
  private readonly committed = new Wakeup();
  private readonly electionChanged = new Wakeup();
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
      onFailure: (name, failure) => this.taskFailed(name, failure),
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
    return this.leadership?.leaseValid() ?? false;
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
        throw new Error(`Replica ${peerId} did not answer within ${timeoutMs} ms`);
      });
      const answered = this.opts.transport.call(peerId, address, request, abort.signal);
      const response = await Promise.race([answered, timeout]);
      if (response.kind !== request.kind) throw new Error('Response of another kind');
      return response as ResponseTo<R>;
    } finally {
      abort.abort();
      signal.removeEventListener('abort', stop);
    }
  }

  write(batch: LogBatch): Promise<void> {
    const {lastIndex} = this.log;
    if (batch.truncateFrom !== undefined) this.entriesReplaced(batch.truncateFrom - 1);
    const {replacements} = this;
    const written = this.opts.store.append(batch).then(
      () => {
        if (replacements !== this.replacements) return;
        this.durableIndex = Math.max(this.durableIndex, lastIndex);
      },
      (failure: unknown) => {
        this.logFailed();
        throw failure;
      },
    );
    written.catch(() => undefined);
    this.lastWrite = written;
    return written;
  }

  /** Entries after `lastIndex` were replaced in memory; writes under way no longer count for them. */
  private entriesReplaced(lastIndex: number): void {
    this.replacements++;
    this.durableIndex = Math.min(this.durableIndex, lastIndex);
  }

  commit(index: number): void {
    if (index <= this.commitIndex) return;
    this.commitIndex = index;
    this.committed.notify();
    this.leadership?.commitAdvanced();
  }

  follow(term: number, leaderId?: string): void {
    const before = this.roleChange();
    if (term > this.term) {
      this.term = term;
      // The leader of a term has won its votes, so this replica has no vote left to give in it.
      this.votedFor = leaderId ?? '';
      this.leaderId = undefined;
      void this.writeHardState().catch(() => undefined);
    }
    if (this.role === 'leader') this.leaderId = undefined;
    this.leaderId = leaderId ?? this.leaderId;
    this.endLeadership();
    this.role = 'follower';
    this.announce(before);
  }

  taskFailed(taskName: string, failure: unknown): void {
    this.logger.error({err: failure, taskName}, 'Task failed');
    if (this.leadership) this.follow(this.term);
  }

  // Start and log.

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

  private logFailed(): void {
    this.logger.error({err: this.opts.store.failure}, 'Log cannot be written');
    if (this.role !== 'follower') this.follow(this.term);
  }

  // Elections.

  private async runElections(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const waitMs = this.electionDueMs - this.clock.nowMs();
      if (waitMs > 0 || this.role === 'leader') {
        const boundMs = waitMs > 0 ? waitMs : this.timings.electionTimeoutMaxMs;
        await this.electionChanged.waitFor(this.clock, boundMs, signal);
        continue;
      }
      this.resetElectionTimer();
      if (this.mayStand()) await this.stand(signal);
    }
  }

  private resetElectionTimer(): void {
    const {electionTimeoutMinMs: electionMinMs, electionTimeoutMaxMs: electionMaxMs} = this.timings;
    const random = this.opts.random ?? Math.random;
    this.electionDueMs =
      this.clock.nowMs() + electionMinMs + random() * (electionMaxMs - electionMinMs);
  }

  private mayStand(): boolean {
    const {voters} = this.log.members;
    return (
      !this.broken &&
      voters.includes(this.replicaId) &&
      !this.refusesVotes() &&
      this.mayVote(this.log.lastIndex)
    );
  }

  /** A pre-vote first, so that a replica that cannot win disturbs no term. */
  private async stand(signal: AbortSignal): Promise<void> {
    const term = this.term + 1;
    const {voters, learners} = this.log.members;
    if (!(await this.wins(term, true, signal))) return;
    if (this.role === 'leader' || this.term + 1 !== term || !this.mayStand()) return;
    const before = this.roleChange();
    this.term = term;
    this.votedFor = this.replicaId;
    this.leaderId = undefined;
    this.role = 'candidate';
    this.announce(before);
    this.logger.info({term, voters, learners}, 'Standing for election');
    try {
      await this.writeHardState();
    } catch {
      return;
    }
    if (!(await this.wins(term, false, signal))) return;
    if (signal.aborted || this.term !== term || this.role !== 'candidate') return;
    this.lead();
  }

  private wins(term: number, preVote: boolean, signal: AbortSignal): Promise<boolean> {
    const {members, lastIndex, lastTerm} = this.log;
    const request: VoteRequest = {
      kind: 'vote',
      term,
      candidateId: this.replicaId,
      lastLogIndex: lastIndex,
      lastLogTerm: lastTerm,
      preVote,
    };
    const needed = quorumSize(members);
    const others = members.voters.filter((id) => id !== this.replicaId);
    let granted = 1;
    return new Promise((resolve) => {
      if (granted >= needed) return resolve(true);
      const ask = async (peerId: string): Promise<void> => {
        const address = members.addresses[peerId] ?? '';
        const timeoutMs = this.timings.callTimeoutMs;
        const response = await this.call(peerId, address, request, {timeoutMs, signal});
        if (response.granted && ++granted >= needed) resolve(true);
        else if (response.term > this.term) this.follow(response.term);
      };
      const asked = others.map((peerId) => ask(peerId).catch(() => undefined));
      void Promise.all(asked).then(() => resolve(false));
    });
  }

  private lead(): void {
    const before = this.roleChange();
    this.logger.info({term: this.term}, 'Elected');
    this.role = 'leader';
    this.leaderId = this.replicaId;
    if (this.catchingUp) {
      this.catchingUp = false;
      void this.writeHardState().catch(() => undefined);
    }
    this.leadership = new Leadership(this, this.term);
    this.leadership.start();
    this.announce(before);
  }

  private endLeadership(): void {
    const {leadership} = this;
    this.leadership = undefined;
    if (!leadership) return;
    this.logger.info({term: leadership.term}, 'Gave up leadership');
    leadership.stop(this.notLeader());
    this.resetElectionTimer();
    this.electionChanged.notify();
  }

  private async handleVote(request: VoteRequest): Promise<VoteResponse> {
    const respond = (granted: boolean): VoteResponse => ({kind: 'vote', term: this.term, granted});
    // The term is not adopted either, so that a replica that was cut off cannot end a working term.
    if (this.refusesVotes()) return respond(false);
    const {lastTerm, lastIndex} = this.log;
    const upToDate =
      request.lastLogTerm > lastTerm ||
      (request.lastLogTerm === lastTerm && request.lastLogIndex >= lastIndex);
    const eligible = upToDate && this.mayVote(request.lastLogIndex);
    if (request.preVote) return respond(eligible && request.term > this.term);
    if (request.term > this.term) this.follow(request.term);
    const free = this.votedFor === '' || this.votedFor === request.candidateId;
    if (!eligible || request.term < this.term || !free) return respond(false);
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

  private refusesVotes(): boolean {
    const {voteRefusalMs} = this.timings;
    const nowMs = this.clock.nowMs();
    return (
      this.opts.store.failure !== undefined ||
      nowMs - this.startedAtMs < voteRefusalMs ||
      nowMs - this.leaderContactMs < voteRefusalMs ||
      this.isLeaderLeaseValid()
    );
  }

  /**
   * A replica that started with an empty folder may have lost entries that it acknowledged. Until it
   * has caught up with a leader it votes only for replicas whose log is as new as its own bootstrap.
   */
  private mayVote(candidateLastIndex: number): boolean {
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
    this.heardFromLeader(request);
    if (this.opts.store.failure) return respond(false, this.log.lastIndex);
    if (this.installing && request.entries.length > 0) {
      // On disk the new entries would otherwise follow a log that lacks the snapshot.
      await this.installing;
      if (request.term < this.term) return respond(false, this.log.lastIndex);
    }
    const {log} = this;
    // Entries before the first one in memory are committed, so they match.
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

  /** Stores what is new in the request. */
  private storeEntries(request: AppendRequest, matched: number): boolean {
    const {log} = this;
    const newEntries = request.entries.filter(
      ({index, term}) => index > this.appliedIndex && log.termAt(index) !== term,
    );
    const [first] = newEntries;
    const entries = first ? request.entries.filter(({index}) => index >= first.index) : [];
    const truncates = first !== undefined && first.index <= log.lastIndex;
    if (truncates) {
      if (first.index <= this.commitIndex) throw new Error('Leader replaces a committed entry');
      log.truncateFrom(first.index);
    }
    log.append(entries);
    const caughtUp =
      this.catchingUp &&
      !this.installing &&
      matched >= request.commitIndex &&
      log.termAt(matched) === request.term;
    if (caughtUp) this.catchingUp = false;
    if (!first && !caughtUp) return false;
    void this.write({
      ...(caughtUp ? {hardState: this.hardState()} : {}),
      ...(truncates ? {truncateFrom: first.index} : {}),
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
    this.heardFromLeader(request);
    if (this.opts.store.failure) return respond(false);
    if (this.installing) await this.installing;
    if (request.term < this.term) return respond(false);
    if (request.lastIndex <= this.commitIndex) return respond(await this.isDurable());
    this.installing = this.install(request);
    const installed = await this.installing;
    this.installing = undefined;
    return respond(installed && this.term === request.term);
  }

  private async install(request: InstallSnapshotRequest): Promise<boolean> {
    const {log} = this;
    const {lastIndex: index, lastTerm: term, members, payload} = request;
    const snapshot: Snapshot = {index, term, members, payload};
    const kept = log.termAt(index) === term ? log.after(index) : [];
    this.logger.info({index}, 'Installing a snapshot');
    // Memory changes before the first await, so that no other request sees a half-changed log.
    log.reset(snapshot, kept);
    this.opts.stateMachine.restore(payload);
    this.commitIndex = this.appliedIndex = index;
    this.entriesReplaced(index);
    try {
      await this.saveSnapshot(snapshot, kept);
    } catch {
      return false;
    }
    this.durableIndex = Math.max(this.durableIndex, index);
    return true;
  }

  private heardFromLeader({term, leaderId}: {term: number; leaderId: string}): void {
    if (this.role !== 'follower' || term > this.term || this.leaderId !== leaderId) {
      if (this.role === 'leader' && term === this.term) throw new Error('Two leaders in one term');
      this.follow(term, leaderId);
    }
    this.leaderContactMs = this.clock.nowMs();
    this.resetElectionTimer();
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
      for (let i = 0; i < APPLIES_PER_TURN && this.appliedIndex < this.commitIndex; i++) {
        this.applyNext();
      }
      if (this.appliedIndex < this.commitIndex) await nextTurn();
      else await this.committed.wait(signal);
    }
  }

  private applyNext(): void {
    const entry = this.log.entryAt(this.appliedIndex + 1);
    if (!entry) throw new Error(`Entry ${this.appliedIndex + 1} is committed but missing`);
    const before = this.roleChange();
    this.appliedIndex = entry.index;
    if (entry.kind === 'command') this.applyCommand(entry);
    else this.leadership?.entryApplied(entry.index, {result: undefined});
    if (entry.kind === 'members' && this.leadership && !this.isVoter()) this.follow(this.term);
    this.announce(before);
    this.snapshotIfDue();
  }

  private applyCommand(entry: LogEntry): void {
    try {
      const result = this.opts.stateMachine.apply(entry);
      this.leadership?.entryApplied(entry.index, {result});
    } catch (thrown) {
      this.logger.error({err: thrown, index: entry.index}, 'State machine threw');
      this.leadership?.entryApplied(entry.index, {failure: toMedlarlaneError(thrown)});
    }
  }

  private isVoter(): boolean {
    return this.log.members.voters.includes(this.replicaId);
  }

  private snapshotIfDue(): void {
    const {log, appliedIndex, opts} = this;
    const everyEntries = opts.snapshotIntervalEntries ?? DEFAULT_SNAPSHOT_EVERY_ENTRIES;
    const due = appliedIndex - (log.snapshot?.index ?? 0) >= everyEntries;
    if (!due || this.savingSnapshot || opts.store.failure) return;
    const snapshot: Snapshot = {
      index: appliedIndex,
      term: log.termAt(appliedIndex)!,
      members: log.membersAt(appliedIndex),
      payload: opts.stateMachine.snapshot(),
    };
    this.savingSnapshot = true;
    void this.saveSnapshot(snapshot, log.after(appliedIndex))
      .then(() => {
        if (snapshot.index > (log.snapshot?.index ?? 0)) log.compact(snapshot, TRAILING_ENTRIES);
      })
      .catch(() => undefined)
      .finally(() => (this.savingSnapshot = false));
  }

  private async saveSnapshot(snapshot: Snapshot, kept: readonly LogEntry[]): Promise<void> {
    try {
      await this.opts.store.saveSnapshot(snapshot, kept);
    } catch (failure) {
      this.logFailed();
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

  private roleChange(): RoleChange {
    const {role, term, leaderId} = this;
    return {role, term, ...(leaderId === undefined ? {} : {leaderId}), ready: this.isLeader()};
  }

  private announce(before: RoleChange): void {
    const now = this.roleChange();
    const same =
      now.role === before.role &&
      now.term === before.term &&
      now.leaderId === before.leaderId &&
      now.ready === before.ready;
    if (same) return;
    for (const listener of this.listeners) listener(now);
  }
}

// The member set with which a group starts.
const BOOTSTRAP_INDEX = 1;

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
