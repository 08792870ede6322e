import type {DisposableStore} from '@medlarlane/lifecycle';

/** How often the delay of the event loop is measured. */
const SAMPLE_MS = 50;
/** Weight of a smaller delay than the one before, so that one quiet moment does not end an overload. */
const FALL_SMOOTHING = 0.15;

/** Measures how late this process gets to its work, which is how long requests wait unread. */
export class EventLoopLag {
  private smoothedMs = 0;
  private dueAtMs = performance.now() + SAMPLE_MS;

  constructor(disposables: DisposableStore) {
    const timer = setInterval(() => this.sample(), SAMPLE_MS);
    disposables.add(() => clearInterval(timer));
  }

  /**
   * Recent delay, milliseconds. After a process was not scheduled for a while, what it reads first comes
   * before the overdue measurement, so that counts as well.
   */
  get lagMs(): number {
    return Math.max(this.smoothedMs, performance.now() - this.dueAtMs);
  }

  private sample(): void {
    const nowMs = performance.now();
    const lateMs = Math.max(0, nowMs - this.dueAtMs);
    this.dueAtMs = nowMs + SAMPLE_MS;
    const weight = lateMs > this.smoothedMs ? 1 : FALL_SMOOTHING;
    this.smoothedMs += (lateMs - this.smoothedMs) * weight;
  }
}
