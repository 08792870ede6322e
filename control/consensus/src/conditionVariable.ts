import type {Clock} from '@medlarlane/lifecycle';

/** Lets async tasks wait until another task signals a change. */
export class ConditionVariable {
  private readonly waiters = new Set<() => void>();

  notifyAll(): void {
    const waiters = [...this.waiters];
    this.waiters.clear();
    for (const wake of waiters) wake();
  }

  /** Resolves at the next `notifyAll` or when `signal` aborts. */
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

  /** Resolves at the next `notifyAll`, after `durationMs`, or when `signal` aborts. */
  async waitFor(clock: Clock, durationMs: number, signal: AbortSignal): Promise<void> {
    const abort = new AbortController();
    const stop = (): void => abort.abort();
    signal.addEventListener('abort', stop, {once: true});
    if (signal.aborted) stop();
    const sleep = clock.sleep(durationMs, {signal: abort.signal}).catch(() => undefined);
    await Promise.race([sleep, this.wait(abort.signal)]);
    stop();
    signal.removeEventListener('abort', stop);
  }
}

/** Sleeps for `durationMs`; resolves early, without an error, when `signal` aborts. */
export async function abortableSleep(
  clock: Clock,
  durationMs: number,
  signal: AbortSignal,
): Promise<void> {
  const abort = new AbortController();
  const stop = (): void => abort.abort();
  signal.addEventListener('abort', stop, {once: true});
  if (signal.aborted) stop();
  await clock.sleep(durationMs, {signal: abort.signal}).catch(() => undefined);
  signal.removeEventListener('abort', stop);
}
