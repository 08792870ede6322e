export interface LinkedAbort {
  /** Aborts when the first parent aborts, when `abort` is called or when the timeout expires. */
  readonly signal: AbortSignal;
  abort(reason?: unknown): void;
  /**
   * Removes the listeners from the parents and clears the timeout. Must be called when the work
   * ends.
   */
  release(): void;
}

export interface LinkAbortOptions {
  readonly timeoutMs?: number;
}

/**
 * Combines abort signals and a timeout. Replaces `AbortSignal.any`, which in Node.js 20 references
 * its sources weakly: a timeout among them can be garbage-collected and never fire.
 */
export function linkAbort(
  parents: readonly AbortSignal[],
  opts: LinkAbortOptions = {},
): LinkedAbort {
  const controller = new AbortController();
  const release = (): void => {
    clearTimeout(timer);
    for (const parent of parents) parent.removeEventListener('abort', onParentAbort);
  };
  const abort = (reason?: unknown): void => {
    release();
    controller.abort(reason);
  };
  const onParentAbort = (): void => abort(parents.find(({aborted}) => aborted)?.reason);
  const timer =
    opts.timeoutMs === undefined
      ? undefined
      : setTimeout(
          () => abort(new DOMException('Timeout expired', 'TimeoutError')),
          opts.timeoutMs,
        );
  for (const parent of parents) parent.addEventListener('abort', onParentAbort, {once: true});
  if (parents.some(({aborted}) => aborted)) onParentAbort();
  return {signal: controller.signal, abort, release};
}
