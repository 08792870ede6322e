import {setTimeout as delay} from 'node:timers/promises';

/** A source of time. Durations and deadlines use `nowMs`, which never goes backwards. */
export interface Clock {
  /** Monotonic time in milliseconds since an arbitrary origin. */
  nowMs(): number;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  wallMs(): number;
  /** Resolves after `durationMs`; rejects with the abort reason when `signal` aborts. */
  sleep(durationMs: number, opts?: {signal?: AbortSignal}): Promise<void>;
}

export const systemClock: Clock = {
  nowMs: () => performance.now(),
  wallMs: () => Date.now(),
  sleep: async (durationMs, opts = {}) => {
    await delay(durationMs, undefined, opts.signal ? {signal: opts.signal} : {});
  },
};

interface Sleeper {
  readonly dueMs: number;
  readonly wake: () => void;
}

/** A clock for tests that moves only when it is advanced. */
export class ManualClock implements Clock {
  private elapsedMs = 0;
  private sleepers: Sleeper[] = [];

  constructor(private readonly startWallMs = 1_700_000_000_000) {}

  nowMs(): number {
    return this.elapsedMs;
  }

  wallMs(): number {
    return this.startWallMs + this.elapsedMs;
  }

  sleep(durationMs: number, opts: {signal?: AbortSignal} = {}): Promise<void> {
    return new Promise((resolve, reject) => {
      const {signal} = opts;
      if (signal?.aborted) return reject(signal.reason);
      const sleeper: Sleeper = {dueMs: this.elapsedMs + durationMs, wake: resolve};
      this.sleepers.push(sleeper);
      signal?.addEventListener('abort', () => {
        this.sleepers = this.sleepers.filter((other) => other !== sleeper);
        reject(signal.reason);
      });
    });
  }

  /**
   * Advances time and wakes the sleepers in the order of their due times; pending promises settle
   * in between.
   */
  async advance(durationMs: number): Promise<void> {
    const endMs = this.elapsedMs + durationMs;
    for (;;) {
      const next = this.sleepers
        .filter(({dueMs}) => dueMs <= endMs)
        .sort((a, b) => a.dueMs - b.dueMs)[0];
      if (!next) break;
      this.sleepers = this.sleepers.filter((other) => other !== next);
      this.elapsedMs = Math.max(this.elapsedMs, next.dueMs);
      next.wake();
      await settlePromises();
    }
    this.elapsedMs = endMs;
    await settlePromises();
  }
}

function settlePromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** Returns a signal that aborts after `durationMs`, which may be fractional or negative. */
export function timeoutSignal(durationMs: number): AbortSignal {
  return AbortSignal.timeout(Math.max(0, Math.ceil(durationMs)));
}
