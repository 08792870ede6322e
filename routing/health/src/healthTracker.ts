import {systemClock} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';
import {LoadTrust} from './loadTrust.js';
import type {LoadEstimate, LoadReport} from './loadTrust.js';
import {OutcomeWindow} from './outcomeWindow.js';
import type {PassiveOutcome} from './outcomeWindow.js';
import {ProbeHistory} from './probeHistory.js';
import type {ProbeResult} from './probeHistory.js';

export interface HealthTrackerOptions {
  /** Requests that a target works on at once; the scale of load estimates. */
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
  /** Monotonic time since which the state holds. */
  readonly sinceMs: number;
}

interface Evidence {
  readonly probes: ProbeHistory;
  readonly outcomes: OutcomeWindow;
  readonly load: LoadTrust;
}

interface Target extends Evidence {
  verdict: HealthStatus;
}

interface HealthRule {
  readonly state: Exclude<HealthState, 'healthy'>;
  readonly reason: HealthReason;
  readonly holds: (evidence: Evidence) => boolean;
}

// One refused connection can meet a listener that is being replaced.
const REFUSED_IN_A_ROW = 2;
const TIMEOUTS_IN_A_ROW = 3;
const FAILED_SHARE = 0.5;
const SUSPECT_SHARE = 0.2;
const FAILURES_IN_A_ROW = 5;

/** The first rule that holds decides. */
const HEALTH_RULES: readonly HealthRule[] = [
  {
    state: 'failed',
    reason: 'connection-refused',
    holds: ({probes}) => probes.refusedInARow >= REFUSED_IN_A_ROW,
  },
  {
    state: 'failed',
    reason: 'probe-timeouts',
    // A target that completes requests while its probes time out is busy, not frozen.
    holds: ({probes, outcomes}) =>
      probes.timeoutsInARow >= TIMEOUTS_IN_A_ROW && !outcomes.succeededSince(probes.firstTimeoutMs),
  },
  {
    state: 'failed',
    reason: 'passive-failures',
    holds: ({outcomes}) =>
      (outcomes.failureShare ?? 0) >= FAILED_SHARE || outcomes.failuresInARow >= FAILURES_IN_A_ROW,
  },
  {
    state: 'suspect',
    reason: 'connection-refused',
    holds: ({probes}) => probes.refusedInARow > 0,
  },
  {
    state: 'suspect',
    reason: 'probe-timeouts',
    holds: ({probes}) => probes.timeoutsInARow > 0,
  },
  {
    state: 'suspect',
    reason: 'passive-failures',
    holds: ({outcomes}) => (outcomes.failureShare ?? 0) >= SUSPECT_SHARE,
  },
  {
    state: 'suspect',
    reason: 'load-report-contradicted',
    holds: ({load, outcomes}) => !load.trusted && outcomes.slowed,
  },
  {state: 'suspect', reason: 'slow-requests', holds: ({outcomes}) => outcomes.slowed},
  {state: 'suspect', reason: 'slow-probes', holds: ({probes}) => probes.slowed},
];

/** Weighs what this daemon sees of targets: outcomes of requests, probes and load reports. */
export class HealthTracker {
  private readonly clock: Clock;
  private readonly targets = new Map<string, Target>();

  constructor(private readonly opts: HealthTrackerOptions) {
    this.clock = opts.clock ?? systemClock;
  }

  /** Takes the end of a request that was sent to the target. */
  recordOutcome(targetId: string, outcome: PassiveOutcome): void {
    this.targetOf(targetId).outcomes.record(outcome);
  }

  recordProbe(targetId: string, result: ProbeResult): void {
    this.targetOf(targetId).probes.record(result);
  }

  /** Takes a load report together with what this daemon itself has in flight at the target. */
  recordLoadReport(targetId: string, report: LoadReport, ownInFlight: number): void {
    this.targetOf(targetId).load.record(report, ownInFlight);
  }

  status(targetId: string): HealthStatus {
    const target = this.targetOf(targetId);
    const rule = HEALTH_RULES.find(({holds}) => holds(target));
    const state = rule?.state ?? 'healthy';
    const {verdict} = target;
    if (verdict.state !== state || verdict.reason !== rule?.reason) {
      const sinceMs = verdict.state === state ? verdict.sinceMs : this.clock.nowMs();
      target.verdict = {state, sinceMs, ...(rule ? {reason: rule.reason} : {})};
    }
    return target.verdict;
  }

  /** Load as a share of the slots, from the report when it is fresh and plausible, else from own requests. */
  estimateLoad(targetId: string, ownInFlight: number): LoadEstimate {
    return this.targetOf(targetId).load.estimate(ownInFlight);
  }

  /**
   * The failed targets among `members` that may be left out, longest failed first. At least half of
   * the members stay, because a fault at the observer makes all targets look failed.
   */
  ejectableTargets(members: readonly string[]): string[] {
    return members
      .map((id) => ({id, verdict: this.status(id)}))
      .filter(({verdict}) => verdict.state === 'failed')
      .sort((a, b) => a.verdict.sinceMs - b.verdict.sinceMs)
      .slice(0, Math.floor(members.length / 2))
      .map(({id}) => id);
  }

  /** Forgets a target that has left or was restarted. */
  removeTarget(targetId: string): void {
    this.targets.delete(targetId);
  }

  private targetOf(targetId: string): Target {
    let target = this.targets.get(targetId);
    if (!target) {
      target = {
        probes: new ProbeHistory(this.clock),
        outcomes: new OutcomeWindow(this.clock),
        load: new LoadTrust(this.clock, this.opts.slots),
        verdict: {state: 'healthy', sinceMs: this.clock.nowMs()},
      };
      this.targets.set(targetId, target);
    }
    return target;
  }
}
