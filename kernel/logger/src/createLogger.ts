import pino from 'pino';

export type Logger = pino.Logger;

export interface CreateLoggerOptions {
  readonly level?: string;
  /** Fields on every line, such as the instance id. */
  readonly bindings?: Readonly<Record<string, unknown>>;
  /**
   * `stderr` (default) writes each line at once. `stdout` never blocks: lines that a slow reader
   * leaves waiting beyond a bound are dropped.
   */
  readonly destination?: 'stderr' | 'stdout';
}

/** Lines that wait for a slow reader of standard output. */
const MAX_WAITING_BYTES = 1_048_576;

/** Creates the root logger of a process. It writes JSON lines. */
export function createLogger(opts: CreateLoggerOptions = {}): Logger {
  const destination =
    opts.destination === 'stdout'
      ? pino.destination({fd: 1, sync: false, maxLength: MAX_WAITING_BYTES})
      : pino.destination({fd: 2, sync: true});
  return pino({level: opts.level ?? 'info', base: opts.bindings ?? {}}, destination);
}

/** A logger whose messages start with the fixed prefix of one part, for example `[lease]`. */
export function loggerFor(part: string, logger: Logger): Logger {
  return logger.child({}, {msgPrefix: `[${part}] `});
}

/** A logger that drops everything. */
export const silentLogger: Logger = pino({level: 'silent'});
