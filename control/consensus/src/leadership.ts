import {MedlarlaneError} from '@medlarlane/errors';
import type {EntryKind, LogBatch, LogEntry} from '@medlarlane/log-store';
import {BackgroundTasks} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';
import {abortableSleep, ConditionVariable} from './conditionVariable.js';
import type {
  AppendRequest,
  AppendResponse,
  ConsensusRequest,
  InstallSnapshotRequest,
  InstallSnapshotResponse,
  ResponseTo,
} from './consensusMessages.js';
import {applyMemberChange, quorumSize, quorumValue} from './memberChange.js';
import type {MemberChange} from './memberChange.js';
import {encodeMembers} from './replicaLog.js';
import type {ReplicaLog} from './replicaLog.js';
import {CAUGHT_UP_LAG_ENTRIES, MAX_APPEND_BYTES, MAX_APPEND_ENTRIES} from './timings.js';
import type {ReplicaTimings} from './timings.js';

/** The state and operations of the replica that the leader's tasks use. */
export interface LeaderContext {
  readonly replicaId: string;
  readonly log: ReplicaLog;
  readonly clock: Clock;
  readonly timings: ReplicaTimings;
  readonly commitIndex: number;
  readonly appliedIndex: number;
  call<R extends ConsensusRequest>(
    peerId: string,
    address: string,
    request: R,
    opts: {timeoutMs: number; signal: AbortSignal},
  ): Promise<ResponseTo<R>>;
  write(batch: LogBatch): Promise<void>;
  commit(index: number): void;
  /** Steps down as leader; adopts `term` if it is higher than the current term. */
  becomeFollower(term: number): void;
  handleTaskFailure(taskName: string, failure: unknown): void;
}

/** Index and result of a committed and applied command. */
export interface CommittedCommand {
  readonly index: number;
  readonly result: unknown;
}

interface PendingCommit {
  readonly resolve: (committed: CommittedCommand) => void;
  readonly reject: (failure: MedlarlaneError) => void;
}

interface Proposal extends PendingCommit {
  readonly command: Uint8Array;
}

interface Peer {
  readonly replicaId: string;
  readonly address: string;
  readonly abort: AbortController;
  nextIndex: number;
  matchIndex: number;
  /** Highest commit index that the peer acknowledged. */
  ackedCommitIndex: number;
  /** Send time of the latest message that the peer acknowledged in this term. */
  ackedSentAtMs: number;
  failed: boolean;
}

/** State of another replica as known to the leader. */
export interface PeerStatus {
  readonly matchIndex: number;
  /** The replica acknowledged a message that was sent within the lease duration. */
  readonly reachable: boolean;
  readonly caughtUp: boolean;
  /** The replica cannot write its log. */
  readonly failed: boolean;
}

export interface ReadBarrierOptions {
  /**
   * `quorum` waits until a majority acknowledges a message sent after the call, for readers that
   * must not rely on the clock of a process that may have been suspended. Default: `lease`.
   */
  readonly confirm?: 'lease' | 'quorum';
}

const MAX_PROPOSALS_PER_APPEND = 1024;

/** State of a leader during one term: its peers, proposals and lease. */
export class Leadership {
  /** Index of the leader's first entry; entries of earlier terms commit together with it. */
  readonly noopIndex: number;
  private readonly peers = new Map<string, Peer>();
  private readonly startedAtMs: number;
  private readonly tasks: BackgroundTasks;
  private readonly logChanged = new ConditionVariable();
  private readonly proposed = new ConditionVariable();
  private readonly acknowledged = new ConditionVariable();
  private readonly applied = new ConditionVariable();
  private proposals: Proposal[] = [];
  private readonly pendingCommits = new Map<number, PendingCommit>();
  private durableIndex = 0;
  private stopped = false;

  constructor(
    private readonly context: LeaderContext,
    readonly term: number,
  ) {
    this.startedAtMs = context.clock.nowMs();
    this.noopIndex = context.log.lastIndex + 1;
    this.tasks = new BackgroundTasks({
      onFailure: (name, failure) => context.handleTaskFailure(name, failure),
    });
  }

  /** Writes the no-op of the term and starts the tasks. */
  start(): void {
    this.updatePeers();
    void this.appendEntries([{kind: 'noop', payload: new Uint8Array()}]);
    this.tasks.run('append', (signal) => this.appendProposals(signal));
    this.tasks.run('quorum', (signal) => this.monitorQuorum(signal));
  }

