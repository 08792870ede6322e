import {Pool} from 'undici';
import type {Dispatcher} from 'undici';
import {z} from 'zod';
import type {LocalTarget} from '@medlarlane/announce';
import {BackgroundTasks, linkAbort, systemClock} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';
import {createComponentLogger, silentLogger} from '@medlarlane/logger';
import type {Logger} from '@medlarlane/logger';
import type {ServiceDocument} from '@medlarlane/model';
import {waitForProcessExit} from './waitForProcessExit.js';

// Equal to the renewal interval of the lease, so that each renewal reaches the target once.
const GRANT_INTERVAL_MS = 300;
const LOAD_INTERVAL_MS = 500;
const DEFAULT_CONTROL_TIMEOUT_MS = 300;
const MAX_ANSWER_BYTES = 65_536;
// Probe, grant and load calls run at the same time; the rest serves cancellations.
const MAX_CONNECTIONS = 8;

/** The parts of a service document that the link obeys. */
export type TargetSettings = Pick<ServiceDocument, 'targets' | 'stop'>;

export interface ProbeObservation {
  readonly ok: boolean;
  readonly latencyMs: number;
  /** `timeout`, `refused`, `status <code>` or the message of the failure; absent when ok. */
  readonly reason?: string;
  /** Failed probes in a row, this one included. */
  readonly consecutiveFailures: number;
  /** Whether `failuresInRow` has reached the limit of the document. */
  readonly failed: boolean;
}

const loadReportSchema = z.object({
  inFlight: z.number().min(0),
  /** Requests that the target can run at the same time. */
  slots: z.number().min(0).optional(),
  queued: z.number().min(0).optional(),
});
/** What a target says about its load; it may be stale or wrong. */
export type LoadReport = z.infer<typeof loadReportSchema>;

const grantAnswerSchema = z.object({clockToken: z.string().max(256)});

/** What the daemon may grant at this moment. */
export interface TargetGrant {
  /** Grows with each change of ownership of this daemon. */
  readonly epoch: number;
  /** Remainder of the daemon's lease when the grant is read. */
  readonly leaseRemainingMs: number;
  /** Absent for a service that is not split by key. */
  readonly ranges?: ReadonlyArray<{startPosition: number; endPosition: number; epoch: number}>;
}

export interface TargetLinkOptions {
  readonly target: LocalTarget;
  readonly settings: TargetSettings;
  /** Reads the current grant; `undefined` while the daemon holds no lease. */
  readonly grant?: () => TargetGrant | undefined;
  readonly onProbe?: (observation: ProbeObservation) => void;
  readonly onLoadReport?: (report: LoadReport) => void;
  /** Limit of grant, load, drain and cancel calls; default 300. */
  readonly controlTimeoutMs?: number;
  /** Called once when the target's port refuses connections: its process is gone. */
  readonly onProcessExit?: () => void;
  readonly clock?: Clock;
  readonly logger?: Logger;
}

/** Control calls of a daemon to one incarnation of its local target. */
export class TargetLink {
  private readonly pool: Pool;
  private readonly clock: Clock;
  private readonly logger: Logger;
  private readonly tasks: BackgroundTasks;
  private readonly controlTimeoutMs: number;
  private rules: TargetSettings;
  private failuresInRow = 0;
  private highestEpoch = 0;
  private clockToken: string | undefined;
  private tokenAsked = false;
  private grantCalls: Promise<unknown> = Promise.resolve();
  private gone = false;

  constructor(private readonly opts: TargetLinkOptions) {
    this.rules = opts.settings;
    this.controlTimeoutMs = opts.controlTimeoutMs ?? DEFAULT_CONTROL_TIMEOUT_MS;
    this.clock = opts.clock ?? systemClock;
    this.logger = createComponentLogger('target-link', opts.logger ?? silentLogger);
    this.pool = new Pool(`http://${opts.target.address}`, {connections: MAX_CONNECTIONS});
    this.tasks = new BackgroundTasks({
      onFailure: (task, err) => this.logger.error({task, err}, 'Task failed'),
    });
  }

