import type {Clock} from '@medlarlane/lifecycle';
import type {Logger} from '@medlarlane/logger';
import {ReturnSchedule} from './returnSchedule.js';
import {ServiceAdmission} from './serviceAdmission.js';
import type {ServiceDemand} from './serviceAdmission.js';

interface ServiceState {
  readonly admission: ServiceAdmission;
  readonly returns: Map<number, ReturnSchedule>;
  loggedLevels: string;
  loggedAtMs: number;
}

/** Changes of the levels of a service are logged at most once in this time. */
const LOG_INTERVAL_MS = 1_000;
/** Levels are logged in steps, so that small changes are not. */
const LOGGED_STEP = 0.25;

/** Admission levels and return schedules of all services for which the control leader sent sums. */
export class ServiceLevels {
  private readonly services = new Map<string, ServiceState>();
  private daemonCount = 1;

  constructor(private readonly opts: {readonly clock: Clock; readonly logger: Logger}) {}

  /** Takes the sums of the services near their capacity. */
  update(sums: ReadonlyArray<readonly [string, ServiceDemand]>, daemonCount: number): void {
    this.daemonCount = Math.max(1, daemonCount);
    for (const [service, demand] of sums) {
      const state = this.services.get(service) ?? this.addService(service);
      state.admission.update(demand);
      this.logLevels(service, state, demand);
    }
  }

  /** Whether a request may be offered to the targets of the service. */
  tryAdmit(service: string, priority: number, opts: {isReturning: boolean}): boolean {
    return this.services.get(service)?.admission.tryAdmit(priority, opts) ?? true;
  }

  /** Whether the free capacity of the service is known, because it is or was recently near its capacity. */
  isActive(service: string): boolean {
    return this.services.get(service)?.admission.isActive ?? false;
  }

  /** Reserves the return of a refused caller, in ms from now; `undefined` if there is no free capacity. */
  reserveReturnMs(service: string, priority: number, timeLeftMs: number): number | undefined {
    const state = this.services.get(service);
    if (!state) return undefined;
    const schedule = state.returns.get(priority) ?? new ReturnSchedule(this.opts.clock);
    state.returns.set(priority, schedule);
    // Each daemon schedules its own callers, so that it gets an equal share of the free capacity.
    const freeRps = state.admission.freeRps(priority) / this.daemonCount;
    return schedule.reserve({freeRps, timeLeftMs, workMs: state.admission.workMs(priority)});
  }

  /** Levels below 1, for metrics. */
  *list(): Iterable<{service: string; priority: number; level: number}> {
    for (const [service, {admission}] of this.services) {
      for (const [priority, level] of admission.levels) yield {service, priority, level};
    }
  }

  private addService(service: string): ServiceState {
    const admission = new ServiceAdmission(this.opts.clock);
    const state = {admission, returns: new Map(), loggedLevels: '', loggedAtMs: -Infinity};
    this.services.set(service, state);
    return state;
  }

  private logLevels(service: string, state: ServiceState, demand: ServiceDemand): void {
    const nowMs = this.opts.clock.nowMs();
    const {levels} = state.admission;
    const steps = levels.map(([p, level]) => [p, Math.floor(level / LOGGED_STEP)]).join(' ');
    if (steps === state.loggedLevels || nowMs - state.loggedAtMs < LOG_INTERVAL_MS) return;
    state.loggedLevels = steps;
    state.loggedAtMs = nowMs;
    const {busySlots, usableSlots} = demand;
    this.opts.logger.info({service, levels, busySlots, usableSlots}, 'Admission levels changed');
  }
}
