import {randomUUID} from 'node:crypto';
import {MedlarlaneError, toMedlarlaneError} from '@medlarlane/errors';
import {BackgroundTasks} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';
import type {Logger} from '@medlarlane/logger';
import type {RpcClient} from '@medlarlane/rpc';
import {reportResponseSchema} from '@medlarlane/site-control';
import type {ReportRequest, ReportResponse} from '@medlarlane/site-control';

export interface ControlReporterOptions {
  readonly rpc: RpcClient;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Initial control addresses. */
  readonly seeds: () => readonly string[];
  /** Builds the next report, to which its number is added. */
  readonly buildReport: (syncState: SyncState) => ReportRequest;
  /** Called for each response that arrives in order. `sentAtMs` is the time its report was sent. */
  readonly onResponse: (response: ReportResponse, sentAtMs: number) => void;
}

/** The state that the daemon has already received, so that responses contain only changes. */
export interface SyncState {
  readonly leaderTerm: number;
  readonly directoryRevision: number;
  /** Log index up to which the key owners are known. */
  readonly rangesIndex: number;
}

/**
 * Long-polling time: the leader holds a report for up to this time until there is a change to send, so
 * that changes arrive immediately. A dead connection is detected after this time plus the timeout
 * below, which must leave time for a new connection within the 2 s in which a configuration must take
 * effect.
 */
const LONG_POLL_MS = 600;
/** Timeout of a report, in addition to the time for which the leader may hold it. */
const REPORT_TIMEOUT_MS = 450;
/** Delay after a failed report, so that replicas are not flooded during an election. */
const RETRY_DELAY_MS = 100;
/** Minimum delay between reports if the leader responds immediately. */
const MIN_REPORT_DELAY_MS = 40;

/** Sends the daemon's reports to the control leader and receives the changes of the site state. */
export class ControlReporter {
  private readonly tasks: BackgroundTasks;
  private readonly processId = randomUUID();
  /** Number of the last report that was built. */
  private sequence = 0;
  private syncState: SyncState = {leaderTerm: 0, directoryRevision: 0, rangesIndex: 0};
  private leaderAddress: string | undefined;
  private controlAddresses: readonly string[] = [];
  private addressIndex = 0;
  private isConnected = false;
  private lastResponseAtMs = -Infinity;
  private isReportScheduled = false;

  constructor(private readonly opts: ControlReporterOptions) {
    this.tasks = new BackgroundTasks({
      onFailure: (taskName, err) => opts.logger.error({err, taskName}, 'Task failed'),
    });
  }

  /** Time since the last response of a control leader, in milliseconds. */
  get sinceLastResponseMs(): number {
    return this.opts.clock.nowMs() - this.lastResponseAtMs;
  }

  start(): void {
    this.tasks.run('reports', (signal) => this.run(signal));
  }

  stop(): Promise<void> {
    return this.tasks.stop();
  }

  /** Sends a report immediately, in parallel to one that the leader may be holding. */
  reportNow(): void {
    if (this.isReportScheduled) return;
    this.isReportScheduled = true;
    setImmediate(() => {
      this.isReportScheduled = false;
      void this.sendReport(0).catch((thrown: unknown) => {
        const {code} = toMedlarlaneError(thrown);
        this.opts.logger.info({code}, 'Immediate report failed; the next one retries it');
      });
    });
  }

  /** Sends reports until a leader has responded to one. Returns whether that was within the time. */
  async confirmReport(timeoutMs: number): Promise<boolean> {
    const {clock} = this.opts;
    const deadlineMs = clock.nowMs() + timeoutMs;
    for (;;) {
      const remainingMs = deadlineMs - clock.nowMs();
      if (remainingMs <= 0) return false;
      try {
        const reportTimeoutMs = Math.min(remainingMs, REPORT_TIMEOUT_MS);
        if (await this.sendReport(0, {timeoutMs: reportTimeoutMs})) return true;
      } catch (thrown) {
        const delayMs = this.handleFailure(toMedlarlaneError(thrown));
        await clock.sleep(Math.min(delayMs, Math.max(0, deadlineMs - clock.nowMs())));
      }
    }
  }

  private async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.opts;
    while (!signal.aborted) {
      let delayMs = MIN_REPORT_DELAY_MS;
      try {
        await this.sendReport(LONG_POLL_MS, {signal});
      } catch (thrown) {
        delayMs = this.handleFailure(toMedlarlaneError(thrown));
      }
      await clock.sleep(delayMs, {signal});
    }
  }

  /** Returns whether the response is from the newest known leader. */
  private async sendReport(
    waitMs: number,
    opts: {timeoutMs?: number; signal?: AbortSignal} = {},
  ): Promise<boolean> {
    const {rpc, clock, buildReport, onResponse, logger} = this.opts;
    const address = this.leaderAddress ?? this.nextAddress();
    const sentAtMs = clock.nowMs();
    const {processId} = this;
    const sequence = ++this.sequence;
    const response = reportResponseSchema.parse(
      await rpc.call(
        address,
        'report',
        {...buildReport(this.syncState), processId, sequence, waitMs},
        {
          timeoutMs: waitMs + (opts.timeoutMs ?? REPORT_TIMEOUT_MS),
          ...(opts.signal ? {signal: opts.signal} : {}),
        },
      ),
    );
    if (!this.isInOrder(response)) return response.leaderTerm === this.syncState.leaderTerm;
    this.leaderAddress = address;
    this.controlAddresses = response.controlAddresses;
    this.lastResponseAtMs = clock.nowMs();
    if (!this.isConnected || response.leaderTerm !== this.syncState.leaderTerm) {
      logger.info({address, leaderTerm: response.leaderTerm}, 'Connected to control leader');
    }
    this.isConnected = true;
    // A response that arrives out of order contains key owners that have changed since.
    const hasCurrentRanges = response.rangesIndex >= this.syncState.rangesIndex;
    this.syncState = {
      leaderTerm: response.leaderTerm,
      directoryRevision: response.directoryRevision,
      rangesIndex: Math.max(this.syncState.rangesIndex, response.rangesIndex),
    };
    onResponse(hasCurrentRanges ? response : {...response, ranges: []}, sentAtMs);
    return true;
  }

  /** Responses to parallel reports may arrive out of order. */
  private isInOrder({leaderTerm, directoryRevision}: ReportResponse): boolean {
    const {syncState} = this;
    if (leaderTerm !== syncState.leaderTerm) return leaderTerm > syncState.leaderTerm;
    return directoryRevision >= syncState.directoryRevision;
  }

  private handleFailure(error: MedlarlaneError): number {
    const {logger, clock} = this.opts;
    const formerLeader = this.leaderAddress;
    const redirectAddress = error.details['leaderAddress'];
    this.leaderAddress =
      typeof redirectAddress === 'string' && redirectAddress !== formerLeader
        ? redirectAddress
        : undefined;
    if (this.isConnected) {
      this.isConnected = false;
      const silentMs = Math.round(clock.nowMs() - this.lastResponseAtMs);
      logger.warn({code: error.code, formerLeader, silentMs}, 'Control leader connection lost');
    }
    return this.leaderAddress === undefined ? RETRY_DELAY_MS : 0;
  }

  private nextAddress(): string {
    const addresses = [...new Set([...this.controlAddresses, ...this.opts.seeds()])];
    this.addressIndex += 1;
    const address = addresses[this.addressIndex % addresses.length];
    if (address === undefined) throw new MedlarlaneError('NO_LEADER', 'No control address known');
    return address;
  }
}
