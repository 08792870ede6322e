import type {ConnectRouter} from '@connectrpc/connect';
import type {Replica} from '@medlarlane/consensus';
import {consensusRoutes} from '@medlarlane/consensus';
import {ControlState} from '@medlarlane/control-state';
import {AdminService, LeaseService, WatchService} from '@medlarlane/control-rpc';
import type {BackgroundTasks, Clock} from '@medlarlane/lifecycle';
import {LeaseTable} from '@medlarlane/leases';
import {createComponentLogger} from '@medlarlane/logger';
import type {Logger} from '@medlarlane/logger';
import {LoadAggregator} from '@medlarlane/placement';
import {AdminHandler} from './adminHandler.js';
import type {ControlObserver} from './controlObserver.js';
import {ControlStateMachine} from './controlStateMachine.js';
import {Leadership} from './leadership.js';
import {startLeaderTasks} from './leaderTasks.js';
import {SessionHandler} from './sessionHandler.js';
import {WatchHandler} from './watchHandler.js';

export interface ControlServiceOptions {
  /** Starts the replica that applies its log to the given state machine. */
  readonly startReplica: (machine: ControlStateMachine) => Promise<Replica> | Replica;
  readonly group: string;
  readonly leaseTtlMs: number;
  readonly clock: Clock;
  readonly tasks: BackgroundTasks;
  readonly logger: Logger;
  readonly placementIntervalMs?: number;
  readonly observer?: ControlObserver;
}

export interface ControlService {
  readonly replica: Replica;
  readonly leadership: Leadership;
  readonly machine: ControlStateMachine;
  /** Registers the RPC handlers of this replica. */
  routes(router: ConnectRouter): void;
}

const DEFAULT_PLACEMENT_INTERVAL_MS = 1000;

/** Starts the control service of a replica: its RPC handlers and the periodic tasks of the leader. */
export async function startControlService(opts: ControlServiceOptions): Promise<ControlService> {
  const {clock, tasks, leaseTtlMs, group} = opts;
  const leases = new LeaseTable({clock, leaseTtlMs});
  const loads = new LoadAggregator();
  const machine = new ControlStateMachine(new ControlState(), leases, loads);
  const replica = await opts.startReplica(machine);
  const leadership = new Leadership({replica, machine, leases});
  const commonOptions = {leadership, machine, leases, loads, clock};
  const sessions = new SessionHandler({
    ...commonOptions,
    leaseTtlMs,
    logger: createComponentLogger('session', opts.logger),
  });
  const watches = new WatchHandler(machine);
  const admin = new AdminHandler({...commonOptions, replica, group});
  startLeaderTasks({
    ...commonOptions,
    tasks,
    logger: createComponentLogger('leader', opts.logger),
    placementIntervalMs: opts.placementIntervalMs ?? DEFAULT_PLACEMENT_INTERVAL_MS,
    observer: opts.observer,
  });
  return {
    replica,
    leadership,
    machine,
    routes: (router) => {
      router.service(LeaseService, {session: (requests) => sessions.session(requests)});
      router.service(WatchService, {
        watch: (request, context) => watches.watch(request, context.signal),
      });
      router.service(AdminService, {execute: (request) => admin.execute(request)});
      consensusRoutes(replica)(router);
    },
  };
}
