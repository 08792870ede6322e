import {Pool} from 'undici';
import {AdaptiveLimit, AdmissionQueue} from '@medlarlane/admission';
import type {AdmissionOutcome} from '@medlarlane/admission';
import type {LocalTarget} from '@medlarlane/announce';
import type {LocalTargetEndpoint, RequestCompletion} from '@medlarlane/forwarder';
import {HealthTracker} from '@medlarlane/health';
import type {HealthStatus, PassiveOutcomeKind, ProbeResult} from '@medlarlane/health';
import {createStrictClient} from '@medlarlane/http-client';
import type {Clock} from '@medlarlane/lifecycle';
import type {Logger} from '@medlarlane/logger';
import type {ServiceDocument} from '@medlarlane/model';
import {TargetLink} from '@medlarlane/target-link';
import type {ProbeObservation, TargetGrant} from '@medlarlane/target-link';

export interface OpenTargetOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Returns the grant that the daemon may currently give the target, if any. */
  readonly currentGrant: () => TargetGrant | undefined;
  /** Called when the target's process has exited. */
  readonly onProcessExit: () => void;
  /** Called with the target's health after each observation. */
  readonly onHealthStatus: (healthStatus: HealthStatus) => void;
}

// Shorter than the 5 s after which Node.js servers close idle connections, so that no request is
// sent on a connection that the target is closing.
const KEEP_ALIVE_MS = 4000;

const PASSIVE_OUTCOMES: Readonly<Record<AdmissionOutcome, PassiveOutcomeKind>> = {
  ok: 'success',
  failed: 'failure',
  timeout: 'timeout',
  shed: 'shed',
  cancelled: 'cancelled',
  unsent: 'cancelled',
};

/**
 * One incarnation of the local target, with its connections, admission queue, health and control
 * calls.
 */
export class OpenTarget implements LocalTargetEndpoint {
  readonly dispatcher: Pool;
  readonly admission: AdmissionQueue;
  readonly link: TargetLink;
  private readonly health: HealthTracker;
  private readonly slots: number;
  private readonly limit: AdaptiveLimit;

  constructor(
    readonly target: LocalTarget,
    document: ServiceDocument,
    private readonly opts: OpenTargetOptions,
  ) {
    const {slots, connections, coldStartMs, connectTimeoutMs} = document.targets;
    const {clock, logger, currentGrant, onProcessExit} = opts;
    this.slots = slots;
    this.dispatcher = new Pool(`http://${target.address}`, {
      connections,
      pipelining: 1,
      factory: createStrictClient,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connect: {timeout: connectTimeoutMs},
    });
    this.limit = new AdaptiveLimit({slots, maxConnections: connections, coldStartMs, clock});
    this.admission = new AdmissionQueue({limit: this.limit, clock});
    this.health = new HealthTracker({slots, clock});
    this.link = new TargetLink({
      target,
      settings: document,
      grant: currentGrant,
      onProcessExit,
      onProbe: (observation) => this.recordProbe(observation),
      onLoadReport: ({inFlight}) => this.recordLoadReport(inFlight),
      clock,
      logger,
    }).start();
  }

  get address(): string {
    return this.target.address;
  }

  /** Learned limit of concurrent requests at the target. */
  get concurrencyLimit(): number {
    return this.limit.limit;
  }

  get healthStatus(): HealthStatus {
    return this.health.status(this.address);
  }

  recordOutcome({outcome, durationMs}: RequestCompletion): void {
    this.health.recordOutcome(this.address, {kind: PASSIVE_OUTCOMES[outcome], durationMs});
    this.opts.onHealthStatus(this.healthStatus);
  }

  /** Closes all connections, which aborts the requests in flight. */
  async close(): Promise<void> {
    await this.link.close();
    await this.dispatcher.destroy();
  }

  private recordProbe({ok, latencyMs, reason}: ProbeObservation): void {
    const result: ProbeResult = ok
      ? {kind: 'answered', durationMs: latencyMs}
      : reason === 'refused' || reason === 'timeout'
        ? {kind: reason}
        : {kind: 'unhealthy', durationMs: latencyMs};
    this.health.recordProbe(this.address, result);
    this.opts.onHealthStatus(this.healthStatus);
  }

  private recordLoadReport(inFlight: number): void {
    const report = {load: inFlight / this.slots, ageMs: 0};
    this.health.recordLoadReport(this.address, report, this.admission.inFlight);
  }
}
