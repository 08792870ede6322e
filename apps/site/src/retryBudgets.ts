import type {Clock} from '@medlarlane/lifecycle';
import {RetryBudget} from '@medlarlane/retry';

export interface RetryBudgetsOptions {
  /** Extra sends per request that the deployment allows a service. */
  readonly retryShare: number;
  /** Extra sends that are always allowed within the window, over all daemons. */
  readonly retrySlack: number;
  readonly retryWindowMs: number;
  readonly clock: Clock;
}

/** Part of the allowed retries that daemons use; the rest covers their uneven traffic. */
const SHARE_USED = 0.6;
const SLACK_USED = 0.5;

/** The retry budgets of all services, as far as this daemon has a part in them. */
export class RetryBudgets {
  private readonly budgets = new Map<string, RetryBudget>();
  private daemonCount = 1;

  constructor(private readonly opts: RetryBudgetsOptions) {}

  of(service: string): RetryBudget {
    let budget = this.budgets.get(service);
    if (!budget) {
      const {retryShare, clock} = this.opts;
      budget = new RetryBudget({
        retryRatio: retryShare * SHARE_USED,
        minRetryRps: this.floorRps(),
        clock,
      });
      this.budgets.set(service, budget);
    }
    return budget;
  }

  /** Daemons that share what is allowed without traffic. */
  setDaemonCount(daemonCount: number): void {
    if (daemonCount === this.daemonCount) return;
    this.daemonCount = Math.max(1, daemonCount);
    for (const budget of this.budgets.values()) budget.setMinRetryRps(this.floorRps());
  }

  private floorRps(): number {
    const {retrySlack, retryWindowMs} = this.opts;
    return ((retrySlack / retryWindowMs) * 1_000 * SLACK_USED) / this.daemonCount;
  }
}
