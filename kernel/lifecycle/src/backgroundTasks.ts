import {DisposableStore} from './disposableStore.js';

export interface BackgroundTasksOptions {
  /** Receives the failure of a task that was not stopped. */
  readonly onFailure: (taskName: string, failure: unknown) => void;
}

/** Runs long-lived async tasks and stops them together. */
export class BackgroundTasks {
  private readonly abort = new AbortController();
  private readonly running = new Set<Promise<void>>();

  constructor(private readonly opts: BackgroundTasksOptions) {}

  /** Aborts when `stop` is called. */
  get signal(): AbortSignal {
    return this.abort.signal;
  }

  /** Starts a task; the task returns or throws soon after its signal aborts. */
  run(taskName: string, task: (signal: AbortSignal) => Promise<void>): void {
    const running = task(this.abort.signal)
      .catch((failure: unknown) => {
        if (!this.abort.signal.aborted) this.opts.onFailure(taskName, failure);
      })
      .finally(() => this.running.delete(running));
    this.running.add(running);
  }

  async stop(): Promise<void> {
    this.abort.abort();
    await Promise.all(this.running);
  }

  /** Stops the tasks when the store is disposed of. */
  disposeWith(store: DisposableStore): this {
    store.add(() => this.stop());
    return this;
  }
}