  start(): this {
    const url = new URL(`http://${this.opts.target.address}`);
    this.tasks.run('watch', async (signal) => {
      await waitForProcessExit(
        {
          host: url.hostname.replace(/^\[|\]$/g, ''),
          port: Number(url.port),
          connectTimeoutMs: () => this.rules.targets.connectTimeoutMs,
          clock: this.clock,
        },
        signal,
      );
      this.reportGone();
    });
    this.tasks.run('probe', (signal) =>
      this.repeat(
        signal,
        () => this.rules.targets.probe.intervalMs,
        () => this.probe(signal),
      ),
    );
    this.tasks.run('load', (signal) =>
      this.repeat(
        signal,
        () => LOAD_INTERVAL_MS,
        () => this.pollLoad(signal),
      ),
    );
    this.tasks.run('grant', (signal) =>
      this.repeat(
        signal,
        () => GRANT_INTERVAL_MS,
        () => this.pushGrant(),
      ),
    );
    return this;
  }

  /** Obeys a new revision of the document from the next call on. */
  updateSettings(rules: TargetSettings): void {
    this.rules = rules;
  }

  /**
   * Sends the current grant. To be awaited after a range was gained, before work is sent, and after
   * one was released. Returns whether the target confirmed it; `true` when targets check no grants.
   */
  pushGrant(): Promise<boolean> {
    // One call at a time: grants of the same epoch must not overtake each other.
    const call = this.grantCalls.then(() => this.sendGrant());
    this.grantCalls = call.catch(() => undefined);
    return call;
  }

  /** Tells the target that it receives no new work soon; `false` when it did not confirm. */
  async notifyDrain(): Promise<boolean> {
    if (!this.rules.stop.notifyDrain) return true;
    return this.succeeds({method: 'POST', path: '/.medlarlane/drain'});
  }

  /** Asks the target to abandon a request; `false` when it knows no such request. */
  async cancel(requestId: string): Promise<boolean> {
    if (!this.rules.stop.cancellation) return false;
    const path = `/.medlarlane/cancel/${encodeURIComponent(requestId)}`;
    return this.succeeds({method: 'POST', path});
  }

  async close(): Promise<void> {
    await this.tasks.stop();
    await this.pool.destroy();
  }

  private async repeat(
    signal: AbortSignal,
    intervalMs: () => number,
    step: () => Promise<unknown>,
  ): Promise<void> {
    for (;;) {
      const startMs = this.clock.nowMs();
      await step();
      const elapsedMs = this.clock.nowMs() - startMs;
      await this.clock.sleep(Math.max(0, intervalMs() - elapsedMs), {signal});
    }
  }

  private async probe(signal: AbortSignal): Promise<void> {
    const {path, timeoutMs, failures} = this.rules.targets.probe;
    const startMs = this.clock.nowMs();
    const reason = await this.probeFailure(path, timeoutMs, signal);
    if (signal.aborted) return;
    this.failuresInRow = reason === undefined ? 0 : this.failuresInRow + 1;
    this.opts.onProbe?.({
      ok: reason === undefined,
      latencyMs: this.clock.nowMs() - startMs,
      consecutiveFailures: this.failuresInRow,
      failed: this.failuresInRow >= failures,
      ...(reason === undefined ? {} : {reason}),
    });
    if (reason === 'refused') this.reportGone();
  }

