import {z} from 'zod';
import type {MemberChange, Replica} from '@medlarlane/consensus';
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

/** Keeps the number of voters of the replicated log at its target. Runs on the leader. */
export class MemberManager {
  private readonly joinRequests = new Map<string, {address: string; requestedAtMs: number}>();
  private readonly unreachableSinceMs = new Map<string, number>();
  private isChanging = false;

  constructor(private readonly opts: MemberManagerOptions) {}

  /** Records the request of a replica to become a voter. */
  join({replicaId, address}: JoinRequest): void {
    this.joinRequests.set(replicaId, {address, requestedAtMs: this.opts.clock.nowMs()});
  }

  /** Discards the reachability observed in an earlier term. */
  reset(): void {
    this.unreachableSinceMs.clear();
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
    const {replica, clock, targetVoterCount} = this.opts;
    const {members, peers} = replica.status();
    if (!peers) return undefined;
    const nowMs = clock.nowMs();
    for (const [id, {requestedAtMs}] of this.joinRequests) {
      if (nowMs - requestedAtMs > JOIN_REQUEST_TTL_MS) this.joinRequests.delete(id);
    }
    for (const [id, {reachable}] of Object.entries(peers)) {
      if (reachable) this.unreachableSinceMs.delete(id);
      else if (!this.unreachableSinceMs.has(id)) this.unreachableSinceMs.set(id, nowMs);
    }
    const all = [...members.voters, ...members.learners];
    for (const [id, {address}] of this.joinRequests) {
      // Only one process serves an address, so the former replica at it has permanently lost its disk.
      const formerReplica = all.find(
        (other) => other !== id && members.addresses[other] === address,
      );
      if (formerReplica) return {kind: 'remove', replicaId: formerReplica};
      if (!all.includes(id)) return {kind: 'addLearner', replicaId: id, address};
    }
    const isUnreachable = (id: string): boolean =>
      nowMs - (this.unreachableSinceMs.get(id) ?? nowMs) > VOTER_REPLACEMENT_DELAY_MS;
    const learner = members.learners.find((id) => peers[id]?.reachable && peers[id].caughtUp);
    if (learner && members.voters.length < targetVoterCount) {
      return {kind: 'promote', replicaId: learner};
    }
    const unreachableVoter = members.voters.find(isUnreachable);
    if (learner && unreachableVoter) return {kind: 'remove', replicaId: unreachableVoter};
    const unreachableLearner = members.learners.find(
      (id) => isUnreachable(id) && !this.joinRequests.has(id),
    );
    return unreachableLearner === undefined
      ? undefined
      : {kind: 'remove', replicaId: unreachableLearner};
  }
}
