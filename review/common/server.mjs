/** An application server that follows the users' protocol. */
import http from 'node:http';
import {sleep} from './processes.mjs';

const HEARTBEAT_MS = 870;
const ACK_TIMEOUT_MS = 1_000;
const MAX_ACK_BYTES = 4_096;
const RETRY_MS = 100;
const IDLE_CLOSE_MS = 10_000;

export class Server {
  constructor({id, service, zone, host, ports, record, slots = 18, workMsOf, bodyOf}) {
    Object.assign(this, {id, service, zone, host, ports, record, slots});
    this.workMsOf = workMsOf ?? (() => 40);
    this.bodyOf = bodyOf ?? (() => Buffer.from(`${id} ran it\n`));
    this.born = Date.now();
    this.sequence = 0;
    this.state = 'ready';
    this.holds = [];
    this.freed = [];
    this.holdUntilMs = 0;
    this.running = new Map();
    this.isStopped = false;
    this.http = http.createServer({keepAliveTimeout: IDLE_CLOSE_MS}, (request, response) =>
      this.serve(request, response),
    );
  }

  async start() {
    await new Promise((resolve) => this.http.listen(this.ports.server, this.host, resolve));
    this.heartbeats = this.sendHeartbeats();
  }

  holdsKey(key) {
    if (performance.now() > this.holdUntilMs) return false;
    return this.holds.some(([from, to]) => from <= key && key <= to);
  }

  // Requests.

  serve(request, response) {
    const {headers} = request;
    const id = headers['request-id'];
    const answer = (status, extra, body = '') => {
      if (response.destroyed) return;
      response.writeHead(status, {
        ...(id === undefined ? {} : {'Request-Id': id}),
        'Server-Load': `${this.running.size},0,${this.slots}`,
        ...extra,
        'Content-Length': Buffer.byteLength(body),
      });
      response.end(body);
    };
    if (request.url === '/health') {
      request.resume();
      const isHealthy = this.state === 'ready';
      return answer(isHealthy ? 200 : 503, {'Instance-Id': this.id});
    }
    const chunks = [];
    request.on('data', (bytes) => chunks.push(bytes));
    request.on('error', () => undefined);
    request.on('end', () => {
      const notRun = {'Not-Executed': '1'};
      if (id === undefined) return answer(400, notRun);
      const expected = headers['expected-instance'];
      if (expected !== undefined && expected !== this.id) {
        this.record('server', this.id, 'rejects', id, '421 expects', expected);
        return answer(421, {...notRun, 'Instance-Id': this.id});
      }
      const key = headers['shard-key'];
      if (this.isKeyed && key !== undefined && !this.holdsKey(Number(key))) {
        this.record('server', this.id, 'rejects', id, '421 key', key);
        return answer(421, notRun);
      }
      if (this.running.size >= this.slots) return answer(503, notRun);
      this.run(request, response, id, answer);
    });
  }

  run(request, response, id, answer) {
    const run = {id, startedAtMs: performance.now(), path: request.url};
    this.running.set(id, run);
    this.record('server', this.id, 'begins', id, request.method, request.url);
    this.onBegin?.(run);
    const deadlineMs = Number(request.headers['deadline-ms'] ?? Infinity);
    const workMs = this.workMsOf(request);
    const finish = (outcome) => {
      if (!this.running.delete(id)) return;
      clearTimeout(timer);
      this.record('server', this.id, 'ends', id, outcome);
      this.onEnd?.({...run, outcome});
    };
    const timer = setTimeout(
      () => {
        finish(workMs <= deadlineMs ? 'done' : 'deadline');
        const seal = {'Server-Seal': `seal-${this.id}-${id}`};
        if (workMs <= deadlineMs) answer(200, seal, this.bodyOf(request));
        else answer(504, seal);
      },
      Math.min(workMs, deadlineMs),
    );
    response.on('close', () => finish('connection closed while at work'));
  }

  // Heartbeats.

  async sendHeartbeats() {
    while (!this.isStopped && this.state !== 'gone') {
      const sentAtMs = performance.now();
      const isAcknowledged = await this.sendHeartbeat();
      const spentMs = performance.now() - sentAtMs;
      await sleep(isAcknowledged ? Math.max(0, this.nextDelayMs() - spentMs) : RETRY_MS);
    }
  }

