import {randomUUID} from 'node:crypto';
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {systemClock} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';
import {createComponentLogger, silentLogger} from '@medlarlane/logger';
import type {Logger} from '@medlarlane/logger';
import {Announcer} from './announcer.js';
import {parseFault} from './faults.js';
import type {Fault} from './faults.js';
import {GrantChecker, grantSchema} from './grantChecker.js';

const MAX_CONTROL_BODY_BYTES = 1_048_576;
const DEFAULT_DRAIN_MS = 30_000;

export interface ExampleTargetOptions {
  readonly service: string;
  /** Name in responses and logs. */
  readonly name?: string;
  /** Any free port when 0 or absent. */
  readonly port?: number;
  /** `<ip>:<port>` of the daemon's target listener. Without it, the target does not announce itself. */
  readonly daemon?: string;
  readonly incarnation?: string;
  /** Requests that run at the same time; further ones are refused with 503. */
  readonly slots?: number;
  /** Duration of each request. */
  readonly delayMs?: number;
  /** Delay of responses to health checks. */
  readonly probeDelayMs?: number;
  readonly checksGrants?: boolean;
  /** Timeout for the daemon's confirmation of a withdrawal and then for requests in flight. */
  readonly drainMs?: number;
  /** Fault that every request triggers. */
  readonly fault?: Fault;
  /** Whether the `medlarlane-fault` header of a request injects a fault. */
  readonly allowFaults?: boolean;
  /** Kills the process. Tests that run the target in their own process replace it. */
  readonly crash?: () => void;
  readonly clock?: Clock;
  readonly logger?: Logger;
}

/** Response of `GET /stats`. */
export interface TargetStats {
  readonly target: string;
  readonly service: string;
  readonly incarnation: string;
  readonly inFlight: number;
  readonly draining: boolean;
  readonly runs: number;
  readonly refused: number;
  readonly cancelled: number;
  readonly grants: number;
  readonly runsByRequestId: Readonly<Record<string, number>>;
  readonly runsByIdempotencyKey: Readonly<Record<string, number>>;
}

export interface ExampleTarget {
  readonly port: number;
  /** `127.0.0.1:<port>`. */
  readonly address: string;
  readonly incarnation: string;
  stats(): TargetStats;
  /** Stops responding and announcing for `durationMs`; pending requests continue afterwards. */
  freeze(durationMs: number): void;
  /** Withdraws from the daemon, finishes the requests in flight and closes. */
  stop(): Promise<void>;
  /** Closes all connections immediately without withdrawing, as a crash would. */
  kill(): Promise<void>;
}

/**
 * Starts a small HTTP target on 127.0.0.1. A request to any path outside the target contract counts as
 * a run; its response is `{target, path, runs, bodyBytes}`.
 */
export async function startExampleTarget(opts: ExampleTargetOptions): Promise<ExampleTarget> {
  const target = new RunningTarget(opts);
  await target.listen(opts.port ?? 0);
  return target;
}

type Handler = (request: IncomingMessage, response: ServerResponse) => Promise<void> | void;

class RunningTarget implements ExampleTarget {
  port = 0;
  readonly incarnation: string;
  private readonly name: string;
  private readonly clock: Clock;
  private readonly logger: Logger;
  private readonly server: Server;
  private readonly grants: GrantChecker;
  private readonly runsByRequestId = new Map<string, number>();
  private readonly runsByIdempotencyKey = new Map<string, number>();
  private readonly abortByRequestId = new Map<string, AbortController>();
  private readonly idleWaiters: Array<() => void> = [];
  private announcer: Announcer | undefined;
  private frozen: Promise<void> | undefined;
  private readonly unfreezeAbort = new AbortController();
  private stopping: Promise<void> | undefined;
  private inFlight = 0;
  private draining = false;
  private counts = {runs: 0, refused: 0, cancelled: 0, grants: 0};

  private readonly routes: Readonly<Record<string, Handler>> = {
    'GET /healthz': (request, response) => this.sendHealth(request, response),
    'GET /load': (_request, response) => this.sendLoad(response),
    'GET /stats': (_request, response) => sendJson(response, 200, this.stats()),
    'PUT /.medlarlane/grant': (request, response) => this.acceptGrant(request, response),
    'POST /.medlarlane/drain': (_request, response) => this.startDraining(response),
  };