  private async probeFailure(
    path: string,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<string | undefined> {
    try {
      const {status} = await this.call({method: 'GET', path}, timeoutMs, signal);
      return status >= 200 && status < 300 ? undefined : `status ${status}`;
    } catch (error) {
      return reasonOf(error);
    }
  }

  private async pollLoad(signal: AbortSignal): Promise<void> {
    const path = this.rules.targets.loadPath;
    if (path === undefined) return;
    try {
      const {status, text} = await this.call({method: 'GET', path}, this.controlTimeoutMs, signal);
      const report = loadReportSchema.safeParse(status === 200 ? JSON.parse(text) : undefined);
      if (report.success) this.opts.onLoadReport?.(report.data);
      else this.logger.debug({status}, 'Load report is unusable');
    } catch (error) {
      this.logger.debug({reason: reasonOf(error)}, 'Load report failed');
    }
  }

  private async sendGrant(): Promise<boolean> {
    if (!this.rules.targets.checksGrants) return true;
    if (!this.opts.grant?.()) return false;
    // Without a token the target would measure the expiry from receipt, which a frozen target
    // delays without bound. The first call grants no time and returns a token.
    if (!this.tokenAsked && !(await this.putGrant(0))) return false;
    this.tokenAsked = true;
    return this.putGrant(Infinity);
  }

  private async putGrant(maxExpiryMs: number): Promise<boolean> {
    const grant = this.opts.grant?.();
    if (!grant || this.tasks.signal.aborted) return false;
    this.highestEpoch = Math.max(this.highestEpoch, grant.epoch);
    const body = JSON.stringify({
      epoch: this.highestEpoch,
      expiresInMs: Math.max(0, Math.min(maxExpiryMs, grant.leaseRemainingMs)),
      ...(grant.ranges ? {ranges: grant.ranges} : {}),
      ...(this.clockToken === undefined ? {} : {clockToken: this.clockToken}),
    });
    try {
      const headers = {'content-type': 'application/json'};
      const {status, text} = await this.call(
        {method: 'PUT', path: '/.medlarlane/grant', headers, body},
        this.controlTimeoutMs,
      );
      if (status >= 200 && status < 300) {
        this.clockToken = tokenOf(text);
        return true;
      }
      // A refused token is asked for anew.
      this.clockToken = undefined;
      this.tokenAsked = false;
      this.logger.warn({status}, 'Grant was refused');
    } catch (error) {
      this.logger.debug({reason: reasonOf(error)}, 'Grant failed');
    }
    return false;
  }

  private async succeeds(request: Dispatcher.RequestOptions): Promise<boolean> {
    try {
      const {status} = await this.call(request, this.controlTimeoutMs);
      return status >= 200 && status < 300;
    } catch (error) {
      this.logger.debug({path: request.path, reason: reasonOf(error)}, 'Control call failed');
      return false;
    }
  }

  private async call(
    request: Dispatcher.RequestOptions,
    timeoutMs: number,
    signal = this.tasks.signal,
  ): Promise<{status: number; text: string}> {
    const limit = linkAbort([signal]);
    const timeout = this.clock.sleep(timeoutMs, {signal: limit.signal}).then(
      () => limit.abort(new TimeoutError()),
      () => undefined,
    );
    try {
      const {statusCode, body} = await this.pool.request({...request, signal: limit.signal});
      return {status: statusCode, text: await readText(body)};
    } finally {
      limit.abort();
      await timeout;
    }
  }

  private reportGone(): void {
    if (this.gone || this.tasks.signal.aborted) return;
    this.gone = true;
    this.logger.warn({address: this.opts.target.address}, 'Target process is gone');
    this.opts.onProcessExit?.();
  }
}

class TimeoutError extends Error {}

async function readText(body: AsyncIterable<Uint8Array>): Promise<string> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += chunk.length;
    if (bytes > MAX_ANSWER_BYTES)
      throw new Error(`answer is larger than ${MAX_ANSWER_BYTES} bytes`);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** The token of a target that issues them; `undefined` for one that measures from receipt. */
function tokenOf(text: string): string | undefined {
  try {
    return grantAnswerSchema.safeParse(JSON.parse(text)).data?.clockToken;
  } catch {
    return undefined;
  }
}

function reasonOf(error: unknown): string {
  if (error instanceof TimeoutError) return 'timeout';
  const {code, message} = error as NodeJS.ErrnoException;
  return code === 'ECONNREFUSED' ? 'refused' : message;
}
