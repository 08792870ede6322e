import pino from 'pino';

export type Logger = pino.Logger;

export interface CreateLoggerOptions {
  readonly level?: string;
  /** Fields on every line, such as the instance id. */
  readonly bindings?: Readonly<Record<string, unknown>>;
}

/** Creates the root logger of a process. It writes JSON lines to standard error. */
export function createLogger(opts: CreateLoggerOptions = {}): Logger {
  return pino(
    {level: opts.level ?? 'info', base: opts.bindings ?? {}},
    pino.destination({fd: 2, sync: true}),
  );
}

/** A logger whose messages start with the fixed prefix of one part, for example `[lease]`. */
export function loggerFor(part: string, logger: Logger): Logger {
  return logger.child({}, {msgPrefix: `[${part}] `});
}

/** A logger that drops everything. */
export const silentLogger: Logger = pino({level: 'silent'});
