import type {Clock} from '@medlarlane/lifecycle';
import type {Logger} from '@medlarlane/logger';
import type {RunResult, TargetClient, TargetHealth} from '@medlarlane/request-path';

/** Why the health of a target is checked. */
export type HealthCheckReason = 'zone-restored' | 'daemon-started' | 'failures' | 'identity';

export interface HealthChecksOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly client: Pick<TargetClient, 'checkHealth'>;
  /** Path of the health check; `undefined` if the target's health is not to be checked. */
  readonly path: () => string | undefined;
  readonly onHealth: (health: TargetHealth) => void;
}

/** Failures in a row after which the health is checked; a single one is often the request's own fault. */
const FAILURES_BEFORE_CHECK = 2;
/** A second and its margin, so that the bound of a cold target needs to spare one request only. */
const MIN_INTERVAL_MS = 1_100;
/** Failures in a row lead to at most one check in this time; each check has a cost. */
const MIN_FAILURE_INTERVAL_MS = 5_000;
/** The target responds to health checks immediately; the next heartbeat is due within a second. */
const TIMEOUT_MS = 400;

/** Checks the health of the local target on events, never periodically. */
export class HealthChecks {
  private failures = 0;
  private checkedAtMs = -Infinity;
  private failureCheckedAtMs = -Infinity;
  private isScheduled = false;

  constructor(private readonly opts: HealthChecksOptions) {}

  /** Counts failures in a row. What the target did not receive or rejected unread says nothing. */
  recordResult(result: RunResult): void {
    if (result.kind === 'answered') {
      this.failures = result.answer.status >= 500 ? this.failures + 1 : 0;
    } else if (result.kind === 'lost' && result.code !== 'CANCELLED') {
      this.failures += 1;
    }
    const nowMs = this.opts.clock.nowMs();
    if (this.failures < FAILURES_BEFORE_CHECK) return;
    if (nowMs - this.failureCheckedAtMs < MIN_FAILURE_INTERVAL_MS) return;
    this.failures = 0;
    this.failureCheckedAtMs = nowMs;
    void this.check('failures');
  }

  /** Checks the health, at most once per interval; a check that is due soon is not repeated. */
  async check(reason: HealthCheckReason): Promise<void> {
    const {clock, onHealth} = this.opts;
    if (this.opts.path() === undefined || this.isScheduled) return;
    this.isScheduled = true;
    const delayMs = this.checkedAtMs + MIN_INTERVAL_MS - clock.nowMs();
    if (delayMs > 0) await clock.sleep(delayMs);
    this.isScheduled = false;
    const path = this.opts.path();
    if (path === undefined) return;
    const health = await this.request(path, reason);
    if (health) onHealth(health);
  }

  /**
   * Returns the id of the target that listens at the address; `undefined` if it does not state one or if it was checked
   * less than an interval ago.
   */
  async identify(path: string): Promise<string | undefined> {
    const isDue = this.opts.clock.nowMs() >= this.checkedAtMs + MIN_INTERVAL_MS;
    if (!isDue || this.isScheduled) return undefined;
    return (await this.request(path, 'identity'))?.targetId;
  }

  private async request(
    path: string,
    reason: HealthCheckReason,
  ): Promise<TargetHealth | undefined> {
    const {clock, client, logger} = this.opts;
    this.checkedAtMs = clock.nowMs();
    const health = await client.checkHealth(path, TIMEOUT_MS);
    logger.info({reason, ...health}, 'Checked the health of the target');
    return health;
  }
}
