import {MedlarlaneError} from '@medlarlane/errors';
import type {EntryKind, LogBatch, LogEntry} from '@medlarlane/log-store';
import {BackgroundTasks} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';
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
import {pause, Wakeup} from './wakeup.js';

/** What the leader's tasks need from their replica. */
export interface LeaderHost {
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
  /** Gives up leadership; with a higher term adopts it. */
  follow(term: number): void;
  taskFailed(taskName: string, failure: unknown): void;
}

/** A command that its proposer awaits. */
export interface CommittedCommand {
  readonly index: number;
  readonly result: unknown;
}

interface Waiter {
  readonly resolve: (committed: CommittedCommand) => void;
  readonly reject: (failure: MedlarlaneError) => void;
}

interface Proposal extends Waiter {
  readonly command: Uint8Array;
}

interface Peer {
  readonly replicaId: string;
  readonly address: string;
  readonly abort: AbortController;
  nextIndex: number;
  matchIndex: number;
  /** Commit index that the peer is known to have received. */
  sentCommitIndex: number;
  /** Send time of the latest message that the peer acknowledged in this term. */
  ackedSentAtMs: number;
  failed: boolean;
}

/** The leader's view of another replica. */
export interface PeerStatus {
  readonly matchIndex: number;
  /** Acknowledged a message within the lease time. */
  readonly reachable: boolean;
  readonly caughtUp: boolean;
  /** Cannot write its log. */
  readonly failed: boolean;
}

export interface ReadBarrierOptions {
  /**
   * `quorum` waits for a majority that answers after the call, for readers that must not rely on the
   * clock of a process that may have been suspended. Default: `lease`.
   */
  readonly confirm?: 'lease' | 'quorum';
}

const MAX_PROPOSALS_PER_APPEND = 1024;

/** One term of a leader: its peers, proposals and lease. */
export class Leadership {
  /** Index of the entry that the leader writes first; earlier terms commit with it. */
  readonly noopIndex: number;
  private readonly peers = new Map<string, Peer>();
  private readonly startedAtMs: number;
  private readonly tasks: BackgroundTasks;
  private readonly logChanged = new Wakeup();
  private readonly proposed = new Wakeup();
  private readonly acknowledged = new Wakeup();
  private readonly applied = new Wakeup();
  private proposals: Proposal[] = [];
  private readonly waiters = new Map<number, Waiter>();
  private durableIndex = 0;
  private stopped = false;

  constructor(
    private readonly host: LeaderHost,
    readonly term: number,
  ) {
    this.startedAtMs = host.clock.nowMs();
    this.noopIndex = host.log.lastIndex + 1;
    this.tasks = new BackgroundTasks({
      onFailure: (name, failure) => host.taskFailed(name, failure),
    });
  }

  /** Writes the no-op of the term and starts the tasks. */
  start(): void {
    this.syncPeers();
    void this.appendEntries([{kind: 'noop', payload: new Uint8Array()}]);
    this.tasks.run('append', (signal) => this.appendProposals(signal));
    this.tasks.run('quorum', (signal) => this.watchQuorum(signal));
  }

  /** Ends the term. What was not appended was not run; the outcome of the rest is open. */
  stop(notLeader: MedlarlaneError): void {
    if (this.stopped) return;
    this.stopped = true;
    for (const peer of this.peers.values()) peer.abort.abort();
    void this.tasks.stop();
    for (const {reject} of this.proposals.splice(0)) reject(notLeader);
    const unknown = new MedlarlaneError('COMMIT_UNKNOWN', undefined, {details: notLeader.details});
    for (const {reject} of this.waiters.values()) reject(unknown);
    this.waiters.clear();
    this.acknowledged.notify();
    this.applied.notify();
  }

  propose(command: Uint8Array): Promise<CommittedCommand> {
    return new Promise((resolve, reject) => {
      this.proposals.push({command, resolve, reject});
      this.proposed.notify();
    });
  }

  async changeMembers(change: MemberChange): Promise<void> {
    const {log, commitIndex} = this.host;
    // A change before the first commit of the term could overlap an unfinished one of the last leader.
    if (commitIndex < this.noopIndex || commitIndex < log.membersIndex) {
      throw new MedlarlaneError('MEMBER_CHANGE_PENDING');
    }
    const members = applyMemberChange(log.members, change);
    if (!members) return;
    if (change.kind === 'promote') this.requireCaughtUp(change.replicaId);
    const [index] = this.appendEntries([
      {kind: 'members', payload: encodeMembers(members)},
    ]).indexes;
    this.syncPeers();
    await new Promise<CommittedCommand>((resolve, reject) =>
      this.waiters.set(index!, {resolve, reject}),
    );
  }

