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
  /** What this daemon registers besides its service and incarnation. */
  readonly facts: () => Omit<Registration, 'service' | 'incarnation'>;
  readonly drainTimeoutMs: number;
  /** The target's process ended without withdrawal. */
  readonly onCrash: () => void;
}

const DRAIN_REPEAT_INTERVAL_MS = 300;
// A target that fails its work but answers probes is not tried again at once.
const PASSIVE_FAILURE_PAUSE_MS = 10_000;

type ChangeHandler = (target: LocalTarget) => Promise<void>;

/**
 * Follows the announced target: opens connections to it, registers a session for its service, and
 * drains or gives up the session when the target leaves or fails.
 */
export class TargetSupervisor {
  private open: OpenTarget | undefined;
  private work: Promise<void> = Promise.resolve();
  private pausedUntilMs = -Infinity;
  private readonly ejections: EjectionGuard;

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
    this.ejections = new EjectionGuard(opts.directory, opts.clock);
  }

  /** The target that runs requests now. */
  get current(): OpenTarget | undefined {
    return this.open;
  }

  /** Registers this daemon without a target, and follows the announcements. */
  start(): void {
    const {listener, directory} = this.opts;
    this.register(undefined);
    listener.onChange(({kind, target}) => this.enqueue(() => this.handlers[kind](target)));
    directory.onChange(() => this.followDirectory());
  }

  /** The target failed: it serves nothing more until it announces itself anew. */
  fail(reason: string): void {
    const failed = this.open;
    if (!failed) return;
    this.open = undefined;
    this.opts.logger.warn({reason, address: failed.address}, 'Target failed.');
    this.enqueue(async () => {
      await this.opts.controlClient.endSession(reason);
      await failed.close();
      this.register(undefined);
      // The next announcement, of this process or of its successor, opens it again.
      this.opts.listener.forget(failed.target.incarnation);
    });
  }

  /** Moves the ranges away, lets running requests end, and gives up the session. */
  async drain(reason: string): Promise<void> {
    const {controlClient, clock, drainTimeoutMs, logger} = this.opts;
    logger.info({reason}, 'Draining.');
    const untilMs = clock.nowMs() + drainTimeoutMs;
    await this.open?.link.notifyDrain();
    await this.waitUntilMovedAway(untilMs);
    // Requests for services that are not split by key stop coming once the drain is in force.
    await this.waitUntilIdle(untilMs);
    logger.info('Drained.');
    await controlClient.endSession(reason);
  }

  /** Resolves when the changes of the target seen so far have been acted upon. */
  settled(): Promise<void> {
    return this.work;
  }

  /** Cuts what still runs at the target. */
  async close(): Promise<void> {
    await this.closeTarget();
  }

  private enqueue(step: () => Promise<void>): void {
    this.work = this.work.then(step).catch((failure: unknown) => {
      if (this.opts.tasks.signal.aborted) return;
      this.opts.logger.error({err: failure}, 'Following the target failed.');
    });
  }

  private async openTarget(announced: LocalTarget): Promise<void> {
    const {clock, tasks, logger, ownership, lease} = this.opts;
    const document = await this.waitForDocument(announced.service);
    const pauseMs = this.pausedUntilMs - clock.nowMs();
    if (pauseMs > 0) await clock.sleep(pauseMs, {signal: tasks.signal});
    const opened = new OpenTarget(announced, document, {
      clock,
      logger,
      grant: () => (lease.isValid() ? ownership.createGrant(lease.remainingMs) : undefined),
      onGone: () => this.handleGone(opened),
      onVerdict: (verdict) => this.handleVerdict(opened, verdict),
    });
    this.open = opened;
    await this.reregister(announced.service, 'target announced');
  }

  private handleGone(gone: OpenTarget): void {
    if (this.open !== gone) return;
    this.opts.onCrash();
    this.fail('process ended');
  }

  private handleVerdict(judged: OpenTarget, {state, reason}: HealthStatus): void {
    if (state !== 'failed' || this.open !== judged) return;
    if (reason === 'passive-failures') {
      if (!this.ejections.isAllowed(judged.target.service)) return;
      this.pausedUntilMs = this.opts.clock.nowMs() + PASSIVE_FAILURE_PAUSE_MS;
    }
    this.fail(reason ?? 'unhealthy');
  }

  /** Passes a new document, and a grant of newly owned ranges, on to the target. */
  private followDirectory(): void {
    const {open} = this;
    if (!open) return;
    const document = this.opts.directory.document(open.target.service)?.document;
    if (document) open.link.updateSettings(document);
    this.ejections.observe(open.target.service);
    void open.link.pushGrant();
  }

  /** A target may announce itself before its team applies the document. */
  private async waitForDocument(service: string): Promise<ServiceDocument> {
    for (;;) {
      const found = this.opts.directory.document(service);
      if (found) return found.document;
      await this.opts.directory.waitForChange(this.opts.tasks.signal);
    }
  }

  /** Waits until no range names this session as owner. */
  private async waitUntilMovedAway(untilMs: number): Promise<void> {
    const {directory, lease, clock} = this.opts;
    const service = directory.session(lease.sessionId)?.service;
    if (service === undefined) return;
    const ownsRanges = (): boolean =>
      directory
        .ranges(service)
        ?.all.some(({ownerSessionId}) => ownerSessionId === lease.sessionId) ?? false;
    // A last server has nobody to move its ranges to.
    const hasSuccessor = (): boolean =>
      directory
        .sessionsOf(service)
        .some(({sessionId, draining}) => sessionId !== lease.sessionId && !draining);
    while (lease.isValid() && clock.nowMs() < untilMs && ownsRanges() && hasSuccessor()) {
      // Repeated, because the message is lost when the leader changes.
      if (!directory.session(lease.sessionId)?.draining) this.opts.controlClient.drain();
      const waitMs = Math.min(DRAIN_REPEAT_INTERVAL_MS, untilMs - clock.nowMs());
      await directory.waitForChange(timeoutSignal(waitMs)).catch(() => undefined);
    }
  }

  private async waitUntilIdle(untilMs: number): Promise<void> {
    const {ownership, clock} = this.opts;
    const signal = timeoutSignal(untilMs - clock.nowMs());
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
      ...this.opts.facts(),
      incarnation: createIncarnation(),
      ...(service === undefined ? {} : {service}),
    });
  }
}
