import {randomUUID} from 'node:crypto';
import {z} from 'zod';
import type {Replica} from '@medlarlane/consensus';
import {MedlarlaneError, toMedlarlaneError} from '@medlarlane/errors';
import type {ErrorCode} from '@medlarlane/errors';
import type {Clock} from '@medlarlane/lifecycle';
import type {Logger} from '@medlarlane/logger';
import {hasCallerLeft} from '@medlarlane/rpc';
import type {RpcClient, RpcHandler} from '@medlarlane/rpc';
import {configurationChangeSchema, siteConfigurationSchema} from '@medlarlane/site-config';
import type {ConfigurationChange, SiteConfiguration} from '@medlarlane/site-config';
import type {SiteControl} from '@medlarlane/site-control';
import {evacuationChangeSchema} from '@medlarlane/site-state';
import type {ChangeOutcome, EvacuationChange, EvacuationOutcome} from '@medlarlane/site-state';

export interface ConfigurationServiceOptions {
  readonly control: SiteControl;
  readonly replica: Replica;
  readonly rpc: RpcClient;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called with the outcome of each change that an operator requested at this replica. */
  readonly onOutcome: (outcome: ChangeOutcome['kind']) => void;
}

/** Operators time out after 1 s and call another replica. */
const RESPONSE_TIMEOUT_MS = 900;
const RETRY_DELAY_MS = 60;
/**
 * Time until the close of a connection has been read if the caller closed it before its request was read: after a
 * pause of this machine or a cut, the close can follow the request by a round trip.
 */
const CALLER_CLOSE_MS = 50;
/**
 * A leader that does not respond to a forwarded call within this time has probably failed; the call
 * is retried at its successor.
 */
const FORWARD_TIMEOUT_MS = 400;
/**
 * Errors after which a call is retried. The replicated log deduplicates changes, so that a change
 * with an unknown outcome may be sent again.
 */
const RETRYABLE_CODES: ReadonlySet<ErrorCode> = new Set([
  'NOT_LEADER',
  'PEER_FAILED',
  'COMMIT_UNKNOWN',
]);

const callIndexSchema = z.int();

/** An operator's call as it arrives; the service identifies it. */
export type RequestedEvacuation = Omit<EvacuationChange, 'digest' | 'expectedCallIndex'>;
export type DecidedEvacuation = Exclude<EvacuationOutcome, {kind: 'conflict'}>;

/**
 * Executes operators' calls at any replica: locally on the leader, else by forwarding them to the
 * leader.
 */
export class ConfigurationService {
  constructor(private readonly opts: ConfigurationServiceOptions) {}

  /** @throws MedlarlaneError when the outcome is unknown or no leader was found in time. */
  async changeConfiguration(change: ConfigurationChange): Promise<ChangeOutcome> {
    const outcome = await this.executeAtLeader(
      () => this.opts.control.changeConfiguration(change),
      async (address, timeoutMs) =>
        (await this.opts.rpc.call(address, 'changeConfiguration', change, {
          timeoutMs,
        })) as ChangeOutcome,
    );
    this.opts.onOutcome(outcome.kind);
    return outcome;
  }

