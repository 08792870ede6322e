import type {Clock} from '@medlarlane/lifecycle';
import {RetryBudget} from '@medlarlane/retry';

export interface RetryBudgetsOptions {
  /** Retries per request that the deployment allows a service. */
  readonly retryRatio: number;
  /** Retries that are always allowed within the window, for all daemons together. */
  readonly retrySlack: number;
  readonly retryWindowMs: number;
  readonly clock: Clock;
}

/** Fractions of the allowed retries that daemons use; the rest is a margin for uneven traffic. */
const RATIO_FRACTION = 0.6;
const SLACK_FRACTION = 0.5;

/** This daemon's part of the retry budgets of all services. */
export class RetryBudgets {
  private readonly budgets = new Map<string, RetryBudget>();
  private daemonCount = 1;

  constructor(private readonly opts: RetryBudgetsOptions) {}

  of(service: string): RetryBudget {
    let budget = this.budgets.get(service);
    if (!budget) {
      const {retryRatio, clock} = this.opts;
      budget = new RetryBudget({
        retryRatio: retryRatio * RATIO_FRACTION,
        minRetryRps: this.minRetryRps(),
        clock,
      });
      this.budgets.set(service, budget);
    }
    return budget;
  }

  /** Sets the number of daemons among which `retrySlack` is divided. */
  setDaemonCount(daemonCount: number): void {
    if (daemonCount === this.daemonCount) return;
    this.daemonCount = Math.max(1, daemonCount);
    for (const budget of this.budgets.values()) budget.setMinRetryRps(this.minRetryRps());
  }

  private minRetryRps(): number {
    const {retrySlack, retryWindowMs} = this.opts;
    return ((retrySlack / retryWindowMs) * 1_000 * SLACK_FRACTION) / this.daemonCount;
  }
}
