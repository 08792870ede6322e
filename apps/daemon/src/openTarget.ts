import {Pool} from 'undici';
import {AdmissionQueue, AdaptiveLimit} from '@medlarlane/admission';
import type {AdmissionOutcome} from '@medlarlane/admission';
import type {LocalTarget} from '@medlarlane/announce';
import type {LocalTargetEndpoint, RequestCompletion} from '@medlarlane/forwarder';
import {HealthTracker} from '@medlarlane/health';
import type {PassiveOutcomeKind, ProbeResult, HealthStatus} from '@medlarlane/health';
import type {Clock} from '@medlarlane/lifecycle';
import type {Logger} from '@medlarlane/logger';
import type {ServiceDocument} from '@medlarlane/model';
import {TargetLink} from '@medlarlane/target-link';
import type {ProbeObservation, TargetGrant} from '@medlarlane/target-link';

export interface OpenTargetOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Reads what the daemon may grant now. */
  readonly grant: () => TargetGrant | undefined;
  /** The target's process has ended. */
  readonly onGone: () => void;
  /** The target's health has changed. */
  readonly onVerdict: (verdict: HealthStatus) => void;
}

// Below the 5 s after which Node.js servers close idle connections, so that a request is not sent on a
// connection that the target is closing.
const KEEP_ALIVE_MS = 4000;

const PASSIVE_OUTCOMES: Readonly<Record<AdmissionOutcome, PassiveOutcomeKind>> = {
  ok: 'success',
  failed: 'failure',
  timeout: 'timeout',
  shed: 'shed',
  cancelled: 'cancelled',
  unsent: 'cancelled',
};

/** One incarnation of the local target: connections, queue, health and control calls. */
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
    const {clock, logger, grant, onGone} = opts;
    this.slots = slots;
    this.dispatcher = new Pool(`http://${target.address}`, {
      connections,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connect: {timeout: connectTimeoutMs},
    });
    this.limit = new AdaptiveLimit({slots, maxConnections: connections, coldStartMs, clock});
    this.admission = new AdmissionQueue({limit: this.limit, clock});
    this.health = new HealthTracker({slots, clock});
    this.link = new TargetLink({
      target,
      settings: document,
      grant,
      onProcessExit: onGone,
      onProbe: (observation) => this.takeProbe(observation),
      onLoadReport: ({inFlight}) => this.takeLoad(inFlight),
      clock,
      logger,
    }).start();
  }

  get address(): string {
    return this.target.address;
  }

  /** Requests that the target may run at the same time, as learned. */
  get concurrencyLimit(): number {
    return this.limit.limit;
  }

  get verdict(): HealthStatus {
    return this.health.status(this.address);
  }

  takeOutcome({outcome, durationMs}: RequestCompletion): void {
    this.health.recordOutcome(this.address, {kind: PASSIVE_OUTCOMES[outcome], durationMs});
    this.opts.onVerdict(this.verdict);
  }

  /** Cuts what still runs. */
  async close(): Promise<void> {
    await this.link.close();
    await this.dispatcher.destroy();
  }

  private takeProbe({ok, latencyMs, reason}: ProbeObservation): void {
    const result: ProbeResult = ok
      ? {kind: 'answered', durationMs: latencyMs}
      : reason === 'refused' || reason === 'timeout'
        ? {kind: reason}
        : {kind: 'unhealthy', durationMs: latencyMs};
    this.health.recordProbe(this.address, result);
    this.opts.onVerdict(this.verdict);
  }

  private takeLoad(inFlight: number): void {
    const report = {load: inFlight / this.slots, ageMs: 0};
    this.health.recordLoadReport(this.address, report, this.admission.inFlight);
  }
}
