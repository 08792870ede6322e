import {v7 as createIncarnation} from 'uuid';
import type {LocalTarget, TargetChange, TargetListener} from '@medlarlane/announce';
import type {ControlClient} from '@medlarlane/control-client';
import type {Directory} from '@medlarlane/directory';
import {timeoutSignal} from '@medlarlane/lifecycle';
import type {BackgroundTasks, Clock} from '@medlarlane/lifecycle';
import type {Logger} from '@medlarlane/logger';
import type {Registration, ServiceDocument} from '@medlarlane/model';
import type {Lease, Ownership} from '@medlarlane/ownership';
import {OpenTarget} from './localTarget.js';

export interface TargetSupervisorOptions {
  readonly controlClient: ControlClient;
  readonly directory: Directory;
  readonly lease: Lease;
  readonly ownership: Ownership;
  readonly clock: Clock;
  readonly tasks: BackgroundTasks;
  readonly logger: Logger;
  /** What this daemon registers besides its service and incarnation. */
  readonly facts: () => Omit<Registration, 'service' | 'incarnation'>;
  readonly drainTimeoutMs: number;
}

const DRAIN_REPEAT_INTERVAL_MS = 300;

/**
 * Follows the announced target: opens connections to it, registers a session for its service, and
 * drains or gives up the session when the target leaves or fails.
 */
export class TargetSupervisor {
  private target: OpenTarget | undefined;
  private work: Promise<void> = Promise.resolve();

  constructor(private readonly opts: TargetSupervisorOptions) {}

  /** The target that runs requests now. */
  get current(): OpenTarget | undefined {
    return this.target;
  }

  /** Registers this daemon without a target, and follows the announcements. */
  start(listener: TargetListener): void {
    this.register(undefined);
    listener.onChange((change) => this.enqueue(() => this.handle(change)));
  }

  /** The target failed: it serves nothing more until it announces itself anew. */
  fail(reason: string): void {
    const failed = this.target;
    if (!failed) return;
    this.target = undefined;
    this.opts.logger.warn({reason, address: failed.address}, 'Target failed.');
    this.enqueue(async () => {
      await failed.close();
      await this.reregister(undefined, reason);
    });
  }

  /** Moves the ranges away, lets running requests end, and gives up the session. */
  async drain(reason: string): Promise<void> {
    const {controlClient, clock, drainTimeoutMs, logger} = this.opts;
    logger.info({reason}, 'Draining.');
    const untilMs = clock.nowMs() + drainTimeoutMs;
    await this.waitUntilMovedAway(untilMs);
    // Requests for services that are not split by key stop coming once the drain is in force.
    await this.waitUntilIdle(untilMs);
    logger.info('Drained.');
    await controlClient.giveUp(reason);
  }

  /** Cuts what still runs at the target. */
  async close(): Promise<void> {
    await this.closeTarget();
  }

  private enqueue(step: () => Promise<void>): void {
    this.work = this.work.then(step).catch((failure: unknown) => {
      this.opts.logger.error({err: failure}, 'Following the target failed.');
    });
  }

  private async handle({kind, target}: TargetChange): Promise<void> {
    const handlers = {
      announced: () => this.open(target),
      reannounced: async () => {
        await this.closeTarget();
        await this.open(target);
      },
      withdrawn: async () => {
        await this.drain('target withdrawn');
        await this.closeTarget();
        this.register(undefined);
      },
      silent: async () => {
        this.fail('no announcement');
      },
    };
    await handlers[kind]();
  }

  private async open(announced: LocalTarget): Promise<void> {
    const document = await this.waitForDocument(announced.service);
    this.target = new OpenTarget(announced, document);
    await this.reregister(announced.service, 'target announced');
  }

  /** A target may announce itself before its team applies the document. */
  private async waitForDocument(service: string): Promise<ServiceDocument> {
    for (;;) {
      const found = this.opts.directory.document(service);
      if (found) return found.document;
      await this.opts.directory.nextChange(this.opts.tasks.signal);
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
      await directory.nextChange(timeoutSignal(waitMs)).catch(() => undefined);
    }
  }

  private async waitUntilIdle(untilMs: number): Promise<void> {
    const {ownership, clock} = this.opts;
    const signal = timeoutSignal(untilMs - clock.nowMs());
    await ownership.waitUntilAllIdle(signal).catch(() => undefined);
  }

  private async closeTarget(): Promise<void> {
    const closing = this.target;
    this.target = undefined;
    await closing?.close();
  }

  private async reregister(service: string | undefined, reason: string): Promise<void> {
    await this.opts.controlClient.giveUp(reason);
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
