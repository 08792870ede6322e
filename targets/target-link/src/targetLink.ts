import {Pool} from 'undici';
import type {Dispatcher} from 'undici';
import {z} from 'zod';
import type {LocalTarget} from '@medlarlane/announce';
import {createStrictClient} from '@medlarlane/http-client';
import {BackgroundTasks, linkAbort, systemClock} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';
import {createComponentLogger, silentLogger} from '@medlarlane/logger';
import type {Logger} from '@medlarlane/logger';
import type {ServiceDocument} from '@medlarlane/model';
import {waitForProcessExit} from './waitForProcessExit.js';

// Equal to the renewal interval of the lease, so that each renewal is sent to the target once.
const GRANT_INTERVAL_MS = 300;
const LOAD_INTERVAL_MS = 500;
const DEFAULT_CONTROL_TIMEOUT_MS = 300;
const MAX_RESPONSE_BYTES = 65_536;
// Probe, grant and load requests run concurrently; the other connections serve cancellations.
const MAX_CONNECTIONS = 8;

/** The settings of a service document that the link applies. */
export type TargetSettings = Pick<ServiceDocument, 'targets' | 'stop'>;

export interface ProbeObservation {
  readonly ok: boolean;
  readonly latencyMs: number;
  /** `timeout`, `refused`, `status <code>` or the message of the failure; absent when ok. */
  readonly reason?: string;
  /** Number of consecutive failed probes, including this one. */
  readonly consecutiveFailures: number;
  /** Whether `consecutiveFailures` has reached the limit of the document. */
  readonly failed: boolean;
}

const loadReportSchema = z.object({
  inFlight: z.number().min(0),
  /** Requests that the target can run at the same time. */
  slots: z.number().min(0).optional(),
  queued: z.number().min(0).optional(),
});
/** The load that a target reports; may be stale or wrong. */
export type LoadReport = z.infer<typeof loadReportSchema>;

const grantResponseSchema = z.object({clockToken: z.string().max(256)});

/** What the daemon may grant now. */
export interface TargetGrant {
  /** Increases with each ownership change of this daemon. */
  readonly epoch: number;
  /** Remaining time of the daemon's lease when the grant is read. */
  readonly leaseRemainingMs: number;
  /** Absent for a service that is not split by key. */
  readonly ranges?: ReadonlyArray<{startPosition: number; endPosition: number; epoch: number}>;
}

export interface TargetLinkOptions {
  readonly target: LocalTarget;
  readonly settings: TargetSettings;
  /** Returns the current grant; `undefined` while the daemon holds no lease. */
  readonly grant?: () => TargetGrant | undefined;
  readonly onProbe?: (observation: ProbeObservation) => void;
  readonly onLoadReport?: (report: LoadReport) => void;
  /** Timeout of grant, load, drain and cancel requests; default 300. */
  readonly controlTimeoutMs?: number;
  /** Called once when the target's port refuses connections, because its process has exited. */
  readonly onProcessExit?: () => void;
  readonly clock?: Clock;
  readonly logger?: Logger;
}

/** Control requests of a daemon to one incarnation of its local target. */
export class TargetLink {
  private readonly pool: Pool;
  private readonly clock: Clock;
  private readonly logger: Logger;
  private readonly tasks: BackgroundTasks;
  private readonly controlTimeoutMs: number;
  private settings: TargetSettings;
  private consecutiveFailures = 0;
  private highestEpoch = 0;
  private clockToken: string | undefined;
  private tokenRequested = false;
  private lastGrantRequest: Promise<unknown> = Promise.resolve();
  private exitReported = false;