  /**
   * Evacuates or restores an availability zone while the signal of the operator's call is not aborted. An operator that
   * has given up may have sent a newer call elsewhere: the operator is still waiting after the latest accepted call was
   * read, and the log applies this one only if no other has been accepted since. All attempts have the same digest, so
   * that copies take effect once.
   * @throws MedlarlaneError `CANCELLED` when the operator has given up; others when the outcome is unknown or no leader
   *     was found in time.
   */
  async changeEvacuation(
    change: RequestedEvacuation,
    {signal}: {signal: AbortSignal},
  ): Promise<DecidedEvacuation> {
    const {control, rpc, clock, logger} = this.opts;
    const deadlineMs = clock.nowMs() + RESPONSE_TIMEOUT_MS;
    const digest = randomUUID();
    for (;;) {
      const [expectedCallIndex] = await Promise.all([
        this.readEvacuationCallIndex(deadlineMs),
        clock.sleep(CALLER_CLOSE_MS),
      ]);
      if (await hasCallerLeft(signal))
        throw new MedlarlaneError('CANCELLED', 'Operator has closed the connection');
      const identified = {...change, digest, expectedCallIndex};
      const outcome = await this.executeAtLeader(
        () => control.changeEvacuation(identified),
        async (address, timeoutMs) =>
          (await rpc.call(address, 'changeEvacuation', identified, {
            timeoutMs,
          })) as EvacuationOutcome,
        deadlineMs,
      );
      logger.info({...identified, outcome}, 'Evacuation call executed');
      if (outcome.kind !== 'conflict') return outcome;
    }
  }

  /** @throws MedlarlaneError when no leader confirmed the latest configuration in time. */
  readConfiguration(): Promise<SiteConfiguration> {
    return this.executeAtLeader(
      () => this.opts.control.readConfiguration(),
      async (address, timeoutMs) =>
        siteConfigurationSchema.parse(
          await this.opts.rpc.call(address, 'readConfiguration', {}, {timeoutMs}),
        ),
    );
  }

  private readEvacuationCallIndex(deadlineMs: number): Promise<number> {
    return this.executeAtLeader(
      () => this.opts.control.readEvacuationCallIndex(),
      async (address, timeoutMs) =>
        callIndexSchema.parse(
          await this.opts.rpc.call(address, 'readEvacuationCallIndex', {}, {timeoutMs}),
        ),
      deadlineMs,
    );
  }

  /** Handlers of the calls that other replicas forward. */
  get handlers(): Record<string, RpcHandler> {
    const {control} = this.opts;
    return {
      changeConfiguration: (payload) =>
        control.changeConfiguration(configurationChangeSchema.parse(payload)),
      changeEvacuation: (payload) =>
        control.changeEvacuation(evacuationChangeSchema.parse(payload)),
      readEvacuationCallIndex: () => control.readEvacuationCallIndex(),
      readConfiguration: () => control.readConfiguration(),
    };
  }

  /** Retries the call until a leader executes it; changes are deduplicated by their digest. */
  private async executeAtLeader<T>(
    executeLocally: () => Promise<T>,
    forwardToLeader: (address: string, timeoutMs: number) => Promise<T>,
    deadlineMs = this.opts.clock.nowMs() + RESPONSE_TIMEOUT_MS,
  ): Promise<T> {
    const {replica, clock, logger} = this.opts;
    for (;;) {
      const remainingMs = deadlineMs - clock.nowMs();
      if (remainingMs <= 0) throw new MedlarlaneError('NO_LEADER');
      try {
        if (replica.isLeader()) return await withTimeout(remainingMs, executeLocally());
        const address = this.leaderAddress();
        if (address !== undefined)
          return await forwardToLeader(address, Math.min(remainingMs, FORWARD_TIMEOUT_MS));
      } catch (thrown) {
        const error = toMedlarlaneError(thrown);
        logger.info({code: error.code}, 'Operator call attempt failed');
        if (!RETRYABLE_CODES.has(error.code)) throw error;
      }
      await clock.sleep(RETRY_DELAY_MS);
    }
  }

  private leaderAddress(): string | undefined {
    const {replica} = this.opts;
    const {leaderId, members} = replica.status();
    const hasRemoteLeader = leaderId !== undefined && leaderId !== replica.replicaId;
    return hasRemoteLeader ? members.addresses[leaderId] : undefined;
  }
}

function withTimeout<T>(timeoutMs: number, work: Promise<T>): Promise<T> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(
      () => reject(new MedlarlaneError('COMMIT_UNKNOWN', 'No majority confirmed the call in time')),
      timeoutMs,
    );
    work.then(resolve, reject).finally(() => clearTimeout(timer));
  });
}
