import type {Replica} from '@medlarlane/consensus';
import {toMedlarlaneError} from '@medlarlane/errors';
import type {Clock} from '@medlarlane/lifecycle';
import type {Logger} from '@medlarlane/logger';
import type {RpcClient} from '@medlarlane/rpc';
import {leaveResponseSchema} from '@medlarlane/site-control';
import type {LeaveResponse, MemberManager} from '@medlarlane/site-control';

export interface LeaveGroupOptions {
  readonly replica: Replica;
  /** Member manager of this process, which acts while the replica leads. */
  readonly members: Pick<MemberManager, 'leave'>;
  readonly rpc: RpcClient;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Two member changes and an election fit in; the stop of the process must not wait for longer. */
const MAX_LEAVE_MS = 3_000;
const ANNOUNCE_INTERVAL_MS = 100;
const ANNOUNCE_TIMEOUT_MS = 400;

/**
 * Announces to the leader that this replica stops and waits until its vote was handed over, so that a planned
 * stop does not reduce the number of losses that the group bears. Ends at once when no replica can take the
 * vote over, and after 3 s at the latest.
 */
export async function leaveGroup(opts: LeaveGroupOptions): Promise<void> {
  const {replica, clock, logger} = opts;
  const isVoter = (): boolean => replica.status().members.voters.includes(replica.replicaId);
  const deadlineMs = clock.nowMs() + MAX_LEAVE_MS;
  // A leader that has removed itself leads until the change is committed.
  while ((isVoter() || replica.isLeader()) && clock.nowMs() < deadlineMs) {
    const response = isVoter() ? await announce(opts) : undefined;
    // The log of a replica that was removed may list it as a voter.
    if (response && !response.isVoter && !replica.isLeader()) break;
    if (response?.isVoter && !response.isBeingReplaced) {
      logger.info({}, 'No replica can take over the vote');
      return;
    }
    await clock.sleep(ANNOUNCE_INTERVAL_MS);
  }
  logger.info({members: replica.status().members}, 'Left the group of voters');
}

/** Returns the response of the leader; `undefined` when there is none. */
async function announce({
  replica,
  members,
  rpc,
  logger,
}: LeaveGroupOptions): Promise<LeaveResponse | undefined> {
  const {leaderId, members: known} = replica.status();
  const request = {replicaId: replica.replicaId};
  if (replica.isLeader()) return members.leave(request);
  const address = leaderId === undefined ? undefined : known.addresses[leaderId];
  if (address === undefined || leaderId === replica.replicaId) return undefined;
  try {
    const timeoutMs = ANNOUNCE_TIMEOUT_MS;
    return leaveResponseSchema.parse(await rpc.call(address, 'leave', request, {timeoutMs}));
  } catch (thrown) {
    logger.info({address, code: toMedlarlaneError(thrown).code}, 'Leader was not told of the stop');
    return undefined;
  }
}