  /** Resolves once everything committed before the call is applied. */
  async readBarrier(opts: ReadBarrierOptions = {}): Promise<void> {
    const {clock} = this.host;
    const leaseSuffices = opts.confirm !== 'quorum';
    const askedAtMs = clock.nowMs();
    // Every wait ends when the term does, so that none needs an abort signal.
    while (!this.stopped && this.host.commitIndex < this.noopIndex) await this.applied.wait();
    const readIndex = this.host.commitIndex;
    while (
      !this.stopped &&
      !(leaseSuffices && this.leaseValid()) &&
      this.quorumAckMs() < askedAtMs
    ) {
      await this.acknowledged.wait();
    }
    while (!this.stopped && this.host.appliedIndex < readIndex) await this.applied.wait();
    if (this.stopped) throw new MedlarlaneError('NOT_LEADER');
  }

  /** Called by the replica after it applied an entry. */
  entryApplied(index: number, outcome: {result: unknown} | {failure: MedlarlaneError}): void {
    const waiter = this.waiters.get(index);
    this.waiters.delete(index);
    if ('failure' in outcome) waiter?.reject(outcome.failure);
    else waiter?.resolve({index, result: outcome.result});
    this.applied.notify();
  }

  commitAdvanced(): void {
    this.logChanged.notify();
  }

  /** Whether a majority acknowledged a message sent within the lease time. */
  leaseValid(): boolean {
    const {clock, timings} = this.host;
    return !this.stopped && clock.nowMs() - this.quorumAckMs() < timings.leaderLeaseMs;
  }

  peerStatus(): Record<string, PeerStatus> {
    const nowMs = this.host.clock.nowMs();
    return Object.fromEntries(
      [...this.peers.values()].map((peer) => [
        peer.replicaId,
        {
          matchIndex: peer.matchIndex,
          reachable: nowMs - peer.ackedSentAtMs < this.host.timings.leaderLeaseMs,
          caughtUp: this.isCaughtUp(peer),
          failed: peer.failed,
        },
      ]),
    );
  }

  /** Voters that may be lost now while the others still make a majority that has caught up. */
  lossesTolerated(): number {
    const {members} = this.host.log;
    const status = this.peerStatus();
    const healthy = members.voters.filter((id) => {
      if (id === this.host.replicaId) return true;
      const peer = status[id];
      return peer !== undefined && peer.reachable && peer.caughtUp && !peer.failed;
    });
    return Math.max(0, healthy.length - quorumSize(members));
  }

  private requireCaughtUp(replicaId: string): void {
    const peer = this.peers.get(replicaId);
    const status = this.peerStatus()[replicaId];
    if (peer && status?.reachable && status.caughtUp && !status.failed) return;
    throw new MedlarlaneError('REPLICA_BEHIND', `Replica ${replicaId} has not caught up`, {
      details: {matchIndex: peer?.matchIndex ?? 0, commitIndex: this.host.commitIndex},
    });
  }

  private isCaughtUp(peer: Peer): boolean {
    // An entry of this term proves that the peer holds all that earlier terms committed.
    const needed = Math.max(this.noopIndex, this.host.commitIndex - CAUGHT_UP_LAG_ENTRIES);
    return peer.matchIndex >= needed;
  }

  /** Appends entries of this term to the log, in memory at once and on disk in the background. */
  private appendEntries(items: ReadonlyArray<{kind: EntryKind; payload: Uint8Array}>): {
    indexes: number[];
    durable: Promise<void>;
  } {
    const {log} = this.host;
    const first = log.lastIndex + 1;
    const entries: LogEntry[] = items.map(({kind, payload}, i) => ({
      index: first + i,
      term: this.term,
      kind,
      payload,
    }));
    log.append(entries);
    const lastIndex = log.lastIndex;
    this.logChanged.notify();
    const durable = this.host.write({entries}).then(
      () => {
        if (this.stopped) return;
        this.durableIndex = Math.max(this.durableIndex, lastIndex);
        this.advanceCommit();
      },
      // The replica gives up leadership when its log fails.
      () => undefined,
    );
    return {indexes: entries.map(({index}) => index), durable};
  }