  constructor(private readonly opts: ExampleTargetOptions) {
    this.name = opts.name ?? 'example';
    this.clock = opts.clock ?? systemClock;
    this.logger = createComponentLogger('target', opts.logger ?? silentLogger);
    this.incarnation = opts.incarnation ?? randomUUID();
    this.grants = new GrantChecker(this.incarnation, this.clock);
    this.server = createServer((request, response) => void this.handle(request, response));
  }

  get address(): string {
    return `127.0.0.1:${this.port}`;
  }

  async listen(port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, '127.0.0.1', resolve);
    });
    this.port = (this.server.address() as AddressInfo).port;
    const {daemon, service} = this.opts;
    this.logger.info({port: this.port, service}, 'Target listening');
    if (daemon === undefined) return;
    this.announcer = new Announcer({
      daemon,
      announcement: {service, port: this.port, incarnation: this.incarnation},
      clock: this.clock,
      logger: this.logger,
      isFrozen: () => this.frozen !== undefined,
    });
  }

  stats(): TargetStats {
    return {
      target: this.name,
      service: this.opts.service,
      incarnation: this.incarnation,
      inFlight: this.inFlight,
      draining: this.draining,
      ...this.counts,
      runsByRequestId: Object.fromEntries(this.runsByRequestId),
      runsByIdempotencyKey: Object.fromEntries(this.runsByIdempotencyKey),
    };
  }

  freeze(durationMs: number): void {
    const frozen = this.clock
      .sleep(durationMs, {signal: this.unfreezeAbort.signal})
      .catch(() => undefined)
      .then(() => {
        if (this.frozen === frozen) this.frozen = undefined;
      });
    this.frozen = frozen;
  }

  stop(): Promise<void> {
    this.stopping ??= this.withdrawAndClose();
    return this.stopping;
  }

  async kill(): Promise<void> {
    const closed = new Promise<void>((resolve) => this.server.close(() => resolve()));
    this.server.closeAllConnections();
    this.unfreezeAbort.abort();
    for (const abort of this.abortByRequestId.values()) abort.abort();
    await this.announcer?.stop();
    await closed;
  }

  private async withdrawAndClose(): Promise<void> {
    const drainMs = this.opts.drainMs ?? DEFAULT_DRAIN_MS;
    this.draining = true;
    // Requests are still accepted: the daemon confirms the withdrawal when it sends no more of them.
    await this.announcer?.withdraw(drainMs);
    if (this.inFlight > 0) {
      const idle = new Promise<void>((resolve) => this.idleWaiters.push(resolve));
      const timer = new AbortController();
      await Promise.race([idle, this.clock.sleep(drainMs, {signal: timer.signal})]);
      timer.abort();
    }
    const closed = new Promise<void>((resolve) => this.server.close(() => resolve()));
    this.server.closeAllConnections();
    await closed;
    this.logger.info({runs: this.counts.runs}, 'Target stopped');
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      while (this.frozen) await this.frozen;
      const path = (request.url ?? '/').split('?')[0] ?? '/';
      const route = this.routes[`${request.method} ${path}`];
      if (route) await route(request, response);
      else if (path.startsWith('/.medlarlane/cancel/')) this.cancel(path, response);
      else await this.handleRun(path, request, response);
    } catch (error) {
      this.logger.debug({err: error}, 'Request failed');
      if (!response.headersSent) sendJson(response, 400, {problem: String(error)});
      else response.destroy();
    }
  }

  private async handleRun(
    path: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const refusal = this.refusalOf(request);
    if (refusal) {
      this.counts.refused += 1;
      request.resume();
      response.setHeader('medlarlane-ran', 'no');
      return sendJson(response, refusal.status, {target: this.name, problem: refusal.problem});
    }
    const requestId = headerOf(request, 'medlarlane-request-id') ?? randomUUID();
    const abort = new AbortController();
    this.abortByRequestId.set(requestId, abort);
    this.inFlight += 1;
    try {
      await this.run(path, requestId, abort.signal, request, response);
      // The request is in flight until its response has been written.
      if (!response.writableFinished && !response.destroyed) await once(response, 'close');
    } finally {
      this.abortByRequestId.delete(requestId);
      this.inFlight -= 1;
      if (this.inFlight === 0) for (const wake of this.idleWaiters.splice(0)) wake();
    }
  }

  private async run(
    path: string,
    requestId: string,
    signal: AbortSignal,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const fault = this.faultOf(request);
    let bodyBytes = 0;
    for await (const chunk of request) bodyBytes += (chunk as Buffer).length;
    this.counts.runs += 1;
    const runs = increment(this.runsByRequestId, requestId);
    const idempotencyKey = headerOf(request, 'idempotency-key');
    if (idempotencyKey !== undefined) increment(this.runsByIdempotencyKey, idempotencyKey);
    if (fault?.kind === 'crash') return (this.opts.crash ?? crashProcess)();
    if (fault?.kind === 'freeze') this.freeze(fault.durationMs);
    while (this.frozen) await this.frozen;
    const delayMs = fault?.kind === 'delay' ? fault.durationMs : (this.opts.delayMs ?? 0);
    if (delayMs > 0 && !(await this.sleepUnlessCancelled(delayMs, signal))) {
      this.counts.cancelled += 1;
      response.setHeader('medlarlane-ran', 'unknown');
      return sendJson(response, 499, {target: this.name, problem: 'cancelled'});
    }
    if (fault?.kind === 'garbage') return sendGarbage(response);
    const body = {target: this.name, path, runs, bodyBytes};
    if (fault?.kind === 'cut') return sendHalfBody(response, JSON.stringify(body));
    sendJson(response, 200, body);
  }

  private refusalOf(request: IncomingMessage): {status: number; problem: string} | undefined {
    if (this.opts.checksGrants) {
      const problem = this.grants.refusalOf(
        numericHeaderOf(request, 'medlarlane-position'),
        numericHeaderOf(request, 'medlarlane-epoch'),
      );
      if (problem) return {status: 409, problem};
    }
    if (this.inFlight >= (this.opts.slots ?? Infinity)) {
      return {status: 503, problem: 'all slots are in use'};
    }
    return undefined;
  }

  private faultOf(request: IncomingMessage): Fault | undefined {
    const text = headerOf(request, 'medlarlane-fault');
    return (this.opts.allowFaults && text ? parseFault(text) : undefined) ?? this.opts.fault;
  }

  /** Waits for the duration of a request; `false` when it was cancelled. */
  private sleepUnlessCancelled(durationMs: number, signal: AbortSignal): Promise<boolean> {
    return this.clock.sleep(durationMs, {signal}).then(
      () => true,
      () => false,
    );
  }

  private async sendHealth(_request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.opts.probeDelayMs) await this.clock.sleep(this.opts.probeDelayMs);
    sendJson(response, 200, {target: this.name, draining: this.draining});
  }

  private sendLoad(response: ServerResponse): void {
    const slots = this.opts.slots ?? 0;
    sendJson(response, 200, {slots, inFlight: this.inFlight, queued: 0});
  }

  private async acceptGrant(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const grant = grantSchema.safeParse(JSON.parse(await readText(request)));
    if (!grant.success) return sendJson(response, 400, {problem: grant.error.message});
    if (!this.grants.accept(grant.data)) {
      return sendJson(response, 409, {problem: 'the epoch or the clock token is stale'});
    }
    this.counts.grants += 1;
    sendJson(response, 200, {clockToken: this.grants.issueToken()});
  }

  private startDraining(response: ServerResponse): void {
    this.draining = true;
    response.writeHead(204).end();
  }

  private cancel(path: string, response: ServerResponse): void {
    const requestId = decodeURIComponent(path.slice('/.medlarlane/cancel/'.length));
    const abort = this.abortByRequestId.get(requestId);
    abort?.abort();
    response.writeHead(abort ? 204 : 404).end();
  }
}

async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request) {
    bytes += (chunk as Buffer).length;
    if (bytes > MAX_CONTROL_BODY_BYTES) throw new Error('body is too large');
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function sendJson(response: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

function sendGarbage(response: ServerResponse): void {
  response.socket?.end('\u0000\u0001 this is not HTTP \r\n\r\n');
}

function sendHalfBody(response: ServerResponse, text: string): void {
  response.writeHead(200, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.write(text.slice(0, text.length / 2), () => response.destroy());
}

function crashProcess(): void {
  process.kill(process.pid, 'SIGKILL');
}

function increment(counts: Map<string, number>, key: string): number {
  const count = (counts.get(key) ?? 0) + 1;
  counts.set(key, count);
  return count;
}

function headerOf(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function numericHeaderOf(request: IncomingMessage, name: string): number | undefined {
  const value = Number(headerOf(request, name) ?? NaN);
  return Number.isSafeInteger(value) ? value : undefined;
}
