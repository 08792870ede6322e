/**
 * Resolves after the event loop has read from its sockets once more. The first immediate still belongs
 * to the turn in which the caller's data was read.
 */
export function readTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(() => setImmediate(() => setImmediate(resolve))));
}
