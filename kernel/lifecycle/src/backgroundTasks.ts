import {DisposableStore} from './disposableStore.js';

export interface BackgroundTasksOptions {
  /** Called when a task fails before `stop` is called. */
  readonly onFailure: (taskName: string, failure: unknown) => void;
}

/** Runs long-lived async tasks and stops them together. */
export class BackgroundTasks {
  private readonly abort = new AbortController();
  private readonly runningTasks = new Set<Promise<void>>();

  constructor(private readonly opts: BackgroundTasksOptions) {}

  /** Signal that aborts when `stop` is called. */
  get signal(): AbortSignal {
    return this.abort.signal;
  }

  /** Starts a task, which must return or throw soon after its signal aborts. */
  run(taskName: string, task: (signal: AbortSignal) => Promise<void>): void {
    const runningTask = task(this.abort.signal)
      .catch((failure: unknown) => {
        if (!this.abort.signal.aborted) this.opts.onFailure(taskName, failure);
      })
      .finally(() => this.runningTasks.delete(runningTask));
    this.runningTasks.add(runningTask);
  }

  async stop(): Promise<void> {
    this.abort.abort();
    await Promise.all(this.runningTasks);
  }

  /** Stops the tasks when the store is disposed. */
  disposeWith(store: DisposableStore): this {
    store.add(() => this.stop());
    return this;
  }
}
