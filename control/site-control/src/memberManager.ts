import {z} from 'zod';
import type {MemberChange, PeerStatus, Replica} from '@medlarlane/consensus';
import {toMedlarlaneError} from '@medlarlane/errors';
import type {Clock} from '@medlarlane/lifecycle';
import type {Logger} from '@medlarlane/logger';

export const joinRequestSchema = z.object({
  replicaId: z.string(),
  address: z.string(),
  /** Whether a follower has forwarded the request, which must not be forwarded again. */
  relayed: z.boolean().optional(),
});
export type JoinRequest = z.infer<typeof joinRequestSchema>;

/** Announces that a replica is about to stop. */
export const leaveRequestSchema = z.object({replicaId: z.string()});
export type LeaveRequest = z.infer<typeof leaveRequestSchema>;

export const leaveResponseSchema = z.object({
  /** Whether the replica is a voter and another replica takes over its vote. */
  isBeingReplaced: z.boolean(),
  /**
   * Whether the leader counts the replica as a voter, which the log of a removed replica does not tell. Leaders
   * of earlier versions do not state it.
   */
  isVoter: z.boolean().default(true),
});
export type LeaveResponse = z.infer<typeof leaveResponseSchema>;

export interface MemberManagerOptions {
  readonly replica: Replica;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Desired number of voters: 2f + 1 to tolerate the loss of f instances at once. */
  readonly targetVoterCount: number;
}

/** A voter that is unreachable for longer is replaced when a learner is available. */
const VOTER_REPLACEMENT_DELAY_MS = 3_000;
/** A joining replica repeats its request every second; a request that is not repeated within this time is dropped. */
const JOIN_REQUEST_TTL_MS = 5_000;
/** A stopping replica repeats its announcement until it stops. One that is still reachable later has restarted. */
const STOPPING_TTL_MS = 2_000;
/** A join request that was held up on its way arrives within this time. */
const LATE_JOIN_REQUEST_MS = 10_000;

/** Keeps the number of voters of the replicated log at its target. Runs on the leader. */
export class MemberManager {
  private readonly joinRequests = new Map<string, {address: string; requestedAtMs: number}>();
  private readonly unreachableSinceMs = new Map<string, number>();
  /** Time of the last announcement of each replica that is stopping or has stopped. */
  private readonly stoppingSinceMs = new Map<string, number>();
  /** Time at which another replica took over the address of a replica. */
  private readonly replacedAtMs = new Map<string, number>();
  private isChanging = false;

  constructor(private readonly opts: MemberManagerOptions) {}

  /**
   * Records the request of a replica to become a voter. A replica whose disk was lost since it sent the request
   * is not recorded, so that it does not replace its successor at the address.
   */
  join({replicaId, address}: JoinRequest): void {
    const {logger, clock} = this.opts;
    const nowMs = clock.nowMs();
    const replacedAtMs = this.replacedAtMs.get(replicaId);
    const isLate = replacedAtMs !== undefined && nowMs - replacedAtMs <= LATE_JOIN_REQUEST_MS;
    const currentReplica = this.findOtherAt(address, replicaId);
    if (isLate || (currentReplica !== undefined && this.isResponding(currentReplica))) {
      logger.info(
        {replicaId, address, currentReplica},
        'Ignored join request of a replaced replica',
      );
      return;
    }
    this.joinRequests.set(replicaId, {address, requestedAtMs: nowMs});
  }

  /**
   * Records that a replica is about to stop, so that a learner takes over its vote before, or as soon as
   * one has caught up.
   */
  leave({replicaId}: LeaveRequest): LeaveResponse {
    const {replica, clock, logger, targetVoterCount} = this.opts;
    const {members} = replica.status();
    const {voters} = members;
    if (!this.stoppingSinceMs.has(replicaId)) logger.info({replicaId, members}, 'Replica stops');
    this.stoppingSinceMs.set(replicaId, clock.nowMs());
    this.joinRequests.delete(replicaId);
    const hasSuccessor = voters.length > targetVoterCount || this.findSuccessor() !== undefined;
    const isVoter = voters.includes(replicaId);
    return {isBeingReplaced: isVoter && hasSuccessor, isVoter};
  }

  /** Discards what was observed in an earlier term. */
  reset(): void {
    this.unreachableSinceMs.clear();
    this.stoppingSinceMs.clear();
  }