  nextDelayMs() {
    return this.freed.length > 0 ? 60 : HEARTBEAT_MS;
  }

  async sendHeartbeat() {
    this.sequence += 1;
    const sentAtMs = performance.now();
    if (sentAtMs > this.holdUntilMs) this.holds = [];
    const {freed} = this;
    const body = {
      service: this.service,
      address: `${this.host}:${this.ports.server}`,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: this.state,
      cold_left_s: 0,
      sequence: this.sequence,
      born: this.born,
      ...(this.isKeyed ? {holds: this.holds, freed} : {}),
    };
    const reply = await this.callDaemon('PUT', body, this.isPathLate ? this.path : undefined);
    if (!reply) return false;
    this.acknowledgedAtMs = performance.now();
    if (this.state === 'draining') this.drainAckAtMs ??= performance.now();
    this.freed = this.freed.filter((row) => !freed.includes(row));
    if (Array.isArray(reply.holds)) this.takeHolds(reply, sentAtMs);
    return true;
  }

  takeHolds({holds, hold_s: holdS}, sentAtMs) {
    const released = this.holds.filter(
      ([from, to, fence]) =>
        !holds.some((row) => row[0] <= from && to <= row[1] && row[2] === fence),
    );
    for (const [from, to] of released) {
      const token = Math.floor(Math.random() * 2 ** 48).toString(16);
      this.freed.push([from, to, token.padStart(16, '0')]);
    }
    this.holds = holds.map(([from, to, fence]) => [from, to, fence]);
    this.holdUntilMs = sentAtMs + holdS * 1_000;
    this.onHolds?.(this.holds, this.holdUntilMs);
  }

  /** Leaves without a draining heartbeat: DELETE until it is acknowledged. Resolves with that time. */
  async leaveAbruptly() {
    this.state = 'gone';
    this.record('server', this.id, 'begins to leave with DELETE');
    for (let attempt = 1; ; attempt += 1) {
      const reply = await this.callDaemon('DELETE');
      if (reply) {
        this.leaveAckAtMs = performance.now();
        this.record('server', this.id, 'DELETE acknowledged at attempt', attempt);
        return this.leaveAckAtMs;
      }
      await sleep(RETRY_MS);
    }
  }

  /** Makes heartbeats late until `endLatePath` is called; they arrive then. */
  beginLatePath() {
    this.isPathLate = true;
    this.path = new Promise((resolve) => (this.deliverLate = resolve));
  }

  endLatePath() {
    this.isPathLate = false;
    this.deliverLate();
  }

  /** `path` delays the call; its acknowledgement counts only within a second of when it was sent. */
  async callDaemon(method, body, path) {
    const sentAtMs = performance.now();
    if (path) {
      const isOnTime = await Promise.race([path.then(() => true), sleep(ACK_TIMEOUT_MS)]);
      if (!isOnTime) {
        void path.then(() => this.callDaemon(method, body));
        return undefined;
      }
    }
    const leftMs = ACK_TIMEOUT_MS - (performance.now() - sentAtMs);
    try {
      const response = await fetch(
        `http://${this.host}:${this.ports.control}/instances/${this.id}`,
        {
          method,
          ...(body ? {body: JSON.stringify(body)} : {}),
          headers: {'content-type': 'application/json'},
          signal: AbortSignal.timeout(Math.max(1, Math.ceil(leftMs))),
        },
      );
      const text = await response.text();
      if (!response.ok || Buffer.byteLength(text) > MAX_ACK_BYTES) return undefined;
      return JSON.parse(text === '' ? '{}' : text);
    } catch {
      // The daemon is down or did not answer; the call is repeated.
      return undefined;
    }
  }

  /** Ends the process of the server: its listener and all connections. */
  async exit() {
    this.isStopped = true;
    this.state = 'gone';
    for (const {id} of this.running.values())
      this.record('server', this.id, 'exits while it runs', id);
    this.http.closeAllConnections();
    await new Promise((resolve) => this.http.close(resolve));
    this.record('server', this.id, 'has exited');
  }
}
