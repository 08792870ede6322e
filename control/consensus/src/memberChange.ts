import {MedlarlaneError} from '@medlarlane/errors';
import type {MemberSet} from '@medlarlane/log-store';

/** One change of the members of a group. */
export type MemberChange =
  | {readonly kind: 'addLearner'; readonly replicaId: string; readonly address: string}
  | {readonly kind: 'promote'; readonly replicaId: string}
  | {readonly kind: 'remove'; readonly replicaId: string};

/**
 * Returns the member set after a change, or `undefined` when the change is already in force.
 * @throws MedlarlaneError `REQUEST_INVALID` when the change is impossible.
 */
export function applyMemberChange(members: MemberSet, change: MemberChange): MemberSet | undefined {
  const {voters, learners, addresses} = members;
  const {replicaId} = change;
  switch (change.kind) {
    case 'addLearner': {
      const known = voters.includes(replicaId) || learners.includes(replicaId);
      if (known && addresses[replicaId] === change.address) return undefined;
      if (known) throw invalid(`Replica ${replicaId} is a member with another address`);
      return {
        voters,
        learners: [...learners, replicaId],
        addresses: {...addresses, [replicaId]: change.address},
      };
    }
    case 'promote':
      if (voters.includes(replicaId)) return undefined;
      if (!learners.includes(replicaId)) throw invalid(`Replica ${replicaId} is not a learner`);
      return {voters: [...voters, replicaId], learners: without(learners, replicaId), addresses};
    case 'remove': {
      if (!voters.includes(replicaId) && !learners.includes(replicaId)) return undefined;
      if (voters.length === 1 && voters.includes(replicaId)) {
        throw invalid('The last voter cannot be removed');
      }
      return {
        voters: without(voters, replicaId),
        learners: without(learners, replicaId),
        addresses: Object.fromEntries(Object.entries(addresses).filter(([id]) => id !== replicaId)),
      };
    }
  }
}

/** Replicas that make a majority of the voters. */
export function quorumSize(members: MemberSet): number {
  return Math.floor(members.voters.length / 2) + 1;
}

/** Of one value per voter, the highest that a majority reaches. */
export function quorumValue(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => b - a);
  return sorted[Math.floor(sorted.length / 2)] ?? -Infinity;
}

function without(ids: readonly string[], replicaId: string): string[] {
  return ids.filter((id) => id !== replicaId);
}

function invalid(message: string): MedlarlaneError {
  return new MedlarlaneError('REQUEST_INVALID', message);
}
