import pino from 'pino';

export type Logger = pino.Logger;

export interface CreateLoggerOptions {
  readonly level?: string;
  /** Fields that are added to every line, such as the instance id. */
  readonly bindings?: Readonly<Record<string, unknown>>;
  /**
   * `stderr` (default) writes each line synchronously. `stdout` never blocks: when a slow reader
   * lets the buffer exceed its limit, lines are dropped.
   */
  readonly destination?: 'stderr' | 'stdout';
  /** Lines with a `requestId` above this rate are counted instead of written. */
  readonly maxRequestLinesPerS?: number;
}

/** Limit of the buffer for a slow reader of standard output. */
const MAX_BUFFERED_BYTES = 1_048_576;

/** Lines are written in batches, because each write costs as much as producing a line. */
const MIN_WRITE_BYTES = 8_192;
/**
 * Maximum time that a line stays in the buffer; a killed process loses the lines of this period.
 */
const FLUSH_INTERVAL_MS = 150;

/** Creates the root logger of a process, which writes JSON lines. */
export function createLogger(opts: CreateLoggerOptions = {}): Logger {
  const destination =
    opts.destination === 'stdout'
      ? pino.destination({
          fd: 1,
          sync: false,
          minLength: MIN_WRITE_BYTES,
          periodicFlush: FLUSH_INTERVAL_MS,
          maxLength: MAX_BUFFERED_BYTES,
        })
      : pino.destination({fd: 2, sync: true});
  // Without a listener, a failed write, for example to a closed pipe or a full disk, would end the process.
  destination.on('error', () => undefined);
  const {maxRequestLinesPerS} = opts;
  return pino(
    {
      level: opts.level ?? 'info',
      base: opts.bindings ?? {},
      ...(maxRequestLinesPerS === undefined
        ? {}
        : {hooks: {logMethod: limitRequestLines(maxRequestLinesPerS)}}),
    },
    destination,
  );
}

type LogMethodHook = NonNullable<NonNullable<pino.LoggerOptions['hooks']>['logMethod']>;

const MS_PER_S = 1_000;

/**
 * Writes at most `maxLinesPerS` lines with a `requestId` per second, then the number of suppressed
 * lines.
 */
function limitRequestLines(maxLinesPerS: number): LogMethodHook {
  let windowStartMs = performance.now();
  let written = 0;
  let suppressed = 0;
  return function (args, method) {
    const [fields] = args as unknown[];
    if (typeof fields !== 'object' || fields === null || !('requestId' in fields)) {
      return method.apply(this, args);
    }
    const nowMs = performance.now();
    if (nowMs - windowStartMs >= MS_PER_S) {
      if (suppressed > 0) method.apply(this, [{suppressed}, 'Request log lines suppressed']);
      [windowStartMs, written, suppressed] = [nowMs, 0, 0];
    }
    if (written >= maxLinesPerS) {
      suppressed += 1;
      return;
    }
    written += 1;
    method.apply(this, args);
  };
}

/** Creates a logger whose messages start with the prefix of a component, for example `[lease]`. */
export function createComponentLogger(component: string, logger: Logger): Logger {
  return logger.child({}, {msgPrefix: `[${component}] `});
}

/** A logger that discards all lines. */
export const silentLogger: Logger = pino({level: 'silent'});
