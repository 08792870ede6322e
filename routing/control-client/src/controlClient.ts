import {PassThrough} from 'node:stream';
import type {SecureClientSessionOptions} from 'node:http2';
import {create} from '@bufbuild/protobuf';
import type {MessageInitShape} from '@bufbuild/protobuf';
import {ConnectError, createClient} from '@connectrpc/connect';
import type {Transport} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {ADMIN_OPERATIONS} from '@medlarlane/admin-api';
import type {AdminOperation} from '@medlarlane/admin-api';
import {
  AdminService,
  LeaseService,
  SessionRequestSchema,
  WatchService,
} from '@medlarlane/control-rpc';
import type {SessionRequest, SessionResponse} from '@medlarlane/control-rpc';
import type {Directory} from '@medlarlane/directory';
import {fromProblemDocument, MedlarlaneError} from '@medlarlane/errors';
import {createDeferred, linkAbort} from '@medlarlane/lifecycle';
import type {BackgroundTasks, Clock, LinkedAbort} from '@medlarlane/lifecycle';
import type {Logger} from '@medlarlane/logger';
import {
  decodeValue,
  directoryChangeSchema,
  directorySnapshotSchema,
  encodeValue,
} from '@medlarlane/model';
import type {PoisonReport, Registration} from '@medlarlane/model';
import type {Lease, ReleasedRange} from '@medlarlane/ownership';
import {z} from 'zod';

/** Load of the local target since the previous report. */
export interface LoadReport {
  readonly rangeLoads: ReadonlyArray<{readonly startPosition: number; readonly rateRps: number}>;
  readonly keyLoads: ReadonlyArray<{readonly position: number; readonly rateRps: number}>;
  readonly inFlight: number;
}

export interface ControlClientOptions {
  /** Control addresses of the replicas to contact, `<ip>:<port>`. */
  readonly replicaAddresses: readonly string[];
  readonly tls?: () => SecureClientSessionOptions;
  /** Local address of connections, for an instance with several addresses. */
  readonly localAddress?: string | undefined;
  readonly lease: Lease;
  readonly directory: Directory;
  readonly clock: Clock;
  readonly tasks: BackgroundTasks;
  readonly logger: Logger;
  readonly renewIntervalMs: number;
  /** Index of the replica to watch first; spreads the watch streams of daemons over the replicas. */
  readonly watchOffset: number;
  readonly collectLoadReport: () => LoadReport;
}

const OPEN_TIMEOUT_MS = 1000;
const RETRY_DELAY_MS = 50;
const EXECUTE_TIMEOUT_MS = 5000;
// Number of renewals to keep until the directory has reached their commit index.
const MAX_UNCONFIRMED_RENEWALS = 64;
const END_SESSION_TIMEOUT_MS = 1000;
// Number of unanswered renewals above which another replica is tried.
const MAX_UNANSWERED_RENEWALS = 2;
// A watch stream that lags behind the leader for this long is reopened at another replica.
const WATCH_LAG_LIMIT_MS = 400;

const changesSchema = z.array(directoryChangeSchema);
/** A session stream that the leader has accepted. */
interface OpenSession {
  readonly outbox: PassThrough;
  readonly abort: LinkedAbort;
  readonly closed: Promise<void>;
}

/** The commit index that the leader returned for a renewal. */
interface RenewalResponse {
  readonly sentAtMs: number;
  readonly commitIndex: number;
}

/** The result of an operation, or whether it may have run and which replica may be the leader. */
type ExecuteOutcome =
  {readonly result: unknown} | {readonly mayHaveRun: boolean; readonly leaderAddress: string};

type RequestInit = MessageInitShape<typeof SessionRequestSchema>;

/** The lease session, the watch stream and the operator calls of one daemon to the control replicas. */
export class ControlClient {
  private registration: Registration | undefined;
  private nextLeaderAddress = '';
  /** Address of the replica that ran the last operator call. */
  private operatorLeaderAddress = '';
  private nextReplicaIndex = 0;
  private openSession: OpenSession | undefined;
  /** Resolves once the session that is being opened is open or has failed. */
  private opening: Promise<void> = Promise.resolve();
  private watchAbort: LinkedAbort | undefined;
  private highestCommitIndex = 0;
  private unconfirmedRenewals: RenewalResponse[] = [];
  private laggingSinceMs: number | undefined;
  private confirmedCurrentAtMs = -Infinity;
  private readonly transports = new Map<string, Transport>();
  private readonly sentAtMsBySeq = new Map<number, number>();
  private seq = 0;
  private leaseTtlMs = 0;

