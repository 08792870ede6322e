import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {isIP} from 'node:net';
import type {AddressInfo} from 'node:net';
import type {z} from 'zod';
import {MedlarlaneError, toMedlarlaneError, toProblemDocument} from '@medlarlane/errors';
import {BackgroundTasks, systemClock} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';
import {createComponentLogger, silentLogger} from '@medlarlane/logger';
import type {Logger} from '@medlarlane/logger';
import {abortWhenCallerLeaves, hasCallerLeft} from '@medlarlane/rpc';
import {announcementSchema, withdrawalSchema} from './announcement.js';
import type {Announcement} from './announcement.js';

const DEFAULT_SILENCE_TIMEOUT_MS = 3000;
const SILENCE_CHECK_INTERVAL_MS = 250;
const MAX_BODY_BYTES = 4096;
const REQUEST_TIMEOUT_MS = 5000;

/** The target that announced itself. */
export interface LocalTarget {
  readonly service: string;
  /** `<ip>:<port>` on the loopback interface. */
  readonly address: string;
  readonly incarnation: string;
}

export interface TargetChange {
  /**
   * `announced`: a target announced itself; `reannounced`: it restarted with a new incarnation;
   * `withdrawn`: it asked to receive no more requests; `silent`: it stopped announcing itself.
   */
  readonly kind: 'announced' | 'reannounced' | 'withdrawn' | 'silent';
  readonly target: LocalTarget;
}

export interface TargetListenerOptions {
  /** Loopback IP address; default 127.0.0.1. */
  readonly host?: string;
  /** 0 for any free port. */
  readonly port: number;
  readonly silenceTimeoutMs?: number;
  /** Resolves when the daemon sends no more requests to the withdrawn target, which waits for it. */
  readonly drainTarget?: (target: LocalTarget) => Promise<void>;
  readonly clock?: Clock;
  readonly logger?: Logger;
}

export interface TargetListener {
  /** `<ip>:<port>` of the listener. */
  readonly address: string;
  /** The announced target; `undefined` before the announcement and after withdrawal or silence. */
  readonly current: LocalTarget | undefined;
  /** Calls `listener` for each change. Returns a function that unsubscribes it. */
  onChange(listener: (change: TargetChange) => void): () => void;
  /**
   * Removes a target whose process has ended, so that its successor can announce itself from another
   * port immediately. Emits no change.
   */
  forget(incarnation: string): void;
  close(): Promise<void>;
}

/**
 * Starts the listener on which the local target announces itself. Error responses are
 * `application/problem+json`.
 * @throws MedlarlaneError `SETTINGS_INVALID` when the host is not a loopback address or the port
 * cannot be used.
 */
export async function startTargetListener(opts: TargetListenerOptions): Promise<TargetListener> {
  const host = opts.host ?? '127.0.0.1';
  if (!isLoopback(host)) {
    throw new MedlarlaneError(
      'SETTINGS_INVALID',
      `Target listener requires a loopback IP address: ${host}`,
    );
  }
  const listener = new RunningTargetListener(host, opts);
  await listener.listen(opts.port);
  return listener;
}

interface Withdrawal {
  readonly target: LocalTarget;
  readonly finished: Promise<void>;
}

class RunningTargetListener implements TargetListener {
  current: LocalTarget | undefined;
  private readonly listeners = new Set<(change: TargetChange) => void>();
  private readonly server: Server;
  private readonly tasks: BackgroundTasks;
  private readonly clock: Clock;
  private readonly logger: Logger;
  /** Time without an announcement, not counting pauses of this process. */
  private silentMs = 0;
  private measuredAtMs: number;
  private pendingWithdrawal: Withdrawal | undefined;
  private withdrawnIncarnation: string | undefined;

  constructor(
    private readonly host: string,
    private readonly opts: TargetListenerOptions,
  ) {
    this.clock = opts.clock ?? systemClock;
    this.measuredAtMs = this.clock.nowMs();
    this.logger = createComponentLogger('announce', opts.logger ?? silentLogger);
    this.tasks = new BackgroundTasks({
      onFailure: (task, err) => this.logger.error({task, err}, 'Task failed'),
    });
    this.server = createServer(
      {requestTimeout: REQUEST_TIMEOUT_MS, headersTimeout: REQUEST_TIMEOUT_MS},
      (request, response) => void this.handle(request, response),
    );
  }

  get address(): string {
    return hostPort(this.host, (this.server.address() as AddressInfo).port);
  }