  /** Appends all waiting proposals as one batch; the next ones gather during its sync. */
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
      indexes.forEach((index, i) => this.waiters.set(index, batch[i]!));
      await durable;
    }
  }

  /** Steps down when no majority has answered for the longest election timeout. */
  private async watchQuorum(signal: AbortSignal): Promise<void> {
    const {clock, timings} = this.host;
    while (!signal.aborted) {
      await pause(clock, timings.heartbeatIntervalMs, signal);
      const heardMs = Math.max(this.quorumAckMs(), this.startedAtMs);
      if (clock.nowMs() - heardMs > timings.electionTimeoutMaxMs)
        return this.host.follow(this.term);
    }
  }

  /** Time for which a majority is known to have followed this leader. */
  private quorumAckMs(): number {
    const {log, replicaId, clock} = this.host;
    const nowMs = clock.nowMs();
    return quorumValue(
      log.members.voters.map((id) =>
        id === replicaId ? nowMs : (this.peers.get(id)?.ackedSentAtMs ?? -Infinity),
      ),
    );
  }

  private advanceCommit(): void {
    const {log, replicaId} = this.host;
    const index = quorumValue(
      log.members.voters.map((id) =>
        id === replicaId ? this.durableIndex : (this.peers.get(id)?.matchIndex ?? 0),
      ),
    );
    // Only entries of the own term commit by counting; earlier ones commit with them.
    if (index > this.host.commitIndex && log.termAt(index) === this.term) this.host.commit(index);
  }

  /** Starts and ends the tasks of peers so that they match the newest member set. */
  private syncPeers(): void {
    const {log, replicaId} = this.host;
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
      sentCommitIndex: 0,
      ackedSentAtMs: -Infinity,
      failed: false,
    };
    this.peers.set(replicaId, peer);
    this.tasks.run(`replicate to ${replicaId}`, () => this.replicate(peer, abort.signal));
    this.tasks.run(`heartbeat to ${replicaId}`, () => this.sendHeartbeats(peer, abort.signal));
  }

  /** Sends entries and the commit index whenever the peer lacks some. */
  private async replicate(peer: Peer, signal: AbortSignal): Promise<void> {
    const {log, clock, timings} = this.host;
    while (!signal.aborted) {
      if (peer.nextIndex > log.lastIndex && peer.sentCommitIndex >= this.host.commitIndex) {
        await this.logChanged.wait(signal);
        continue;
      }
      const sent =
        log.termAt(peer.nextIndex - 1) === undefined
          ? await this.sendSnapshot(peer, signal)
          : await this.sendEntries(peer, signal);
      if (!sent) await pause(clock, timings.heartbeatIntervalMs, signal);
    }
  }

  private async sendEntries(peer: Peer, signal: AbortSignal): Promise<boolean> {
    const entries = this.host.log.slice(peer.nextIndex, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES);
    const request = this.appendRequest(peer.nextIndex - 1, entries);
    const timeoutMs = this.host.timings.appendTimeoutMs;
    const response = await this.callPeer(peer, request, timeoutMs, signal);
    if (!response || response.failed) return false;
    if (response.success) {
      peer.sentCommitIndex = request.commitIndex;
      // The answer to an empty append may lag behind what an earlier one acknowledged.
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
    const {snapshot} = this.host.log;
    if (!snapshot) throw new Error('Entries are missing without a snapshot');
    const request: InstallSnapshotRequest = {
      kind: 'installSnapshot',
      term: this.term,
      leaderId: this.host.replicaId,
      lastIndex: snapshot.index,
      lastTerm: snapshot.term,
      members: snapshot.members,
      payload: snapshot.payload,
    };
    const timeoutMs = this.host.timings.snapshotTimeoutMs;
    const response = await this.callPeer(peer, request, timeoutMs, signal);
    if (!response?.success) return false;
    peer.matchIndex = Math.max(peer.matchIndex, snapshot.index);
    peer.nextIndex = peer.matchIndex + 1;
    this.advanceCommit();
    return true;
  }

  /** Keeps the lease alive while entries or a snapshot are under way on the other task. */
  private async sendHeartbeats(peer: Peer, signal: AbortSignal): Promise<void> {
    const {log, clock, timings} = this.host;
    while (!signal.aborted) {
      const sentAtMs = clock.nowMs();
      const matchKnown = log.termAt(peer.matchIndex) !== undefined;
      const request = this.appendRequest(matchKnown ? peer.matchIndex : log.lastIndex, []);
      const response = await this.callPeer(peer, request, timings.callTimeoutMs, signal);
      if (response && !response.success && matchKnown && response.lastIndex < peer.matchIndex) {
        // The peer no longer holds what it acknowledged, as after the loss of its disk.
        peer.matchIndex = response.lastIndex;
        peer.nextIndex = response.lastIndex + 1;
        this.logChanged.notify();
      }
      const spentMs = clock.nowMs() - sentAtMs;
      await pause(clock, Math.max(0, timings.heartbeatIntervalMs - spentMs), signal);
    }
  }

  private appendRequest(previousIndex: number, entries: LogEntry[]): AppendRequest {
    return {
      kind: 'append',
      term: this.term,
      leaderId: this.host.replicaId,
      previousIndex,
      previousTerm: this.host.log.termAt(previousIndex)!,
      entries,
      commitIndex: this.host.commitIndex,
    };
  }

  /** Calls a peer; `undefined` when it did not answer in time or this term is over. */
  private async callPeer<R extends AppendRequest | InstallSnapshotRequest>(
    peer: Peer,
    request: R,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<ResponseTo<R> | undefined> {
    const sentAtMs = this.host.clock.nowMs();
    const answered = await this.host
      .call(peer.replicaId, peer.address, request, {timeoutMs, signal})
      .catch(() => undefined);
    if (!answered || signal.aborted || this.stopped) return undefined;
    const response: AppendResponse | InstallSnapshotResponse = answered;
    if (response.term > this.term) {
      this.host.follow(response.term);
      return undefined;
    }
    if (response.kind === 'append') peer.failed = response.failed;
    if (response.term === this.term && !peer.failed) {
      peer.ackedSentAtMs = Math.max(peer.ackedSentAtMs, sentAtMs);
      this.acknowledged.notify();
    }
    return answered;
  }
}