  /** Makes at most one member change. */
  async reconcile(): Promise<void> {
    if (this.isChanging) return;
    const change = this.nextChange();
    if (!change) return;
    this.isChanging = true;
    const {replica, logger} = this.opts;
    try {
      await replica.changeMembers(change);
      logger.info({change, members: replica.status().members}, 'Member set changed');
    } catch (thrown) {
      const {code} = toMedlarlaneError(thrown);
      logger.warn({change, code}, 'Member change failed');
    } finally {
      this.isChanging = false;
    }
  }

  private nextChange(): MemberChange | undefined {
    const {peers} = this.opts.replica.status();
    if (!peers) return undefined;
    this.updateObservations(peers);
    return this.nextJoin() ?? this.nextReplacement();
  }

  private updateObservations(peers: Readonly<Record<string, PeerStatus>>): void {
    const nowMs = this.opts.clock.nowMs();
    for (const [id, {requestedAtMs}] of this.joinRequests) {
      if (nowMs - requestedAtMs > JOIN_REQUEST_TTL_MS) this.joinRequests.delete(id);
    }
    for (const [id, {reachable}] of Object.entries(peers)) {
      if (reachable) this.unreachableSinceMs.delete(id);
      else if (!this.unreachableSinceMs.has(id)) this.unreachableSinceMs.set(id, nowMs);
    }
    for (const [id, announcedAtMs] of this.stoppingSinceMs) {
      const isMember = peers[id] !== undefined || id === this.opts.replica.replicaId;
      const hasRestarted = peers[id]?.reachable === true && nowMs - announcedAtMs > STOPPING_TTL_MS;
      if (hasRestarted || !isMember) this.stoppingSinceMs.delete(id);
    }
  }

  private nextJoin(): MemberChange | undefined {
    const {members} = this.opts.replica.status();
    const all = [...members.voters, ...members.learners];
    for (const [id, {address}] of this.joinRequests) {
      // Only one process serves an address, so the former replica at it has permanently lost its disk.
      const formerReplica = this.findOtherAt(address, id);
      if (formerReplica) {
        this.recordReplaced(formerReplica);
        return {kind: 'remove', replicaId: formerReplica};
      }
      if (!all.includes(id)) return {kind: 'addLearner', replicaId: id, address};
    }
    return undefined;
  }

  private nextReplacement(): MemberChange | undefined {
    const {replica, clock, targetVoterCount} = this.opts;
    const {voters, learners} = replica.status().members;
    const nowMs = clock.nowMs();
    const isUnreachable = (id: string): boolean =>
      nowMs - (this.unreachableSinceMs.get(id) ?? nowMs) > VOTER_REPLACEMENT_DELAY_MS;
    const successor = this.findSuccessor();
    const stoppingVoter = voters.find((id) => this.stoppingSinceMs.has(id));
    const unreachableVoter = voters.find(isUnreachable);
    const isShort = voters.length < targetVoterCount;
    const canSwap = voters.length === targetVoterCount && stoppingVoter !== undefined;
    // The successor is promoted first, so that the group bears as many losses throughout the swap.
    if (successor && (isShort || canSwap)) return {kind: 'promote', replicaId: successor};
    const surplusVoter = stoppingVoter ?? unreachableVoter;
    if (voters.length > targetVoterCount && surplusVoter)
      return {kind: 'remove', replicaId: surplusVoter};
    if (successor && unreachableVoter) return {kind: 'remove', replicaId: unreachableVoter};
    const unreachableLearner = learners.find(
      (id) => isUnreachable(id) && !this.joinRequests.has(id),
    );
    return unreachableLearner === undefined
      ? undefined
      : {kind: 'remove', replicaId: unreachableLearner};
  }

  /** A learner that can become a voter now. */
  private findSuccessor(): string | undefined {
    const {members, peers} = this.opts.replica.status();
    return members.learners.find(
      (id) => peers?.[id]?.reachable && peers[id].caughtUp && !this.stoppingSinceMs.has(id),
    );
  }

  /** Another member at an address. */
  private findOtherAt(address: string, replicaId: string): string | undefined {
    const {voters, learners, addresses} = this.opts.replica.status().members;
    return [...voters, ...learners].find((id) => id !== replicaId && addresses[id] === address);
  }

  private isResponding(replicaId: string): boolean {
    const {replica} = this.opts;
    return (
      replicaId === replica.replicaId || replica.status().peers?.[replicaId]?.reachable === true
    );
  }

  private recordReplaced(replicaId: string): void {
    const nowMs = this.opts.clock.nowMs();
    this.joinRequests.delete(replicaId);
    for (const [id, atMs] of this.replacedAtMs) {
      if (nowMs - atMs > LATE_JOIN_REQUEST_MS) this.replacedAtMs.delete(id);
    }
    this.replacedAtMs.set(replicaId, nowMs);
  }
}
