import {v7 as createIncarnation} from 'uuid';
import type {LocalTarget, TargetChange, TargetListener} from '@medlarlane/announce';
import type {ControlClient} from '@medlarlane/control-client';
import type {Directory} from '@medlarlane/directory';
import type {HealthStatus} from '@medlarlane/health';
import {timeoutSignal} from '@medlarlane/lifecycle';
import type {BackgroundTasks, Clock} from '@medlarlane/lifecycle';
import type {Logger} from '@medlarlane/logger';
import type {Registration, ServiceDocument} from '@medlarlane/model';
import type {Lease, Ownership} from '@medlarlane/ownership';
import {EjectionGuard} from './ejectionGuard.js';
import {OpenTarget} from './openTarget.js';

export interface TargetSupervisorOptions {
  readonly controlClient: ControlClient;
  readonly directory: Directory;
  readonly lease: Lease;
  readonly ownership: Ownership;
  readonly listener: TargetListener;
  readonly clock: Clock;
  readonly tasks: BackgroundTasks;
  readonly logger: Logger;
  /** Returns the registration of this daemon, except for its service and incarnation. */
  readonly registrationBase: () => Omit<Registration, 'service' | 'incarnation'>;
  readonly drainTimeoutMs: number;
  /** Called when the target's process has exited without withdrawing its announcement. */
  readonly onCrash: () => void;
}

const DRAIN_REPEAT_INTERVAL_MS = 300;
// Backoff before a target that passes probes but fails requests is opened again.
const PASSIVE_FAILURE_BACKOFF_MS = 10_000;

type ChangeHandler = (target: LocalTarget) => Promise<void>;

/**
 * Manages the announced target: opens connections to it, registers a session for its service, and
 * drains or ends the session when the target withdraws or fails.
 */
export class TargetSupervisor {
  private open: OpenTarget | undefined;
  private pendingWork: Promise<void> = Promise.resolve();
  private reopenNotBeforeMs = -Infinity;
  private readonly ejectionGuard: EjectionGuard;

  private readonly handlers: Readonly<Record<TargetChange['kind'], ChangeHandler>> = {
    announced: (target) => this.openTarget(target),
    reannounced: async (target) => {
      await this.closeTarget();
      await this.openTarget(target);
    },
    withdrawn: async () => {
      await this.drain('target withdrawn');
      await this.closeTarget();
      this.register(undefined);
    },
    silent: async (target) => {
      if (this.open?.target.incarnation === target.incarnation) this.fail('no announcement');
    },
  };

  constructor(private readonly opts: TargetSupervisorOptions) {
    this.ejectionGuard = new EjectionGuard(opts.directory, opts.clock);
  }

  /** The target that currently serves requests. */
  get current(): OpenTarget | undefined {
    return this.open;
  }

  /** Registers this daemon without a target and subscribes to announcements. */
  start(): void {
    const {listener, directory} = this.opts;
    this.register(undefined);
    listener.onChange(({kind, target}) => this.enqueue(() => this.handlers[kind](target)));
    directory.onChange(() => this.handleDirectoryChange());
  }

  /** Takes the target out of service until it announces itself again. */
  fail(reason: string): void {
    const failedTarget = this.open;
    if (!failedTarget) return;
    this.open = undefined;
    this.opts.logger.warn({reason, address: failedTarget.address}, 'Target failed');
    this.enqueue(async () => {
      await this.opts.controlClient.endSession(reason);
      await failedTarget.close();
      this.register(undefined);
      // The next announcement, of the same or of a new process, opens the target again.
      this.opts.listener.forget(failedTarget.target.incarnation);
    });
  }

  /** Moves the ranges away, waits for requests in flight, and ends the session. */
  async drain(reason: string): Promise<void> {
    const {controlClient, clock, drainTimeoutMs, logger} = this.opts;
    logger.info({reason}, 'Draining');
    const deadlineMs = clock.nowMs() + drainTimeoutMs;
    await this.open?.link.notifyDrain();
    await this.waitUntilRangesMoved(deadlineMs);
    // Services that are not split by key receive no new requests once the drain is in force.
    await this.waitUntilIdle(deadlineMs);
    logger.info('Drained');
    await controlClient.endSession(reason);
  }

  /** Resolves when all changes of the target received so far have been processed. */
  waitUntilSettled(): Promise<void> {
    return this.pendingWork;
  }

