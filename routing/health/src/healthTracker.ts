import {systemClock} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';
import {LoadReportValidator} from './loadReportValidator.js';
import type {LoadEstimate, LoadReport} from './loadReportValidator.js';
import {OutcomeWindow} from './outcomeWindow.js';
import type {PassiveOutcome} from './outcomeWindow.js';
import {ProbeHistory} from './probeHistory.js';
import type {ProbeResult} from './probeHistory.js';

export interface HealthTrackerOptions {
  /** Maximum number of requests a target runs concurrently; load estimates are relative to it. */
  readonly slots: number;
  readonly clock?: Clock;
}

export type HealthState = 'healthy' | 'suspect' | 'failed';

export type HealthReason =
  | 'connection-refused'
  | 'probe-timeouts'
  | 'passive-failures'
  | 'slow-probes'
  | 'slow-requests'
  | 'load-report-contradicted';

export interface HealthStatus {
  readonly state: HealthState;
  readonly reason?: HealthReason;
  /** Monotonic time at which the target entered this state. */
  readonly sinceMs: number;
}

interface Observations {
  readonly probes: ProbeHistory;
  readonly outcomes: OutcomeWindow;
  readonly load: LoadReportValidator;
}

interface TargetState extends Observations {
  status: HealthStatus;
}

interface HealthRule {
  readonly state: Exclude<HealthState, 'healthy'>;
  readonly reason: HealthReason;
  readonly matches: (observations: Observations) => boolean;
}

// A single refused connection can happen while the listener is being replaced.
const CONSECUTIVE_REFUSED_THRESHOLD = 2;
const CONSECUTIVE_TIMEOUT_THRESHOLD = 3;
const FAILED_RATIO = 0.5;
const SUSPECT_RATIO = 0.2;
const CONSECUTIVE_FAILURE_THRESHOLD = 5;

/** Health rules in order of precedence: the first matching rule determines the status. */
const HEALTH_RULES: readonly HealthRule[] = [
  {
    state: 'failed',
    reason: 'connection-refused',
    matches: ({probes}) => probes.consecutiveRefused >= CONSECUTIVE_REFUSED_THRESHOLD,
  },
  {
    state: 'failed',
    reason: 'probe-timeouts',
    // A target that completes requests while its probes time out is busy, not hung.
    matches: ({probes, outcomes}) =>
      probes.consecutiveTimeouts >= CONSECUTIVE_TIMEOUT_THRESHOLD &&
      !outcomes.hasSucceededSince(probes.firstTimeoutMs),
  },
  {
    state: 'failed',
    reason: 'passive-failures',
    matches: ({outcomes}) =>
      (outcomes.failureRatio ?? 0) >= FAILED_RATIO ||
      outcomes.consecutiveFailures >= CONSECUTIVE_FAILURE_THRESHOLD,
  },
  {
    state: 'suspect',
    reason: 'connection-refused',
    matches: ({probes}) => probes.consecutiveRefused > 0,
  },
  {
    state: 'suspect',
    reason: 'probe-timeouts',
    matches: ({probes}) => probes.consecutiveTimeouts > 0,
  },
  {
    state: 'suspect',
    reason: 'passive-failures',
    matches: ({outcomes}) => (outcomes.failureRatio ?? 0) >= SUSPECT_RATIO,
  },
  {
    state: 'suspect',
    reason: 'load-report-contradicted',
    matches: ({load, outcomes}) => !load.isTrusted && outcomes.isSlow,
  },
  {state: 'suspect', reason: 'slow-requests', matches: ({outcomes}) => outcomes.isSlow},
  {state: 'suspect', reason: 'slow-probes', matches: ({probes}) => probes.isSlow},
];

/** Derives the health of each target from request outcomes, probe results and load reports. */
export class HealthTracker {
  private readonly clock: Clock;
  private readonly targets = new Map<string, TargetState>();

  constructor(private readonly opts: HealthTrackerOptions) {
    this.clock = opts.clock ?? systemClock;
  }

  /** Records the outcome of a request that was sent to the target. */
  recordOutcome(targetId: string, outcome: PassiveOutcome): void {
    this.targetOf(targetId).outcomes.record(outcome);
  }

  recordProbe(targetId: string, result: ProbeResult): void {
    this.targetOf(targetId).probes.record(result);
  }

  /** Records a load report and the number of requests that this daemon has in flight at the target. */
  recordLoadReport(targetId: string, report: LoadReport, ownInFlight: number): void {
    this.targetOf(targetId).load.record(report, ownInFlight);
  }

  status(targetId: string): HealthStatus {
    const target = this.targetOf(targetId);
    const rule = HEALTH_RULES.find(({matches}) => matches(target));
    const state = rule?.state ?? 'healthy';
    const {status} = target;
    if (status.state !== state || status.reason !== rule?.reason) {
      const sinceMs = status.state === state ? status.sinceMs : this.clock.nowMs();
      target.status = {state, sinceMs, ...(rule ? {reason: rule.reason} : {})};
    }
    return target.status;
  }

  /** Estimates the load from the last report if it is fresh and plausible, otherwise from own requests. */
  estimateLoad(targetId: string, ownInFlight: number): LoadEstimate {
    return this.targetOf(targetId).load.estimate(ownInFlight);
  }

  /**
   * Returns the failed targets among `members` that may be ejected, longest failed first. At least
   * half of the members stay, because a fault at the observer makes all targets look failed.
   */
  ejectableTargets(members: readonly string[]): string[] {
    return members
      .map((id) => ({id, status: this.status(id)}))
      .filter(({status}) => status.state === 'failed')
      .sort((a, b) => a.status.sinceMs - b.status.sinceMs)
      .slice(0, Math.floor(members.length / 2))
      .map(({id}) => id);
  }

  /** Discards the state of a target that was removed or restarted. */
  removeTarget(targetId: string): void {
    this.targets.delete(targetId);
  }

  private targetOf(targetId: string): TargetState {
    let target = this.targets.get(targetId);
    if (!target) {
      target = {
        probes: new ProbeHistory(this.clock),
        outcomes: new OutcomeWindow(this.clock),
        load: new LoadReportValidator(this.clock, this.opts.slots),
        status: {state: 'healthy', sinceMs: this.clock.nowMs()},
      };
      this.targets.set(targetId, target);
    }
    return target;
  }
}
