import {once} from 'node:events';
import type net from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

export interface ListenOptions {
  readonly host: string;
  /** 0 picks a free port. */
  readonly port: number;
  /**
   * Called when a connection cannot be accepted, for example because the process has no file descriptors left.
   * The server continues to listen.
   */
  readonly onAcceptError?: (failure: Error) => void;
}

/** The predecessor of a process may hold its ports until the end of its grace period. */
const MAX_PORT_WAIT_MS = 10_000;
const PORT_RETRY_MS = 100;
/** The port is held by another process, or the address is not configured yet. */
const RETRYABLE_CODES: ReadonlySet<string | undefined> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL']);

/**
 * Listens on a TCP port; waits up to 10 s for a port that another process holds.
 * @throws the error of the last attempt.
 */
export async function listen(server: net.Server, opts: ListenOptions): Promise<void> {
  const deadlineMs = performance.now() + MAX_PORT_WAIT_MS;
  for (;;) {
    try {
      server.listen(opts.port, opts.host);
      await once(server, 'listening');
      // Without a listener, an error event would end the process.
      server.on('error', (failure) => opts.onAcceptError?.(failure));
      return;
    } catch (failure) {
      const {code} = failure as NodeJS.ErrnoException;
      if (!RETRYABLE_CODES.has(code) || performance.now() > deadlineMs) throw failure;
      await delay(PORT_RETRY_MS);
    }
  }
}