  constructor(private readonly opts: ControlClientOptions) {}

  /** Starts the session and watch tasks. */
  start(): void {
    this.opts.tasks.run('lease session', (signal) => this.maintainSession(signal));
    this.opts.tasks.run('watch', (signal) => this.maintainWatch(signal));
    this.opts.directory.onChange(() => this.updateConfirmedTime());
  }

  /** Registers this daemon. An earlier session must have been ended. */
  register(registration: Registration): void {
    this.registration = registration;
  }

  /** Monotonic time at which the directory was last known to be current. */
  get directoryCurrentAtMs(): number {
    return this.confirmedCurrentAtMs;
  }

  reportReleased(ranges: readonly ReleasedRange[]): void {
    const keys = ranges.map(({range}) => ({
      startPosition: range.startPosition,
      epoch: BigInt(range.epoch),
    }));
    this.send({message: {case: 'released', value: {ranges: keys}}});
  }

  /** Reports the requests that were in flight at a crash of the local target to all daemons. */
  reportPoison(report: PoisonReport): void {
    this.send({message: {case: 'poisonReport', value: {entries: encodeValue(report)}}});
  }

  /** Asks the leader to move the ranges of this daemon away. */
  drain(): void {
    this.send({message: {case: 'drain', value: {}}});
  }

  /**
   * Ends the session; this daemon serves no requests afterwards. Resolves when the leader has ended the
   * session, or when the message cannot be sent and the lease has to expire.
   */
  async endSession(reason: string): Promise<void> {
    this.registration = undefined;
    this.opts.lease.end();
    // A session that is being opened with the former registration must be ended, too.
    await this.opening;
    this.opts.lease.end();
    const open = this.openSession;
    if (!open) return;
    this.send({message: {case: 'giveUp', value: {reason}}});
    const timer = setTimeout(() => open.abort.abort(), END_SESSION_TIMEOUT_MS);
    await open.closed;
    clearTimeout(timer);
  }

  /**
   * Runs an operator operation on the leader, which may be a replica that is not in the settings.
   * @throws MedlarlaneError of the operation; `COMMIT_UNKNOWN` when a replica may have run a change but
   * did not respond; `NO_LEADER` when certainly none has run it.
   */
  async execute(operation: AdminOperation, args: unknown): Promise<unknown> {
    const addresses = [this.operatorLeaderAddress, ...this.opts.replicaAddresses];
    const tried = new Set(['']);
    let mayHaveRun = false;
    for (let address = addresses.shift(); address !== undefined; address = addresses.shift()) {
      if (tried.has(address)) continue;
      tried.add(address);
      const outcome = await this.executeAt(address, operation, args);
      if ('result' in outcome) {
        this.operatorLeaderAddress = address;
        return outcome.result;
      }
      mayHaveRun ||= outcome.mayHaveRun;
      addresses.unshift(outcome.leaderAddress);
    }
    const isUncertain = mayHaveRun && ADMIN_OPERATIONS[operation].changesState;
    throw new MedlarlaneError(isUncertain ? 'COMMIT_UNKNOWN' : 'NO_LEADER');
  }

  private async executeAt(
    address: string,
    operation: AdminOperation,
    args: unknown,
  ): Promise<ExecuteOutcome> {
    const client = createClient(AdminService, this.transport(address));
    const request = {operation, argumentsJson: JSON.stringify(args ?? {})};
    let response;
    try {
      response = await client.execute(request, {timeoutMs: EXECUTE_TIMEOUT_MS});
    } catch (failure) {
      this.opts.logger.debug({address, err: failure}, 'Operator call failed');
      return {mayHaveRun: !isConnectionRefused(failure), leaderAddress: ''};
    }
    if (!response.problemJson) return {result: JSON.parse(response.resultJson) as unknown};
    const error =
      fromProblemDocument(JSON.parse(response.problemJson)) ?? new MedlarlaneError('INTERNAL');
    if (error.code !== 'NOT_LEADER' && error.code !== 'NO_LEADER') throw error;
    const {leaderAddress} = error.details;
    return {
      mayHaveRun: false,
      leaderAddress: typeof leaderAddress === 'string' ? leaderAddress : '',
    };
  }

