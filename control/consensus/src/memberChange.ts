import {MedlarlaneError} from '@medlarlane/errors';
import type {MemberSet} from '@medlarlane/log-store';

/** A change to the members of a group. */
export type MemberChange =
  | {readonly kind: 'addLearner'; readonly replicaId: string; readonly address: string}
  | {readonly kind: 'promote'; readonly replicaId: string}
  | {readonly kind: 'remove'; readonly replicaId: string};

/**
 * Returns the member set after a change, or `undefined` when the change is already in effect.
 * @throws MedlarlaneError `REQUEST_INVALID` when the change cannot be applied to `members`.
 */
export function applyMemberChange(members: MemberSet, change: MemberChange): MemberSet | undefined {
  const {voters, learners, addresses} = members;
  const {replicaId} = change;
  switch (change.kind) {
    case 'addLearner': {
      const isMember = voters.includes(replicaId) || learners.includes(replicaId);
      if (isMember && addresses[replicaId] === change.address) return undefined;
      if (isMember)
        throw createInvalidRequestError(`Replica ${replicaId} is a member with another address`);
      return {
        voters,
        learners: [...learners, replicaId],
        addresses: {...addresses, [replicaId]: change.address},
      };
    }
    case 'promote':
      if (voters.includes(replicaId)) return undefined;
      if (!learners.includes(replicaId))
        throw createInvalidRequestError(`Replica ${replicaId} is not a learner`);
      return {
        voters: [...voters, replicaId],
        learners: withoutReplica(learners, replicaId),
        addresses,
      };
    case 'remove': {
      if (!voters.includes(replicaId) && !learners.includes(replicaId)) return undefined;
      if (voters.length === 1 && voters.includes(replicaId)) {
        throw createInvalidRequestError('The last voter cannot be removed');
      }
      return {
        voters: withoutReplica(voters, replicaId),
        learners: withoutReplica(learners, replicaId),
        addresses: Object.fromEntries(Object.entries(addresses).filter(([id]) => id !== replicaId)),
      };
    }
  }
}

/** Number of replicas that form a majority of the voters. */
export function quorumSize(members: MemberSet): number {
  return Math.floor(members.voters.length / 2) + 1;
}

/**
 * Returns the highest value that a majority of the voters has reached, given one value per voter.
 */
export function quorumValue(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => b - a);
  return sorted[Math.floor(sorted.length / 2)] ?? -Infinity;
}

function withoutReplica(ids: readonly string[], replicaId: string): string[] {
  return ids.filter((id) => id !== replicaId);
}

function createInvalidRequestError(message: string): MedlarlaneError {
  return new MedlarlaneError('REQUEST_INVALID', message);
}
