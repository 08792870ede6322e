import {z} from 'zod';
import type {MemberChange, Replica} from '@medlarlane/consensus';
import {toMedlarlaneError} from '@medlarlane/errors';
import type {Clock} from '@medlarlane/lifecycle';
import type {Logger} from '@medlarlane/logger';

export const joinRequestSchema = z.object({
  replicaId: z.string(),
  address: z.string(),
  /** Passed on by a replica that is not the leader; it is not passed on again. */
  relayed: z.boolean().optional(),
});
export type JoinRequest = z.infer<typeof joinRequestSchema>;

export interface MemberManagerOptions {
  readonly replica: Replica;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Voters to aim for: one more than twice the instances that may be lost at once. */
  readonly targetVoterCount: number;
}

/** A voter that is silent for longer is replaced when a learner stands by. */
const REPLACE_VOTER_AFTER_MS = 3_000;
/** A joiner repeats its request every second; after this time it is gone. */
const JOINER_FORGOTTEN_AFTER_MS = 5_000;

/** Keeps the member set of the replicated log at its size, on the leader. */
export class MemberManager {
  private readonly joiners = new Map<string, {address: string; askedAtMs: number}>();
  private readonly silentSinceMs = new Map<string, number>();
  private changing = false;

  constructor(private readonly opts: MemberManagerOptions) {}

  /** A replica that is no voter asks to become one. */
  join({replicaId, address}: JoinRequest): void {
    this.joiners.set(replicaId, {address, askedAtMs: this.opts.clock.nowMs()});
  }

  /** Forgets what an earlier term saw. */
  reset(): void {
    this.silentSinceMs.clear();
  }

  /** Makes at most one change. */
  async reconcile(): Promise<void> {
    if (this.changing) return;
    const change = this.nextChange();
    if (!change) return;
    this.changing = true;
    const {replica, logger} = this.opts;
    try {
      await replica.changeMembers(change);
      logger.info({change, members: replica.status().members}, 'Member set changed');
    } catch (thrown) {
      const {code} = toMedlarlaneError(thrown);
      logger.warn({change, code}, 'Member change failed');
    } finally {
      this.changing = false;
    }
  }

  private nextChange(): MemberChange | undefined {
    const {replica, clock, targetVoterCount: voterCount} = this.opts;
    const {members, peers} = replica.status();
    if (!peers) return undefined;
    const nowMs = clock.nowMs();
    for (const [id, {askedAtMs}] of this.joiners) {
      if (nowMs - askedAtMs > JOINER_FORGOTTEN_AFTER_MS) this.joiners.delete(id);
    }
    for (const [id, {reachable}] of Object.entries(peers)) {
      if (reachable) this.silentSinceMs.delete(id);
      else if (!this.silentSinceMs.has(id)) this.silentSinceMs.set(id, nowMs);
    }
    const all = [...members.voters, ...members.learners];
    for (const [id, {address}] of this.joiners) {
      // One process serves an address, so the former replica there has lost its disk for good.
      const former = all.find((other) => other !== id && members.addresses[other] === address);
      if (former) return {kind: 'remove', replicaId: former};
      if (!all.includes(id)) return {kind: 'addLearner', replicaId: id, address};
    }
    const isSilent = (id: string): boolean =>
      nowMs - (this.silentSinceMs.get(id) ?? nowMs) > REPLACE_VOTER_AFTER_MS;
    const learner = members.learners.find((id) => peers[id]?.reachable && peers[id].caughtUp);
    if (learner && members.voters.length < voterCount) {
      return {kind: 'promote', replicaId: learner};
    }
    const silentVoter = members.voters.find(isSilent);
    if (learner && silentVoter) return {kind: 'remove', replicaId: silentVoter};
    const silentLearner = members.learners.find((id) => isSilent(id) && !this.joiners.has(id));
    return silentLearner === undefined ? undefined : {kind: 'remove', replicaId: silentLearner};
  }
}