  /**
   * Ends the term. Proposals that were not appended fail with `notLeader`, since they did not run;
   * the outcome of the appended ones is unknown.
   */
  stop(notLeader: MedlarlaneError): void {
    if (this.stopped) return;
    this.stopped = true;
    for (const peer of this.peers.values()) peer.abort.abort();
    void this.tasks.stop();
    for (const {reject} of this.proposals.splice(0)) reject(notLeader);
    const unknown = new MedlarlaneError('COMMIT_UNKNOWN', undefined, {details: notLeader.details});
    for (const {reject} of this.pendingCommits.values()) reject(unknown);
    this.pendingCommits.clear();
    this.acknowledged.notifyAll();
    this.applied.notifyAll();
  }

  propose(command: Uint8Array): Promise<CommittedCommand> {
    return new Promise((resolve, reject) => {
      this.proposals.push({command, resolve, reject});
      this.proposed.notifyAll();
    });
  }

  async changeMembers(change: MemberChange): Promise<void> {
    const {log, commitIndex} = this.context;
    // Before the first commit of the term, a change of the previous leader may still be
    // uncommitted, and two member changes must not overlap.
    if (commitIndex < this.noopIndex || commitIndex < log.membersIndex) {
      throw new MedlarlaneError('MEMBER_CHANGE_PENDING');
    }
    const members = applyMemberChange(log.members, change);
    if (!members) return;
    if (change.kind === 'promote') this.assertCaughtUp(change.replicaId);
    const [index] = this.appendEntries([
      {kind: 'members', payload: encodeMembers(members)},
    ]).indexes;
    this.updatePeers();
    await new Promise<CommittedCommand>((resolve, reject) =>
      this.pendingCommits.set(index!, {resolve, reject}),
    );
  }

  /** Resolves once all entries committed before the call are applied. */
  async readBarrier(opts: ReadBarrierOptions = {}): Promise<void> {
    const {clock} = this.context;
    const canUseLease = opts.confirm !== 'quorum';
    const requestedAtMs = clock.nowMs();
    // `stop` notifies all conditions, so the waits end with the term and need no abort signal.
    while (!this.stopped && this.context.commitIndex < this.noopIndex) await this.applied.wait();
    const readIndex = this.context.commitIndex;
    while (
      !this.stopped &&
      !(canUseLease && this.isLeaseValid()) &&
      this.quorumAckedSentAtMs() < requestedAtMs
    ) {
      await this.acknowledged.wait();
    }
    while (!this.stopped && this.context.appliedIndex < readIndex) await this.applied.wait();
    if (this.stopped) throw new MedlarlaneError('NOT_LEADER');
  }

  /** Called by the replica after it applied an entry. */
  handleEntryApplied(index: number, outcome: {result: unknown} | {failure: MedlarlaneError}): void {
    const pendingCommit = this.pendingCommits.get(index);
    this.pendingCommits.delete(index);
    if ('failure' in outcome) pendingCommit?.reject(outcome.failure);
    else pendingCommit?.resolve({index, result: outcome.result});
    this.applied.notifyAll();
  }

  handleCommitAdvanced(): void {
    this.logChanged.notifyAll();
  }

  /** Whether a majority acknowledged a message that was sent within the lease duration. */
  isLeaseValid(): boolean {
    const {clock, timings} = this.context;
    return !this.stopped && clock.nowMs() - this.quorumAckedSentAtMs() < timings.leaderLeaseMs;
  }

  peerStatus(): Record<string, PeerStatus> {
    const nowMs = this.context.clock.nowMs();
    return Object.fromEntries(
      [...this.peers.values()].map((peer) => [
        peer.replicaId,
        {
          matchIndex: peer.matchIndex,
          reachable: nowMs - peer.ackedSentAtMs < this.context.timings.leaderLeaseMs,
          caughtUp: this.isCaughtUp(peer),
          failed: peer.failed,
        },
      ]),
    );
  }

  /** Number of voters that can fail now while a healthy, caught-up majority remains. */
  lossesTolerated(): number {
    const {members} = this.context.log;
    const status = this.peerStatus();
    const healthy = members.voters.filter((id) => {
      if (id === this.context.replicaId) return true;
      const peer = status[id];
      return peer !== undefined && peer.reachable && peer.caughtUp && !peer.failed;
    });
    return Math.max(0, healthy.length - quorumSize(members));
  }

  private assertCaughtUp(replicaId: string): void {
    const peer = this.peers.get(replicaId);
    const status = this.peerStatus()[replicaId];
    if (peer && status?.reachable && status.caughtUp && !status.failed) return;
    throw new MedlarlaneError('REPLICA_BEHIND', `Replica ${replicaId} has not caught up`, {
      details: {matchIndex: peer?.matchIndex ?? 0, commitIndex: this.context.commitIndex},
    });
  }

