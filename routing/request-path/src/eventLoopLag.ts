import type {DisposableStore} from '@medlarlane/lifecycle';

/** Interval at which the event loop lag is sampled. */
const SAMPLE_INTERVAL_MS = 50;
/** Weight of a decreasing lag, so that one low sample does not end an overload. */
const DECREASE_SMOOTHING = 0.15;

/** Measures the event loop lag, which is the time that requests wait before they are read. */
export class EventLoopLag {
  private smoothedMs = 0;
  private dueAtMs = performance.now() + SAMPLE_INTERVAL_MS;

  constructor(disposables: DisposableStore) {
    const timer = setInterval(() => this.sample(), SAMPLE_INTERVAL_MS);
    disposables.add(() => clearInterval(timer));
  }

  /**
   * Recent event loop lag in milliseconds. After a stall, sockets are read before the overdue sample is
   * taken, so the current delay of that sample is included.
   */
  get lagMs(): number {
    return Math.max(this.smoothedMs, performance.now() - this.dueAtMs);
  }

  private sample(): void {
    const nowMs = performance.now();
    const lateMs = Math.max(0, nowMs - this.dueAtMs);
    this.dueAtMs = nowMs + SAMPLE_INTERVAL_MS;
    const weight = lateMs > this.smoothedMs ? 1 : DECREASE_SMOOTHING;
    this.smoothedMs += (lateMs - this.smoothedMs) * weight;
  }
}