  /** Closes the target's connections, which aborts the requests in flight. */
  async close(): Promise<void> {
    await this.closeTarget();
  }

  private enqueue(step: () => Promise<void>): void {
    this.pendingWork = this.pendingWork.then(step).catch((failure: unknown) => {
      if (this.opts.tasks.signal.aborted) return;
      this.opts.logger.error({err: failure}, 'Processing a change of the target failed');
    });
  }

  private async openTarget(announced: LocalTarget): Promise<void> {
    const {clock, tasks, logger, ownership, lease} = this.opts;
    const document = await this.waitForDocument(announced.service);
    const pauseMs = this.reopenNotBeforeMs - clock.nowMs();
    if (pauseMs > 0) await clock.sleep(pauseMs, {signal: tasks.signal});
    const openedTarget = new OpenTarget(announced, document, {
      clock,
      logger,
      currentGrant: () => (lease.isValid() ? ownership.createGrant(lease.remainingMs) : undefined),
      onProcessExit: () => this.handleProcessExit(openedTarget),
      onHealthStatus: (healthStatus) => this.handleHealthStatus(openedTarget, healthStatus),
    });
    this.open = openedTarget;
    await this.reregister(announced.service, 'target announced');
  }

  private handleProcessExit(target: OpenTarget): void {
    if (this.open !== target) return;
    this.opts.onCrash();
    this.fail('process ended');
  }

  private handleHealthStatus(target: OpenTarget, {state, reason}: HealthStatus): void {
    if (state !== 'failed' || this.open !== target) return;
    if (reason === 'passive-failures') {
      if (!this.ejectionGuard.isAllowed(target.target.service)) return;
      this.reopenNotBeforeMs = this.opts.clock.nowMs() + PASSIVE_FAILURE_BACKOFF_MS;
    }
    this.fail(reason ?? 'unhealthy');
  }

  /** Applies a new document and sends the target a grant for newly owned ranges. */
  private handleDirectoryChange(): void {
    const {open} = this;
    if (!open) return;
    const document = this.opts.directory.document(open.target.service)?.document;
    if (document) open.link.updateSettings(document);
    this.ejectionGuard.observe(open.target.service);
    void open.link.pushGrant();
  }

  /** Waits for the service's document: a target may announce itself before its team applies one. */
  private async waitForDocument(service: string): Promise<ServiceDocument> {
    for (;;) {
      const found = this.opts.directory.document(service);
      if (found) return found.document;
      await this.opts.directory.waitForChange(this.opts.tasks.signal);
    }
  }

  /** Waits until this session owns no ranges. */
  private async waitUntilRangesMoved(deadlineMs: number): Promise<void> {
    const {directory, lease, clock} = this.opts;
    const service = directory.session(lease.sessionId)?.service;
    if (service === undefined) return;
    const ownsRanges = (): boolean =>
      directory
        .ranges(service)
        ?.all.some(({ownerSessionId}) => ownerSessionId === lease.sessionId) ?? false;
    // The last server of a service has no successor for its ranges.
    const hasSuccessor = (): boolean =>
      directory
        .sessionsOf(service)
        .some(({sessionId, draining}) => sessionId !== lease.sessionId && !draining);
    while (lease.isValid() && clock.nowMs() < deadlineMs && ownsRanges() && hasSuccessor()) {
      // Sent repeatedly, because the message is lost when the leader changes.
      if (!directory.session(lease.sessionId)?.draining) this.opts.controlClient.drain();
      const waitMs = Math.min(DRAIN_REPEAT_INTERVAL_MS, deadlineMs - clock.nowMs());
      await directory.waitForChange(timeoutSignal(waitMs)).catch(() => undefined);
    }
  }

  private async waitUntilIdle(deadlineMs: number): Promise<void> {
    const {ownership, clock} = this.opts;
    const signal = timeoutSignal(deadlineMs - clock.nowMs());
    await ownership.waitUntilAllIdle(signal).catch(() => undefined);
  }

  private async closeTarget(): Promise<void> {
    const closing = this.open;
    this.open = undefined;
    await closing?.close();
  }

  private async reregister(service: string | undefined, reason: string): Promise<void> {
    await this.opts.controlClient.endSession(reason);
    this.register(service);
  }

  private register(service: string | undefined): void {
    this.opts.controlClient.register({
      ...this.opts.registrationBase(),
      incarnation: createIncarnation(),
      ...(service === undefined ? {} : {service}),
    });
  }
}