  private isCaughtUp(peer: Peer): boolean {
    // A peer that holds an entry of this term holds all committed entries of earlier terms.
    const requiredIndex = Math.max(
      this.noopIndex,
      this.context.commitIndex - CAUGHT_UP_LAG_ENTRIES,
    );
    return peer.matchIndex >= requiredIndex;
  }

  /** Appends entries of this term to the in-memory log and starts writing them to disk. */
  private appendEntries(items: ReadonlyArray<{kind: EntryKind; payload: Uint8Array}>): {
    indexes: number[];
    durable: Promise<void>;
  } {
    const {log} = this.context;
    const first = log.lastIndex + 1;
    const entries: LogEntry[] = items.map(({kind, payload}, i) => ({
      index: first + i,
      term: this.term,
      kind,
      payload,
    }));
    log.append(entries);
    const lastIndex = log.lastIndex;
    this.logChanged.notifyAll();
    const durable = this.context.write({entries}).then(
      () => {
        if (this.stopped) return;
        this.durableIndex = Math.max(this.durableIndex, lastIndex);
        this.advanceCommit();
      },
      // The replica steps down when a log write fails.
      () => undefined,
    );
    return {indexes: entries.map(({index}) => index), durable};
  }

  /** Appends all queued proposals as one batch; later proposals queue while the batch is synced. */
  private async appendProposals(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.proposals.length === 0) {
        await this.proposed.wait(signal);
        continue;
      }
      const batch = this.proposals.splice(0, MAX_PROPOSALS_PER_APPEND);
      const {indexes, durable} = this.appendEntries(
        batch.map(({command}) => ({kind: 'command', payload: command})),
      );
      indexes.forEach((index, i) => this.pendingCommits.set(index, batch[i]!));
      await durable;
    }
  }

  /** Steps down when no majority has responded for the maximum election timeout. */
  private async monitorQuorum(signal: AbortSignal): Promise<void> {
    const {clock, timings} = this.context;
    while (!signal.aborted) {
      await abortableSleep(clock, timings.heartbeatIntervalMs, signal);
      const lastContactMs = Math.max(this.quorumAckedSentAtMs(), this.startedAtMs);
      if (clock.nowMs() - lastContactMs > timings.electionTimeoutMaxMs)
        return this.context.becomeFollower(this.term);
    }
  }

  /** Latest send time such that a majority acknowledged a message sent at or after it. */
  private quorumAckedSentAtMs(): number {
    const {log, replicaId, clock} = this.context;
    const nowMs = clock.nowMs();
    return quorumValue(
      log.members.voters.map((id) =>
        id === replicaId ? nowMs : (this.peers.get(id)?.ackedSentAtMs ?? -Infinity),
      ),
    );
  }

  private advanceCommit(): void {
    const {log, replicaId} = this.context;
    const index = quorumValue(
      log.members.voters.map((id) =>
        id === replicaId ? this.durableIndex : (this.peers.get(id)?.matchIndex ?? 0),
      ),
    );
    // Only entries of the current term commit by counting replicas; earlier entries commit with
    // them.
    if (index > this.context.commitIndex && log.termAt(index) === this.term)
      this.context.commit(index);
  }

  /** Starts and stops the replication tasks of peers to match the newest member set. */
  private updatePeers(): void {
    const {log, replicaId} = this.context;
    const {voters, learners, addresses} = log.members;
    const ids = [...voters, ...learners].filter((id) => id !== replicaId);
    for (const [id, peer] of this.peers) {
      if (ids.includes(id)) continue;
      peer.abort.abort();
      this.peers.delete(id);
    }
    for (const id of ids) {
      if (!this.peers.has(id)) this.startPeer(id, addresses[id] ?? '');
    }
  }

  private startPeer(replicaId: string, address: string): void {
    const abort = new AbortController();
    const peer: Peer = {
      replicaId,
      address,
      abort,
      nextIndex: this.noopIndex,
      matchIndex: 0,
      ackedCommitIndex: 0,
      ackedSentAtMs: -Infinity,
      failed: false,
    };
    this.peers.set(replicaId, peer);
    this.tasks.run(`replicate to ${replicaId}`, () => this.replicate(peer, abort.signal));
    this.tasks.run(`heartbeat to ${replicaId}`, () => this.sendHeartbeats(peer, abort.signal));
  }

  /** Sends entries and the commit index to the peer whenever it is behind. */
  private async replicate(peer: Peer, signal: AbortSignal): Promise<void> {
    const {log, clock, timings} = this.context;
    while (!signal.aborted) {
      if (peer.nextIndex > log.lastIndex && peer.ackedCommitIndex >= this.context.commitIndex) {
        await this.logChanged.wait(signal);
        continue;
      }
      const sent =
        log.termAt(peer.nextIndex - 1) === undefined
          ? await this.sendSnapshot(peer, signal)
          : await this.sendEntries(peer, signal);
      if (!sent) await abortableSleep(clock, timings.heartbeatIntervalMs, signal);
    }
  }

  private async sendEntries(peer: Peer, signal: AbortSignal): Promise<boolean> {
    const entries = this.context.log.entriesFrom(
      peer.nextIndex,
      MAX_APPEND_ENTRIES,
      MAX_APPEND_BYTES,
    );
    const request = this.appendRequest(peer.nextIndex - 1, entries);
    const timeoutMs = this.context.timings.appendTimeoutMs;
    const response = await this.callPeer(peer, request, timeoutMs, signal);
    if (!response || response.failed) return false;
    if (response.success) {
      peer.ackedCommitIndex = request.commitIndex;
      // The response to an empty append may report a lower index than an earlier response.
      peer.matchIndex = Math.max(peer.matchIndex, response.lastIndex);
      peer.nextIndex = Math.max(request.previousIndex + entries.length, peer.matchIndex) + 1;
      this.advanceCommit();
    } else {
      peer.nextIndex = Math.max(1, Math.min(request.previousIndex, response.lastIndex + 1));
      peer.matchIndex = Math.min(peer.matchIndex, peer.nextIndex - 1);
    }
    return true;
  }

  private async sendSnapshot(peer: Peer, signal: AbortSignal): Promise<boolean> {
    const {snapshot} = this.context.log;
    if (!snapshot) throw new Error('Log is truncated but has no snapshot');
    const request: InstallSnapshotRequest = {
      kind: 'installSnapshot',
      term: this.term,
      leaderId: this.context.replicaId,
      lastIndex: snapshot.index,
      lastTerm: snapshot.term,
      members: snapshot.members,
      payload: snapshot.payload,
    };
    const timeoutMs = this.context.timings.snapshotTimeoutMs;
    const response = await this.callPeer(peer, request, timeoutMs, signal);
    if (!response?.success) return false;
    peer.matchIndex = Math.max(peer.matchIndex, snapshot.index);
    peer.nextIndex = peer.matchIndex + 1;
    this.advanceCommit();
    return true;
  }

  /** Renews the lease while the replication task is sending entries or a snapshot. */
  private async sendHeartbeats(peer: Peer, signal: AbortSignal): Promise<void> {
    const {log, clock, timings} = this.context;
    while (!signal.aborted) {
      const sentAtMs = clock.nowMs();
      const isMatchTermKnown = log.termAt(peer.matchIndex) !== undefined;
      const request = this.appendRequest(isMatchTermKnown ? peer.matchIndex : log.lastIndex, []);
      const response = await this.callPeer(peer, request, timings.callTimeoutMs, signal);
      if (
        response &&
        !response.success &&
        isMatchTermKnown &&
        response.lastIndex < peer.matchIndex
      ) {
        // The peer lost entries that it acknowledged, for example because its disk was replaced.
        peer.matchIndex = response.lastIndex;
        peer.nextIndex = response.lastIndex + 1;
        this.logChanged.notifyAll();
      }
      const elapsedMs = clock.nowMs() - sentAtMs;
      await abortableSleep(clock, Math.max(0, timings.heartbeatIntervalMs - elapsedMs), signal);
    }
  }

  private appendRequest(previousIndex: number, entries: LogEntry[]): AppendRequest {
    return {
      kind: 'append',
      term: this.term,
      leaderId: this.context.replicaId,
      previousIndex,
      previousTerm: this.context.log.termAt(previousIndex)!,
      entries,
      commitIndex: this.context.commitIndex,
    };
  }

  /** Calls a peer; returns `undefined` when the call fails or times out, or the term has ended. */
  private async callPeer<R extends AppendRequest | InstallSnapshotRequest>(
    peer: Peer,
    request: R,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<ResponseTo<R> | undefined> {
    const sentAtMs = this.context.clock.nowMs();
    const result = await this.context
      .call(peer.replicaId, peer.address, request, {timeoutMs, signal})
      .catch(() => undefined);
    if (!result || signal.aborted || this.stopped) return undefined;
    const response: AppendResponse | InstallSnapshotResponse = result;
    if (response.term > this.term) {
      this.context.becomeFollower(response.term);
      return undefined;
    }
    if (response.kind === 'append') peer.failed = response.failed;
    if (response.term === this.term && !peer.failed) {
      peer.ackedSentAtMs = Math.max(peer.ackedSentAtMs, sentAtMs);
      this.acknowledged.notifyAll();
    }
    return result;
  }
}
