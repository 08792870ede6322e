type Cleanup = () => void | Promise<void>;

/** Collects cleanup steps and runs them in reverse order. */
export class DisposableStore {
  private readonly cleanups: Cleanup[] = [];
  private disposal?: Promise<void>;

  /** Adds a cleanup step. After disposal the step runs immediately. */
  add(cleanup: Cleanup): void {
    if (this.disposal) void Promise.resolve().then(cleanup);
    else this.cleanups.push(cleanup);
  }

  /** Adds a resource with the function that releases it; returns the resource. */
  use<T>(resource: T, release: (resource: T) => void | Promise<void>): T {
    this.add(() => release(resource));
    return resource;
  }

  /** Runs all steps even when some fail; rejects with an AggregateError of the failures. */
  dispose(): Promise<void> {
    this.disposal ??= this.runCleanups();
    return this.disposal;
  }

  private async runCleanups(): Promise<void> {
    const failures: unknown[] = [];
    for (const cleanup of this.cleanups.reverse()) {
      try {
        await cleanup();
      } catch (failure) {
        failures.push(failure);
      }
    }
    if (failures.length > 0) throw new AggregateError(failures, 'Cleanup failed');
  }
}
