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
  /** Control addresses to start with. */
  readonly seeds: () => readonly string[];
  /** The report to send now. */
  readonly buildReport: (known: SyncState) => ReportRequest;
  /** Takes an answer that is newer than all before. `sentAtMs` is when its report was sent. */
  readonly onResponse: (answer: ReportResponse, sentAtMs: number) => void;
}

/** What the daemon already has, so that answers hold differences only. */
export interface SyncState {
  readonly leaderTerm: number;
  readonly directoryRevision: number;
  /** Log index up to which the owners of keys are known. */
  readonly rangesIndex: number;
}

/**
 * The leader holds a report without news for this time, which makes changes arrive at once. A
 * connection that has gone silent is noticed when it and the time limit below have passed, which has
 * to leave room for a new connection within the 2 s that a configuration may take.
 */
const REPORT_WAIT_MS = 600;
/** Bound of a report beyond the time that it may be held. */
const REPORT_TIMEOUT_MS = 450;
/** Pause after a failed report, so that the replicas of an election are not flooded. */
const RETRY_PAUSE_MS = 100;
/** Pause between reports that are answered at once. */
const MIN_PAUSE_MS = 40;

/** Reports to the control leader for as long as the daemon runs. */
export class ControlReporter {
  private readonly tasks: BackgroundTasks;
  private known: SyncState = {leaderTerm: 0, directoryRevision: 0, rangesIndex: 0};
  private leaderAddress: string | undefined;
  private controlAddresses: readonly string[] = [];
  private nextCandidate = 0;
  private connected = false;
  private answeredAtMs = -Infinity;
  private urgent = false;

  constructor(private readonly opts: ControlReporterOptions) {
    this.tasks = new BackgroundTasks({
      onFailure: (taskName, err) => opts.logger.error({err, taskName}, 'Task failed'),
    });
  }

  /** Time since the last answer of a leader, in milliseconds. */
  get sinceLastResponseMs(): number {
    return this.opts.clock.nowMs() - this.answeredAtMs;
  }

  start(): void {
    this.tasks.run('reports', (signal) => this.run(signal));
  }

  stop(): Promise<void> {
    return this.tasks.stop();
  }

  /** Sends a report at once, beside the one that the leader may be holding. */
  reportNow(): void {
    if (this.urgent) return;
    this.urgent = true;
    setImmediate(() => {
      this.urgent = false;
      void this.exchange(0).catch((thrown: unknown) => {
        const {code} = toMedlarlaneError(thrown);
        this.opts.logger.info({code}, 'Urgent report failed; the next regular one repeats it');
      });
    });
  }

  private async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.opts;
    while (!signal.aborted) {
      let pauseMs = MIN_PAUSE_MS;
      try {
        await this.exchange(REPORT_WAIT_MS, signal);
      } catch (thrown) {
        pauseMs = this.onFailure(toMedlarlaneError(thrown));
      }
      await clock.sleep(pauseMs, {signal});
    }
  }

  private async exchange(waitMs: number, signal?: AbortSignal): Promise<void> {
    const {rpc, clock, buildReport: report, onResponse: onAnswer, logger} = this.opts;
    const address = this.leaderAddress ?? this.nextAddress();
    const sentAtMs = clock.nowMs();
    const answer = reportResponseSchema.parse(
      await rpc.call(
        address,
        'report',
        {...report(this.known), waitMs},
        {
          timeoutMs: waitMs + REPORT_TIMEOUT_MS,
          ...(signal ? {signal} : {}),
        },
      ),
    );
    if (!this.isNewer(answer)) return;
    this.leaderAddress = address;
    this.controlAddresses = answer.controlAddresses;
    this.answeredAtMs = clock.nowMs();
    if (!this.connected || answer.leaderTerm !== this.known.leaderTerm) {
      logger.info({address, leaderTerm: answer.leaderTerm}, 'Reports to a control leader');
    }
    this.connected = true;
    // An answer that was overtaken names owners that have changed since.
    const isCurrent = answer.rangesIndex >= this.known.rangesIndex;
    this.known = {
      leaderTerm: answer.leaderTerm,
      directoryRevision: answer.directoryRevision,
      rangesIndex: Math.max(this.known.rangesIndex, answer.rangesIndex),
    };
    onAnswer(isCurrent ? answer : {...answer, ranges: []}, sentAtMs);
  }

  /** Answers of two reports may overtake each other. */
  private isNewer({leaderTerm, directoryRevision}: ReportResponse): boolean {
    const {known} = this;
    if (leaderTerm !== known.leaderTerm) return leaderTerm > known.leaderTerm;
    return directoryRevision >= known.directoryRevision;
  }

  private onFailure(error: MedlarlaneError): number {
    const {logger, clock} = this.opts;
    const formerLeader = this.leaderAddress;
    const named = error.details['leaderAddress'];
    this.leaderAddress = typeof named === 'string' && named !== formerLeader ? named : undefined;
    if (this.connected) {
      this.connected = false;
      const silentMs = Math.round(clock.nowMs() - this.answeredAtMs);
      logger.warn({code: error.code, formerLeader, silentMs}, 'Lost the control leader');
    }
    return this.leaderAddress === undefined ? RETRY_PAUSE_MS : 0;
  }

  private nextAddress(): string {
    const all = [...new Set([...this.controlAddresses, ...this.opts.seeds()])];
    this.nextCandidate += 1;
    const address = all[this.nextCandidate % all.length];
    if (address === undefined) throw new MedlarlaneError('NO_LEADER', 'No seed is known');
    return address;
  }
}