  private async maintainSession(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.registration) await this.runSession(this.registration, signal);
      await this.opts.clock.sleep(RETRY_DELAY_MS, {signal});
    }
  }

  private async runSession(registration: Registration, signal: AbortSignal): Promise<void> {
    const address = this.selectReplica();
    const abort = linkAbort([signal]);
    const outbox = new PassThrough({objectMode: true});
    const opened = createDeferred();
    const closing = createDeferred();
    const session: OpenSession = {outbox, abort, closed: closing.promise};
    this.opening = opened.promise;
    const openTimer = setTimeout(() => abort.abort(), OPEN_TIMEOUT_MS);
    try {
      outbox.write(this.firstMessage(registration));
      const responses = createClient(LeaseService, this.transport(address)).session(
        outbox as AsyncIterable<SessionRequest>,
        {signal: abort.signal},
      );
      for await (const response of responses) {
        clearTimeout(openTimer);
        if (this.handleResponse(response, session) === 'finished') return;
        if (this.openSession === session) opened.resolve();
      }
    } catch (failure) {
      this.opts.logger.debug({address, err: failure}, 'Lease session closed');
    } finally {
      clearTimeout(openTimer);
      abort.abort();
      outbox.end();
      if (this.openSession === session) this.openSession = undefined;
      opened.resolve();
      closing.resolve();
    }
  }

  private firstMessage(registration: Registration): SessionRequest {
    const {sessionId} = this.opts.lease;
    const init: RequestInit =
      sessionId === 0
        ? {message: {case: 'register', value: {registration: encodeValue(registration)}}}
        : {
            message: {
              case: 'resume',
              value: {sessionId: BigInt(sessionId), incarnation: registration.incarnation},
            },
          };
    return create(SessionRequestSchema, init);
  }

  private handleResponse({message}: SessionResponse, session: OpenSession): 'open' | 'finished' {
    switch (message.case) {
      case 'registered':
        this.opts.lease.start(Number(message.value.sessionId));
        this.leaseTtlMs = message.value.leaseTtlMs;
        this.openSession = session;
        this.opts.logger.info({sessionId: this.opts.lease.sessionId}, 'Session opened');
        void this.renewPeriodically(session.abort);
        return 'open';
      case 'renewAck':
        this.handleRenewAck(message.value.seq, Number(message.value.commitIndex));
        return 'open';
      case 'sessionEnded':
        this.opts.logger.info({reason: message.value.reason}, 'Session ended');
        this.opts.lease.end();
        return 'finished';
      case 'notLeader':
        this.nextLeaderAddress = message.value.leaderAddress;
        return 'finished';
      case undefined:
        return 'open';
    }
  }

  private async renewPeriodically(abort: LinkedAbort): Promise<void> {
    const {signal} = abort;
    const {clock, renewIntervalMs} = this.opts;
    this.sentAtMsBySeq.clear();
    try {
      while (!signal.aborted) {
        if (this.sentAtMsBySeq.size > MAX_UNANSWERED_RENEWALS) return abort.abort();
        this.renew();
        this.closeLaggingWatch();
        await clock.sleep(renewIntervalMs, {signal});
      }
    } catch {
      // The stream has ended.
    }
  }

  private renew(): void {
    this.seq += 1;
    this.sentAtMsBySeq.set(this.seq, this.opts.clock.nowMs());
    const {rangeLoads, keyLoads, inFlight} = this.opts.collectLoadReport();
    this.send({
      message: {
        case: 'renew',
        value: {
          seq: this.seq,
          appliedIndex: BigInt(this.opts.directory.appliedIndex),
          rangeLoads: [...rangeLoads],
          keyLoads: [...keyLoads],
          inFlight,
        },
      },
    });
  }

  private handleRenewAck(seq: number, commitIndex: number): void {
    const sentAtMs = this.sentAtMsBySeq.get(seq);
    if (sentAtMs === undefined) return;
    for (const sent of this.sentAtMsBySeq.keys()) {
      if (sent <= seq) this.sentAtMsBySeq.delete(sent);
    }
    this.opts.lease.extend(sentAtMs, this.leaseTtlMs);
    this.highestCommitIndex = Math.max(this.highestCommitIndex, commitIndex);
    this.unconfirmedRenewals = [...this.unconfirmedRenewals, {sentAtMs, commitIndex}].slice(
      -MAX_UNCONFIRMED_RENEWALS,
    );
    this.updateConfirmedTime();
  }

  /** The directory is current as of the latest renewal whose commit index it has reached. */
  private updateConfirmedTime(): void {
    const {appliedIndex} = this.opts.directory;
    const confirmed = this.unconfirmedRenewals.filter(
      ({commitIndex}) => commitIndex <= appliedIndex,
    );
    const latest = confirmed.at(-1);
    if (!latest) return;
    this.confirmedCurrentAtMs = latest.sentAtMs;
    this.unconfirmedRenewals = this.unconfirmedRenewals.filter(
      ({commitIndex}) => commitIndex > appliedIndex,
    );
  }

  /** Closes the watch stream when its replica lags behind the leader, being frozen or isolated. */
  private closeLaggingWatch(): void {
    const nowMs = this.opts.clock.nowMs();
    if (this.opts.directory.appliedIndex >= this.highestCommitIndex) {
      this.laggingSinceMs = undefined;
      return;
    }
    this.laggingSinceMs ??= nowMs;
    if (nowMs - this.laggingSinceMs < WATCH_LAG_LIMIT_MS) return;
    this.laggingSinceMs = undefined;
    this.watchAbort?.abort();
  }

  private async maintainWatch(signal: AbortSignal): Promise<void> {
    const {replicaAddresses, clock, watchOffset} = this.opts;
    for (let attempt = watchOffset; !signal.aborted; attempt++) {
      const address = replicaAddresses[attempt % replicaAddresses.length]!;
      const abort = linkAbort([signal]);
      this.watchAbort = abort;
      try {
        await this.runWatch(address, abort.signal);
      } catch (failure) {
        this.opts.logger.debug({address, err: failure}, 'Watch stream closed');
      } finally {
        abort.release();
      }
      await clock.sleep(RETRY_DELAY_MS, {signal});
    }
  }

  private async runWatch(address: string, signal: AbortSignal): Promise<void> {
    const {directory} = this.opts;
    const client = createClient(WatchService, this.transport(address));
    const request = {fromIndex: BigInt(directory.appliedIndex)};
    for await (const response of client.watch(request, {signal})) {
      const index = Number(response.index);
      if (response.snapshot.length > 0) {
        directory.applySnapshot(index, decodeValue(directorySnapshotSchema, response.snapshot));
      } else {
        const changes =
          response.changes.length > 0 ? decodeValue(changesSchema, response.changes) : [];
        directory.applyChanges(index, changes);
      }
    }
  }

  private send(init: RequestInit): void {
    this.openSession?.outbox.write(create(SessionRequestSchema, init));
  }

  /** Returns the leader from the last response, which is tried once, or the next configured replica. */
  private selectReplica(): string {
    const leaderAddress = this.nextLeaderAddress;
    this.nextLeaderAddress = '';
    if (leaderAddress) return leaderAddress;
    const {replicaAddresses} = this.opts;
    return replicaAddresses[this.nextReplicaIndex++ % replicaAddresses.length]!;
  }

  private transport(address: string): Transport {
    const existing = this.transports.get(address);
    if (existing) return existing;
    const {tls, localAddress} = this.opts;
    const transport = createConnectTransport({
      httpVersion: '2',
      baseUrl: `${tls ? 'https' : 'http'}://${address}`,
      nodeOptions: {
        ...tls?.(),
        ...(localAddress === undefined ? {} : {localAddress}),
      },
    });
    this.transports.set(address, transport);
    return transport;
  }
}

/** Whether the connection was refused, so that the request certainly reached no replica. */
function isConnectionRefused(failure: unknown): boolean {
  const {cause} = ConnectError.from(failure);
  return cause instanceof Error && 'code' in cause && cause.code === 'ECONNREFUSED';
}
