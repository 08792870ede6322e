import type {Clock} from '@medlarlane/lifecycle';

/** Lets tasks wait until something changes. */
export class Wakeup {
  private readonly waiters = new Set<() => void>();

  notify(): void {
    const waiters = [...this.waiters];
    this.waiters.clear();
    for (const wake of waiters) wake();
  }

  /** Resolves at the next `notify` or when `signal` aborts. */
  wait(signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) return resolve();
      const wake = (): void => {
        this.waiters.delete(wake);
        signal?.removeEventListener('abort', wake);
        resolve();
      };
      this.waiters.add(wake);
      signal?.addEventListener('abort', wake, {once: true});
    });
  }

  /** Resolves at the next `notify`, after `durationMs`, or when `signal` aborts. */
  async waitFor(clock: Clock, durationMs: number, signal: AbortSignal): Promise<void> {
    const abort = new AbortController();
    const stop = (): void => abort.abort();
    signal.addEventListener('abort', stop, {once: true});
    if (signal.aborted) stop();
    const slept = clock.sleep(durationMs, {signal: abort.signal}).catch(() => undefined);
    await Promise.race([slept, this.wait(abort.signal)]);
    stop();
    signal.removeEventListener('abort', stop);
  }
}

/** Waits and returns early, without an error, when `signal` aborts. */
export async function pause(clock: Clock, durationMs: number, signal: AbortSignal): Promise<void> {
  const abort = new AbortController();
  const stop = (): void => abort.abort();
  signal.addEventListener('abort', stop, {once: true});
  if (signal.aborted) stop();
  await clock.sleep(durationMs, {signal: abort.signal}).catch(() => undefined);
  signal.removeEventListener('abort', stop);
}