  constructor(private readonly opts: TargetLinkOptions) {
    this.settings = opts.settings;
    this.controlTimeoutMs = opts.controlTimeoutMs ?? DEFAULT_CONTROL_TIMEOUT_MS;
    this.clock = opts.clock ?? systemClock;
    this.logger = createComponentLogger('target-link', opts.logger ?? silentLogger);
    this.pool = new Pool(`http://${opts.target.address}`, {
      connections: MAX_CONNECTIONS,
      factory: createStrictClient,
    });
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
          connectTimeoutMs: () => this.settings.targets.connectTimeoutMs,
          clock: this.clock,
        },
        signal,
      );
      this.reportExit();
    });
    this.tasks.run('probe', (signal) =>
      this.repeat(
        signal,
        () => this.settings.targets.probe.intervalMs,
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

  /** Applies a new revision of the document from the next request on. */
  updateSettings(settings: TargetSettings): void {
    this.settings = settings;
  }

  /**
   * Sends the current grant. Must be awaited after a range was gained, before requests for it are sent,
   * and after a range was released. Returns whether the target confirmed the grant; `true` when the
   * service's targets do not check grants.
   */
  pushGrant(): Promise<boolean> {
    // Grants are sent one at a time, because grants of the same epoch must not be reordered.
    const call = this.lastGrantRequest.then(() => this.sendGrant());
    this.lastGrantRequest = call.catch(() => undefined);
    return call;
  }

  /** Notifies the target that it will soon receive no new requests; `false` if it did not confirm. */
  async notifyDrain(): Promise<boolean> {
    if (!this.settings.stop.notifyDrain) return true;
    return this.callSucceeds({method: 'POST', path: '/.medlarlane/drain'});
  }

  /** Asks the target to cancel a request; `false` if it is not running that request. */
  async cancel(requestId: string): Promise<boolean> {
    if (!this.settings.stop.cancellation) return false;
    const path = `/.medlarlane/cancel/${encodeURIComponent(requestId)}`;
    return this.callSucceeds({method: 'POST', path});
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
    const {path, timeoutMs, failures} = this.settings.targets.probe;
    const startMs = this.clock.nowMs();
    const reason = await this.probeFailureReason(path, timeoutMs, signal);
    if (signal.aborted) return;
    this.consecutiveFailures = reason === undefined ? 0 : this.consecutiveFailures + 1;
    this.opts.onProbe?.({
      ok: reason === undefined,
      latencyMs: this.clock.nowMs() - startMs,
      consecutiveFailures: this.consecutiveFailures,
      failed: this.consecutiveFailures >= failures,
      ...(reason === undefined ? {} : {reason}),
    });
    if (reason === 'refused') this.reportExit();
  }

  private async probeFailureReason(
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
    const path = this.settings.targets.loadPath;
    if (path === undefined) return;
    try {
      const {status, text} = await this.call({method: 'GET', path}, this.controlTimeoutMs, signal);
      const report = loadReportSchema.safeParse(status === 200 ? JSON.parse(text) : undefined);
      if (report.success) this.opts.onLoadReport?.(report.data);
      else this.logger.debug({status}, 'Load report is not valid');
    } catch (error) {
      this.logger.debug({reason: reasonOf(error)}, 'Load report request failed');
    }
  }

  private async sendGrant(): Promise<boolean> {
    if (!this.settings.targets.checksGrants) return true;
    if (!this.opts.grant?.()) return false;
    // Without a token the target would count the expiry from receipt, which a frozen target delays
    // without bound. The first request therefore grants 0 ms and only obtains a token.
    if (!this.tokenRequested && !(await this.putGrant(0))) return false;
    this.tokenRequested = true;
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
      // The token may be the reason, so the next grant obtains a new one.
      this.clockToken = undefined;
      this.tokenRequested = false;
      this.logger.warn({status}, 'Target refused grant');
    } catch (error) {
      this.logger.debug({reason: reasonOf(error)}, 'Grant request failed');
    }
    return false;
  }

  private async callSucceeds(request: Dispatcher.RequestOptions): Promise<boolean> {
    try {
      const {status} = await this.call(request, this.controlTimeoutMs);
      return status >= 200 && status < 300;
    } catch (error) {
      this.logger.debug({path: request.path, reason: reasonOf(error)}, 'Control request failed');
      return false;
    }
  }

  private async call(
    request: Dispatcher.RequestOptions,
    timeoutMs: number,
    signal = this.tasks.signal,
  ): Promise<{status: number; text: string}> {
    const abort = linkAbort([signal]);
    const timeout = this.clock.sleep(timeoutMs, {signal: abort.signal}).then(
      () => abort.abort(new TimeoutError()),
      () => undefined,
    );
    try {
      const {statusCode, body} = await this.pool.request({...request, signal: abort.signal});
      return {status: statusCode, text: await readText(body)};
    } finally {
      abort.abort();
      await timeout;
    }
  }

  private reportExit(): void {
    if (this.exitReported || this.tasks.signal.aborted) return;
    this.exitReported = true;
    this.logger.warn({address: this.opts.target.address}, 'Target process exited');
    this.opts.onProcessExit?.();
  }
}

class TimeoutError extends Error {}

async function readText(body: AsyncIterable<Uint8Array>): Promise<string> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += chunk.length;
    if (bytes > MAX_RESPONSE_BYTES)
      throw new Error(`response is larger than ${MAX_RESPONSE_BYTES} bytes`);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** Returns the token; `undefined` for a target that issues none and counts the expiry from receipt. */
function tokenOf(text: string): string | undefined {
  try {
    return grantResponseSchema.safeParse(JSON.parse(text)).data?.clockToken;
  } catch {
    return undefined;
  }
}

function reasonOf(error: unknown): string {
  if (error instanceof TimeoutError) return 'timeout';
  const {code, message} = error as NodeJS.ErrnoException;
  return code === 'ECONNREFUSED' ? 'refused' : message;
}
