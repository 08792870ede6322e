/**
 * Resolves after the event loop has polled its sockets once more. The first immediate still belongs to
 * the iteration in which the caller's data was read.
 */
export function waitForSocketPoll(): Promise<void> {
  return new Promise((resolve) => setImmediate(() => setImmediate(() => setImmediate(resolve))));
}
