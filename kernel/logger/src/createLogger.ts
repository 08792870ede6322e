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
  /** Lines about single requests beyond this number in a second are counted instead of written. */
  readonly maxRequestLinesPerS?: number;
}

/** Lines that wait for a slow reader of standard output. */
const MAX_WAITING_BYTES = 1_048_576;

/** Lines are written together, because each write costs as much as the line itself. */
const WRITE_BYTES = 8_192;
/** Longest time that a line waits for others; a killed process loses the lines of this time. */
const FLUSH_MS = 150;

/** Creates the root logger of a process. It writes JSON lines. */
export function createLogger(opts: CreateLoggerOptions = {}): Logger {
  const destination =
    opts.destination === 'stdout'
      ? pino.destination({
          fd: 1,
          sync: false,
          minLength: WRITE_BYTES,
          periodicFlush: FLUSH_MS,
          maxLength: MAX_WAITING_BYTES,
        })
      : pino.destination({fd: 2, sync: true});
  const {maxRequestLinesPerS} = opts;
  return pino(
    {
      level: opts.level ?? 'info',
      base: opts.bindings ?? {},
      ...(maxRequestLinesPerS === undefined
        ? {}
        : {hooks: {logMethod: boundRequestLines(maxRequestLinesPerS)}}),
    },
    destination,
  );
}

type LogMethodHook = NonNullable<NonNullable<pino.LoggerOptions['hooks']>['logMethod']>;

const MS_PER_S = 1_000;

/** Writes at most `maxPerS` lines with a `requestId` in a second, and then how many were left out. */
function boundRequestLines(maxPerS: number): LogMethodHook {
  let startedAtMs = performance.now();
  let written = 0;
  let suppressed = 0;
  return function (args, method) {
    const [fields] = args as unknown[];
    if (typeof fields !== 'object' || fields === null || !('requestId' in fields)) {
      return method.apply(this, args);
    }
    const nowMs = performance.now();
    if (nowMs - startedAtMs >= MS_PER_S) {
      if (suppressed > 0) method.apply(this, [{suppressed}, 'Lines about requests left out']);
      [startedAtMs, written, suppressed] = [nowMs, 0, 0];
    }
    if (written >= maxPerS) {
      suppressed += 1;
      return;
    }
    written += 1;
    method.apply(this, args);
  };
}

/** A logger whose messages start with the fixed prefix of one part, for example `[lease]`. */
export function createComponentLogger(part: string, logger: Logger): Logger {
  return logger.child({}, {msgPrefix: `[${part}] `});
}

/** A logger that drops everything. */
export const silentLogger: Logger = pino({level: 'silent'});
