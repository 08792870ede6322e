import type {Replica} from '@medlarlane/consensus';
import {MedlarlaneError, toMedlarlaneError} from '@medlarlane/errors';
import type {ErrorCode} from '@medlarlane/errors';
import type {Clock} from '@medlarlane/lifecycle';
import type {Logger} from '@medlarlane/logger';
import type {RpcClient, RpcHandler} from '@medlarlane/rpc';
import {configurationChangeSchema, siteConfigurationSchema} from '@medlarlane/site-config';
import type {ConfigurationChange, SiteConfiguration} from '@medlarlane/site-config';
import type {SiteControl} from '@medlarlane/site-control';
import type {ChangeOutcome} from '@medlarlane/site-state';

export interface OperatorDeskOptions {
  readonly control: SiteControl;
  readonly replica: Replica;
  readonly rpc: RpcClient;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Told about each change that an operator asked for here. */
  readonly onOutcome: (outcome: ChangeOutcome['kind']) => void;
}

/** Operators give up on a call after a second and ask another replica. */
const ANSWER_WITHIN_MS = 900;
const RETRY_PAUSE_MS = 60;
/** A leader that does not answer a relayed call by then is probably gone; its successor may. */
const RELAY_WITHIN_MS = 400;
/** The log tells a repeated change from a new one, so that an open outcome may be asked for again. */
const REPEATABLE: ReadonlySet<ErrorCode> = new Set(['NOT_LEADER', 'PEER_FAILED', 'COMMIT_UNKNOWN']);

/** Carries out operators' calls at any replica: here when it leads, else at the leader. */
export class OperatorDesk {
  constructor(private readonly opts: OperatorDeskOptions) {}

  /** @throws MedlarlaneError when the outcome is open or no leader was found in time. */
  async changeConfiguration(change: ConfigurationChange): Promise<ChangeOutcome> {
    const outcome = await this.atLeader(
      () => this.opts.control.changeConfiguration(change),
      async (address, timeoutMs) =>
        (await this.opts.rpc.call(address, 'changeConfiguration', change, {
          timeoutMs,
        })) as ChangeOutcome,
    );
    this.opts.onOutcome(outcome.kind);
    return outcome;
  }

  /** @throws MedlarlaneError when no leader could confirm the newest configuration in time. */
  readConfiguration(): Promise<SiteConfiguration> {
    return this.atLeader(
      () => this.opts.control.readConfiguration(),
      async (address, timeoutMs) =>
        siteConfigurationSchema.parse(
          await this.opts.rpc.call(address, 'readConfiguration', {}, {timeoutMs}),
        ),
    );
  }

  /** Handlers for the calls of other replicas' desks. */
  get handlers(): Record<string, RpcHandler> {
    const {control} = this.opts;
    return {
      changeConfiguration: (payload) =>
        control.changeConfiguration(configurationChangeSchema.parse(payload)),
      readConfiguration: () => control.readConfiguration(),
    };
  }

  /** Repeats the call while no leader is known; a change is told from its resend by its digest. */
  private async atLeader<T>(
    here: () => Promise<T>,
    there: (address: string, timeoutMs: number) => Promise<T>,
  ): Promise<T> {
    const {replica, clock, logger} = this.opts;
    const endsAtMs = clock.nowMs() + ANSWER_WITHIN_MS;
    for (;;) {
      const leftMs = endsAtMs - clock.nowMs();
      if (leftMs <= 0) throw new MedlarlaneError('NO_LEADER');
      try {
        if (replica.isLeader()) return await within(leftMs, here());
        const address = this.leaderAddress();
        if (address !== undefined) return await there(address, Math.min(leftMs, RELAY_WITHIN_MS));
      } catch (thrown) {
        const error = toMedlarlaneError(thrown);
        logger.info({code: error.code}, 'Operator call met no leader');
        if (!REPEATABLE.has(error.code)) throw error;
      }
      await clock.sleep(RETRY_PAUSE_MS);
    }
  }

  private leaderAddress(): string | undefined {
    const {replica} = this.opts;
    const {leaderId, members} = replica.status();
    const known = leaderId !== undefined && leaderId !== replica.replicaId;
    return known ? members.addresses[leaderId] : undefined;
  }
}

function within<T>(timeoutMs: number, work: Promise<T>): Promise<T> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(
      () => reject(new MedlarlaneError('COMMIT_UNKNOWN', 'No majority answered in time')),
      timeoutMs,
    );
    work.then(resolve, reject).finally(() => clearTimeout(timer));
  });
}
