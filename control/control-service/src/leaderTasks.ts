import type {BackgroundTasks, Clock} from '@medlarlane/lifecycle';
import type {LeaseTable} from '@medlarlane/leases';
import type {Logger} from '@medlarlane/logger';
import {planMoves} from '@medlarlane/placement';
import type {LoadAggregator} from '@medlarlane/placement';
import type {ControlObserver} from './controlObserver.js';
import type {ControlStateMachine} from './controlStateMachine.js';
import type {Leadership} from './leadership.js';
import {computeImbalance, ownedFraction} from './serviceLoad.js';

export interface LeaderTasksOptions {
  readonly leadership: Leadership;
  readonly machine: ControlStateMachine;
  readonly leases: LeaseTable;
  readonly loads: LoadAggregator;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly tasks: BackgroundTasks;
  readonly placementIntervalMs: number;
  readonly observer?: ControlObserver | undefined;
}

// A twentieth of the time within which the keys of a lost owner must be served again.
const EXPIRY_CHECK_INTERVAL_MS = 50;
// Moving keys without requests has no cost, so a new service is spread over its sessions at once.
const IDLE_MAX_MOVED_FRACTION_PER_MINUTE = 60;

/** Starts the periodic tasks of the leader. They do nothing on a follower. */
export function startLeaderTasks(opts: LeaderTasksOptions): void {
  opts.tasks.run('lease expiry', (signal) => expireLeases(opts, signal));
  opts.tasks.run('placement', (signal) => rebalance(opts, signal));
}

async function expireLeases(opts: LeaderTasksOptions, signal: AbortSignal): Promise<void> {
  for (;;) {
    await opts.clock.sleep(EXPIRY_CHECK_INTERVAL_MS, {signal});
    if (!opts.leadership.isLeader()) continue;
    const expired = opts.leases.expiredSessionIds();
    await Promise.all(expired.map((sessionId) => endExpiredSession(opts, sessionId)));
  }
}

async function endExpiredSession(opts: LeaderTasksOptions, sessionId: number): Promise<void> {
  const session = opts.machine.state.session(sessionId);
  const service = session?.service;
  const ranges = opts.machine.state.ranges(service ?? '')?.all ?? [];
  const unavailableFraction = ownedFraction(ranges, sessionId);
  const renewedAtMs = opts.leases.find(sessionId)?.renewedAtMs;
  try {
    await opts.leadership.endSession(sessionId, 'lease expired');
    if (service !== undefined && renewedAtMs !== undefined) {
      opts.observer?.recordUnavailability(
        service,
        unavailableFraction,
        opts.clock.nowMs() - renewedAtMs,
      );
    }
    opts.logger.warn({sessionId}, 'Lease expired, ranges reassigned');
  } catch (failure) {
    // The next leader ends the session after one full lease.
    opts.logger.warn({sessionId, err: failure}, 'Ending an expired session failed');
  }
}

async function rebalance(opts: LeaderTasksOptions, signal: AbortSignal): Promise<void> {
  for (;;) {
    await opts.clock.sleep(opts.placementIntervalMs, {signal});
    if (!opts.leadership.isLeader()) continue;
    for (const service of opts.machine.state.services()) {
      try {
        await rebalanceService(opts, service);
      } catch (failure) {
        opts.logger.warn({service, err: failure}, 'Starting planned moves failed');
      }
    }
  }
}

async function rebalanceService(opts: LeaderTasksOptions, service: string): Promise<void> {
  const {state} = opts.machine;
  const table = state.ranges(service);
  const document = state.document(service);
  if (!table || !document) return;
  const loads = opts.loads.loadsOf(table.all, opts.clock.nowMs());
  const sessions = state.sessionsOf(service);
  const imbalance = computeImbalance(table.all, sessions, loads.rangeLoads);
  if (imbalance !== undefined) opts.observer?.recordImbalance(service, imbalance);
  const isIdle = loads.rangeLoads.size === 0 && loads.hotKeys.length === 0;
  const moves = planMoves(
    {
      ranges: table.all,
      sessions,
      ...loads,
      weighsMost: document.weighsMost,
      elapsedMs: opts.placementIntervalMs,
    },
    isIdle ? {limits: {maxMovedFractionPerMinute: IDLE_MAX_MOVED_FRACTION_PER_MINUTE}} : {},
  );
  if (moves.length === 0) return;
  opts.logger.info({service, moves: moves.length}, 'Starting planned moves');
  await opts.leadership.propose({kind: 'startMoves', service, moves});
}