  async listen(port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', (cause) =>
        reject(new MedlarlaneError('SETTINGS_INVALID', `Cannot listen on port ${port}`, {cause})),
      );
      this.server.listen(port, this.host, resolve);
    });
    this.tasks.run('silence', (signal) => this.watchSilence(signal));
  }

  onChange(listener: (change: TargetChange) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  forget(incarnation: string): void {
    if (this.current?.incarnation === incarnation) this.current = undefined;
  }

  async close(): Promise<void> {
    await this.tasks.stop();
    const closed = new Promise<void>((resolve) => this.server.close(() => resolve()));
    this.server.closeAllConnections();
    await closed;
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const signal = abortWhenCallerLeaves(request, response);
    try {
      const {pathname, searchParams} = new URL(request.url ?? '', 'http://daemon');
      if (pathname !== '/v1/target')
        throw new HttpProblem(404, `Resource ${pathname} does not exist`);
      if (request.method === 'PUT') {
        const announcement = await readBody(request, announcementSchema);
        // A target repeats what it has given up; by now, its successor may have announced itself.
        if (await hasCallerLeft(signal))
          return this.logger.info({...announcement}, 'Ignored an announcement that was given up');
        this.announce(announcement);
      } else if (request.method === 'DELETE') {
        // Some HTTP clients cannot send a body with DELETE, so the query is accepted as well.
        const incarnation = searchParams.get('incarnation');
        await this.withdraw(incarnation ?? (await readBody(request, withdrawalSchema)).incarnation);
      } else {
        response.setHeader('allow', 'PUT, DELETE');
        throw new HttpProblem(405, `Method ${request.method} is not supported`);
      }
      response.writeHead(204).end();
    } catch (error) {
      this.sendProblem(request, response, error);
    }
  }

  private announce(announcement: Announcement): void {
    const {service, incarnation} = announcement;
    const target = {service, incarnation, address: hostPort(this.host, announcement.port)};
    if (this.pendingWithdrawal || incarnation === this.withdrawnIncarnation) {
      throw new HttpProblem(409, 'The target has been withdrawn', {incarnation});
    }
    const previous = this.current;
    // Two processes cannot listen on one port, so a new incarnation on the same port is a restart.
    if (previous && previous.address !== target.address) {
      throw new HttpProblem(409, 'Another target is announced', {current: previous});
    }
    if (previous?.incarnation === incarnation && previous.service !== service) {
      throw new HttpProblem(409, 'The incarnation is already announced for another service', {
        current: previous,
      });
    }
    this.silentMs = 0;
    this.measuredAtMs = this.clock.nowMs();
    if (previous?.incarnation === incarnation) return;
    this.current = target;
    this.emit({kind: previous ? 'reannounced' : 'announced', target});
  }

  private async withdraw(incarnation: string): Promise<void> {
    const target = this.current ?? this.pendingWithdrawal?.target;
    // Withdrawals are idempotent: the target has already been withdrawn.
    if (!target) return;
    if (target.incarnation !== incarnation) {
      throw new HttpProblem(409, 'Another target is announced', {current: target});
    }
    this.pendingWithdrawal ??= {target, finished: this.completeWithdrawal(target)};
    await this.pendingWithdrawal.finished;
  }

  private async completeWithdrawal(target: LocalTarget): Promise<void> {
    this.current = undefined;
    this.withdrawnIncarnation = target.incarnation;
    this.emit({kind: 'withdrawn', target});
    try {
      // Called asynchronously, so that a synchronous exception also ends this withdrawal.
      await Promise.resolve().then(() => this.opts.drainTarget?.(target));
    } finally {
      this.pendingWithdrawal = undefined;
    }
  }

  private async watchSilence(signal: AbortSignal): Promise<void> {
    const silenceTimeoutMs = this.opts.silenceTimeoutMs ?? DEFAULT_SILENCE_TIMEOUT_MS;
    for (;;) {
      await this.clock.sleep(SILENCE_CHECK_INTERVAL_MS, {signal});
      const nowMs = this.clock.nowMs();
      // A pause of this process counts as two intervals at most: announcements sent meanwhile are unread.
      this.silentMs += Math.min(nowMs - this.measuredAtMs, 2 * SILENCE_CHECK_INTERVAL_MS);
      this.measuredAtMs = nowMs;
      const target = this.current;
      if (!target || this.silentMs < silenceTimeoutMs) continue;
      this.current = undefined;
      this.emit({kind: 'silent', target});
    }
  }

  private emit(change: TargetChange): void {
    this.logger.info({change: change.kind, ...change.target}, 'Target changed');
    for (const listener of [...this.listeners]) {
      try {
        listener(change);
      } catch (err) {
        this.logger.error({err}, 'Target change listener failed');
      }
    }
  }

  private sendProblem(request: IncomingMessage, response: ServerResponse, thrown: unknown): void {
    const error = thrown instanceof HttpProblem ? thrown.toError() : toMedlarlaneError(thrown);
    const status = thrown instanceof HttpProblem ? thrown.status : error.errorKind.status;
    this.logger.warn({method: request.method, status, reason: error.message}, 'Request refused');
    if (response.destroyed) return;
    // The rest of an oversized body is discarded, so the connection cannot be reused.
    if (!request.complete) response.setHeader('connection', 'close');
    request.resume();
    response.writeHead(status, {'content-type': 'application/problem+json'});
    response.end(JSON.stringify({...toProblemDocument(error), status}));
  }
}

/** An error with the HTTP status of its response. */
class HttpProblem extends Error {
  constructor(
    readonly status: number,
    message: string,
    readonly details: Readonly<Record<string, unknown>> = {},
  ) {
    super(message);
  }

  toError(): MedlarlaneError {
    return new MedlarlaneError('REQUEST_INVALID', this.message, {details: this.details});
  }
}

async function readBody<T>(request: IncomingMessage, schema: z.ZodType<T>): Promise<T> {
  const parsed = schema.safeParse(parseJson(await readText(request)));
  if (parsed.success) return parsed.data;
  throw new HttpProblem(400, 'Request body does not match the schema', {
    problems: parsed.error.issues.map(({path, message}) => ({path: path.join('.'), message})),
  });
}

async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request.iterator({destroyOnReturn: false})) {
    bytes += (chunk as Buffer).length;
    if (bytes > MAX_BODY_BYTES) {
      throw new HttpProblem(413, `Request body is larger than ${MAX_BODY_BYTES} bytes`);
    }
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    throw new HttpProblem(400, 'Request body is not valid JSON');
  }
}

function isLoopback(host: string): boolean {
  return host === '::1' || (isIP(host) === 4 && host.startsWith('127.'));
}

function hostPort(host: string, port: number): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}
