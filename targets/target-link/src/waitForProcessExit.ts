import {connect} from 'node:net';
import type {Socket} from 'node:net';
import type {Clock} from '@medlarlane/lifecycle';

// A server may close idle connections itself; reconnecting without a delay would be a busy loop.
const RECONNECT_DELAY_MS = 100;

export interface WaitForProcessExitOptions {
  readonly host: string;
  readonly port: number;
  readonly connectTimeoutMs: () => number;
  readonly clock: Clock;
}

/**
 * Keeps an idle connection to a server and resolves when its process has exited: the connection was
 * closed and a new one refused. A connection that hangs does not prove an exit. Rejects with the abort
 * reason when `signal` aborts.
 */
export async function waitForProcessExit(
  opts: WaitForProcessExitOptions,
  signal: AbortSignal,
): Promise<void> {
  for (;;) {
    const connection = await openConnection(opts, signal);
    if (connection === 'refused') return;
    if (connection !== 'failed') {
      await waitForClose(connection, signal);
      const confirmation = await openConnection(opts, signal);
      if (confirmation === 'refused') return;
      if (confirmation !== 'failed') confirmation.destroy();
    }
    await opts.clock.sleep(RECONNECT_DELAY_MS, {signal});
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

function waitForClose(socket: Socket, signal: AbortSignal): Promise<void> {
  return new Promise((resolve, reject) => {
    const onAbort = (): void => void socket.destroy();
    signal.addEventListener('abort', onAbort, {once: true});
    socket.on('error', () => undefined);
    socket.once('close', () => {
      signal.removeEventListener('abort', onAbort);
      if (signal.aborted) reject(signal.reason);
      else resolve();
    });
    // The end of the connection is only detected when incoming data is read.
    socket.resume();
    if (signal.aborted) socket.destroy();
  });
}
