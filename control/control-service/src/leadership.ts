import type {Replica} from '@medlarlane/consensus';
import type {CommandResult} from '@medlarlane/control-state';
import {MedlarlaneError} from '@medlarlane/errors';
import type {LeaseTable} from '@medlarlane/leases';
import {encodeValue} from '@medlarlane/model';
import type {Command} from '@medlarlane/model';
import type {ControlStateMachine} from './controlStateMachine.js';

export interface LeadershipOptions {
  readonly replica: Replica;
  readonly machine: ControlStateMachine;
  readonly leases: LeaseTable;
}

/** Leadership state of this replica; proposes commands and renews leases while it leads. */
export class Leadership {
  private leaseTerm = -1;

  constructor(private readonly opts: LeadershipOptions) {}

  /** Whether this replica is the leader. On the first call of a term every session gets one full lease. */
  isLeader(): boolean {
    const {replica, machine, leases} = this.opts;
    if (!replica.isLeader()) return false;
    if (this.leaseTerm !== replica.term) {
      this.leaseTerm = replica.term;
      leases.reset(machine.state.allSessions().map(({sessionId}) => sessionId));
    }
    return true;
  }

  /** Extends a lease, unless another leader may have been elected. */
  renew(sessionId: number, appliedIndex: number): 'renewed' | 'ended' | 'no-quorum' {
    if (!this.isLeader() || !this.opts.replica.isLeaderLeaseValid()) return 'no-quorum';
    return this.opts.leases.renew(sessionId, appliedIndex) ? 'renewed' : 'ended';
  }

  /**
   * Commits a command and returns its result, which may be a rejection.
   * @throws MedlarlaneError `NOT_LEADER` or `COMMIT_UNKNOWN`.
   */
  async propose(command: Command): Promise<CommandResult> {
    const {result} = await this.opts.replica.propose(encodeValue(command));
    return result as CommandResult;
  }

  /** Commits the end of a session. Its renewals fail from the start of the call. */
  async endSession(sessionId: number, reason: string): Promise<void> {
    this.opts.leases.markEnding(sessionId);
    await this.propose({kind: 'endSession', sessionId, reason});
  }

  notLeaderError(): MedlarlaneError {
    return new MedlarlaneError('NOT_LEADER', undefined, {
      details: {leaderAddress: this.leaderAddress()},
    });
  }

  /** Control address of the leader, or an empty string when the leader is unknown. */
  leaderAddress(): string {
    const {replica} = this.opts;
    const {leaderId} = replica;
    return leaderId === undefined ? '' : (replica.status().members.addresses[leaderId] ?? '');
  }
}
