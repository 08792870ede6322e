import type {Replica} from '@medlarlane/consensus';
import {toMedlarlaneError} from '@medlarlane/errors';
import type {Clock} from '@medlarlane/lifecycle';
import type {Logger} from '@medlarlane/logger';
import type {JoinRequest, MemberManager} from './memberManager.js';

export interface GroupJoinOptions {
  readonly replica: Replica;
  /** Member manager of this process, which acts while the replica leads. */
  readonly members: Pick<MemberManager, 'join'>;
  /** Address, as `host:port`, at which other replicas reach this one. */
  readonly ownAddress: string;
  /** Addresses of replicas that may already be running. */
  readonly seeds: () => readonly string[];
  /** Whether the replica is giving up its vote, so that it must not ask for one. */
  readonly isLeaving: () => boolean;
  /** Sends a request to the replica at an address; rejects when it gets no response. */
  readonly send: (
    address: string,
    request: JoinRequest,
    opts: {signal?: AbortSignal},
  ) => Promise<unknown>;
  readonly clock: Clock;
  readonly logger: Logger;
}

export interface GroupJoin {
  /** Handles the request of another replica to join: the leader records it, a follower passes it on. */
  handle(request: JoinRequest): Promise<void>;
  /** Requests to join whenever this replica may not be a voter, until the signal aborts. */
  run(signal: AbortSignal): Promise<void>;
}

const JOIN_INTERVAL_MS = 500;

/**
 * Creates the part of a control replica that gets it into the group of voters. The leader stops replicating to
 * a replica that it removes, so the log of the removed replica may list it as a voter forever. Therefore a
 * replica without contact to a leader also requests to join; the leader ignores the request of a member.
 */
export function createGroupJoin(opts: GroupJoinOptions): GroupJoin {
  const {replica, members, ownAddress, seeds, isLeaving, send, clock, logger} = opts;
  const findReason = (): 'no-vote' | 'no-leader' | undefined => {
    const {members: known, hasLeaderContact} = replica.status();
    if (isLeaving()) return undefined;
    if (!known.voters.includes(replica.replicaId)) return 'no-vote';
    return hasLeaderContact ? undefined : 'no-leader';
  };
  const requestJoin = async (signal: AbortSignal): Promise<void> => {
    const known = Object.values(replica.status().members.addresses);
    const others = new Set([...seeds(), ...known].filter((address) => address !== ownAddress));
    const request = {replicaId: replica.replicaId, address: ownAddress};
    await Promise.all(
      [...others].map((address) =>
        send(address, request, {signal}).catch((thrown: unknown) => {
          const {code} = toMedlarlaneError(thrown);
          logger.debug({address, code}, 'Join request got no response');
        }),
      ),
    );
  };
  return {
    handle: async (request) => {
      const {leaderId, members: known, hasLeaderContact} = replica.status();
      if (replica.isLeader()) return members.join(request);
      const leaderAddress = leaderId === undefined ? undefined : known.addresses[leaderId];
      // A joining replica knows only the seeds, and the leader may be none of them.
      if (leaderAddress === undefined || leaderAddress === ownAddress || !hasLeaderContact) return;
      if (!request.relayed) await send(leaderAddress, {...request, relayed: true}, {});
    },
    run: async (signal) => {
      let previousReason: string | undefined;
      while (!signal.aborted) {
        const reason = findReason();
        if (reason !== previousReason) {
          const {members: known, term} = replica.status();
          logger.info({reason, members: known, term}, 'Reason to request to join changed');
        }
        previousReason = reason;
        if (reason !== undefined) await requestJoin(signal);
        await clock.sleep(JOIN_INTERVAL_MS, {signal});
      }
    },
  };
}
