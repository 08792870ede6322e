import {connect} from 'node:net';
import type {Socket} from 'node:net';
import type {Clock} from '@medlarlane/lifecycle';

// A server may close idle connections on its own; reconnecting at once would be a busy loop then.
const RECONNECT_PAUSE_MS = 100;

export interface WaitForProcessExitOptions {
  readonly host: string;
  readonly port: number;
  readonly connectTimeoutMs: () => number;
  readonly clock: Clock;
}

/**
 * Holds an idle connection to a server and resolves when its process is gone: the connection closed
 * and a new one was refused. A connection that hangs is no evidence of a dead process. Rejects with
 * the abort reason when `signal` aborts.
 */
export async function waitForProcessExit(
  opts: WaitForProcessExitOptions,
  signal: AbortSignal,
): Promise<void> {
  for (;;) {
    const attempt = await openConnection(opts, signal);
    if (attempt === 'refused') return;
    if (attempt !== 'failed') {
      await closedBySignalOrPeer(attempt, signal);
      const confirmation = await openConnection(opts, signal);
      if (confirmation === 'refused') return;
      if (confirmation !== 'failed') confirmation.destroy();
    }
    await opts.clock.sleep(RECONNECT_PAUSE_MS, {signal});
  }
}

function openConnection(
  opts: WaitForProcessExitOptions,
  signal: AbortSignal,
): Promise<Socket | 'refused' | 'failed'> {
  return new Promise((resolve, reject) => {
    if (signal.aborted) return reject(signal.reason);
    const socket = connect({host: opts.host, port: opts.port});
    const timer = setTimeout(() => socket.destroy(new Error('timeout')), opts.connectTimeoutMs());
    const onAbort = (): void => void socket.destroy(new Error('aborted'));
    signal.addEventListener('abort', onAbort, {once: true});
    const settle = (): void => {
      clearTimeout(timer);
      signal.removeEventListener('abort', onAbort);
    };
    socket.once('connect', () => {
      settle();
      resolve(socket);
    });
    socket.once('error', (error: NodeJS.ErrnoException) => {
      settle();
      if (signal.aborted) reject(signal.reason);
      else resolve(error.code === 'ECONNREFUSED' ? 'refused' : 'failed');
    });
  });
}

function closedBySignalOrPeer(socket: Socket, signal: AbortSignal): Promise<void> {
  return new Promise((resolve, reject) => {
    const onAbort = (): void => void socket.destroy();
    signal.addEventListener('abort', onAbort, {once: true});
    socket.on('error', () => undefined);
    socket.once('close', () => {
      signal.removeEventListener('abort', onAbort);
      if (signal.aborted) reject(signal.reason);
      else resolve();
    });
    // Incoming data must be read for the end of the connection to be seen.
    socket.resume();
    if (signal.aborted) socket.destroy();
  });
}
