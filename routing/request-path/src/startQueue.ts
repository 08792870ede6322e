import {MedlarlaneError} from '@medlarlane/errors';

/** A request that was read and waits for processor time. */
export interface PendingStart {
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Requests of a priority with a shorter latency target are started first. */
  readonly targetLatencyMs: number;
  /** Time for which the request may wait, after which it is refused. */
  readonly maxWaitMs: number;
  readonly signal: AbortSignal;
}

interface Waiter extends PendingStart {
  readonly enqueuedAtMs: number;
  /** Number of the turn from which on the request may be started. */
  readonly fromTurn: number;
  settle(error?: MedlarlaneError): void;
}

/**
 * Turns after which a disconnection that the kernel already knew is seen: the next one reads the end of the
 * connection, and its handle is closed after that.
 */
const DISCONNECTION_TURNS = 2;
/** Time for which nothing is started while new connections are accepted; longer if starts are costly. */
const MIN_ACCEPT_MS = 10;
/** Time for accepting per processor time of a start, so that starts take a quarter of the time at most. */
const ACCEPT_MS_PER_START_MS = 3;
/** Bounds the time that refusals take in one turn; one costs about a tenth of a start. */
const MAX_REFUSALS_PER_TURN = 16;
/** Time between two starts before any is known, and weight of a new one. */
const INITIAL_START_MS = 1;
const START_SMOOTHING = 0.2;
/** An overload lasts for about this time once requests are refused; the jitter spreads returning callers. */
const MIN_RETRY_MS = 300;
const RETRY_JITTER_MS = 700;

/**
 * Order in which a daemon starts the requests that it has read. Node.js accepts one connection in each turn of
 * the event loop, so that callers wait in the accept queue of the kernel, unseen and in order of arrival,
 * while their requests are handled. Therefore nothing is started in a turn that accepted a connection,
 * and requests wait here: by priority and latency target, and of the same class the newest first, because the
 * callers of the oldest ones give up first. A request that has waited too long is refused.
 */
export class StartQueue {
  private readonly waiters: Waiter[] = [];
  private turn = 0;
  private isTurnScheduled = false;
  private hasAccepted = false;
  private acceptingSinceMs: number | undefined;
  /** Start of the last request, for the time between two starts. */
  private lastStartAtMs: number | undefined;
  /** Smoothed time between two starts, which includes accepting and refusing. */
  private smoothedStartMs = INITIAL_START_MS;
  /** Set if the last turn started a request, for its processor time. */
  private startedAtMs: number | undefined;
  /** Smoothed processor time of a start. */
  private smoothedCostMs = 0;

  /** `nowMs` returns a monotonic time, by default that of the process. */
  constructor(private readonly nowMs: () => number = () => performance.now()) {}

  /** Number of requests that wait. */
  get length(): number {
    return this.waiters.length;
  }

  /** Must be called for each accepted connection. */
  recordConnection(): void {
    this.hasAccepted = true;
    this.acceptingSinceMs ??= this.nowMs();
    this.scheduleTurn();
  }

  /**
   * Resolves when the request may be started, or at once if it is aborted. With `mayHaveWaited`, its caller may
   * already have disconnected, which is found out first.
   * @throws MedlarlaneError `OVERLOADED` with ran `no` and `retryAfterMs`.
   */
  wait(request: PendingStart, opts: {mayHaveWaited: boolean}): Promise<void> | undefined {
    if (!opts.mayHaveWaited && this.waiters.length === 0) return undefined;
    return new Promise((resolve, reject) => {
      const {signal} = request;
      const onAbort = (): void => this.remove(waiter);
      const waiter: Waiter = {
        ...request,
        enqueuedAtMs: this.nowMs(),
        fromTurn: this.turn + (opts.mayHaveWaited ? DISCONNECTION_TURNS : 0),
        settle: (error) => {
          signal.removeEventListener('abort', onAbort);
          if (error) reject(error);
          else resolve();
        },
      };
      this.waiters.push(waiter);
      signal.addEventListener('abort', onAbort, {once: true});
      this.scheduleTurn();
    });
  }

  private scheduleTurn(): void {
    if (this.isTurnScheduled) return;
    this.isTurnScheduled = true;
    setImmediate(() => {
      this.isTurnScheduled = false;
      this.runTurn();
      if (this.waiters.length > 0) this.scheduleTurn();
    });
  }

  private runTurn(): void {
    const nowMs = this.nowMs();
    if (this.startedAtMs !== undefined) {
      this.smoothedCostMs += (nowMs - this.startedAtMs - this.smoothedCostMs) * START_SMOOTHING;
      this.startedAtMs = undefined;
    }
    if (this.hasAccepted) {
      this.hasAccepted = false;
      this.acceptingSinceMs ??= nowMs;
    } else {
      this.acceptingSinceMs = undefined;
    }
    const maxAcceptMs = Math.max(MIN_ACCEPT_MS, this.smoothedCostMs * ACCEPT_MS_PER_START_MS);
    const mustAccept =
      this.acceptingSinceMs !== undefined && nowMs - this.acceptingSinceMs < maxAcceptMs;
    if (!mustAccept) {
      this.acceptingSinceMs = undefined;
      this.refuseHopeless(nowMs);
      this.startNext(nowMs);
    }
    this.turn += 1;
  }

  private startNext(nowMs: number): void {
    let next: Waiter | undefined;
    for (const waiter of this.waiters) {
      if (waiter.fromTurn <= this.turn && (!next || precedes(waiter, next))) next = waiter;
    }
    if (this.lastStartAtMs !== undefined) {
      const startMs = nowMs - this.lastStartAtMs;
      this.smoothedStartMs += (startMs - this.smoothedStartMs) * START_SMOOTHING;
    }
    if (next) this.remove(next);
    // Without further waiters, the time until the next turn is no processor time.
    const isNextTurnDue = this.waiters.length > 0;
    this.lastStartAtMs = isNextTurnDue ? nowMs : undefined;
    this.startedAtMs = next && isNextTurnDue ? nowMs : undefined;
  }

  /** Refuses requests that have waited too long or will have by the time it is their turn. */
  private refuseHopeless(nowMs: number): void {
    if (this.waiters.length === 0) return;
    const inOrder = [...this.waiters].reverse().sort(compareClasses);
    const hopeless = inOrder.filter(
      ({enqueuedAtMs, maxWaitMs}, index) =>
        nowMs - enqueuedAtMs + index * this.smoothedStartMs > maxWaitMs,
    );
    for (const waiter of hopeless.reverse().slice(0, MAX_REFUSALS_PER_TURN)) {
      this.remove(
        waiter,
        new MedlarlaneError('OVERLOADED', 'Daemon has no processor time for the request', {
          ran: 'no',
          details: {retryAfterMs: MIN_RETRY_MS + Math.random() * RETRY_JITTER_MS},
        }),
      );
    }
  }

  private remove(waiter: Waiter, error?: MedlarlaneError): void {
    const index = this.waiters.indexOf(waiter);
    if (index < 0) return;
    this.waiters.splice(index, 1);
    waiter.settle(error);
  }
}

/** Orders by priority, then by latency target. */
function compareClasses(a: PendingStart, b: PendingStart): number {
  return a.priority - b.priority || a.targetLatencyMs - b.targetLatencyMs;
}

/** Waiters are compared in order of arrival, so that of equal ones the newest precedes. */
function precedes(next: PendingStart, earlier: PendingStart): boolean {
  return compareClasses(next, earlier) <= 0;
}
