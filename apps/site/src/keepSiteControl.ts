import {MedlarlaneError, toMedlarlaneError} from '@medlarlane/errors';
import type {OperatorDesk} from './operatorDesk.js';
import type {SiteControlProcess, SiteControlProcessOptions} from './startSiteControl.js';

export interface KeptSiteControl {
  /** Operators' calls; they meet no leader while the replica is down. */
  readonly desk: Pick<OperatorDesk, 'changeConfiguration' | 'readConfiguration'>;
  /** Absent while the replica is down. */
  readonly current: SiteControlProcess | undefined;
  close(): Promise<void>;
}

export interface KeepSiteControlOptions extends Omit<SiteControlProcessOptions, 'onLogFailure'> {
  readonly start: (opts: SiteControlProcessOptions) => Promise<SiteControlProcess>;
}

/** A disk that refuses writes does so for seconds; each start reads the whole log. */
const RESTART_PAUSE_MS = 500;
/** System errors of a disk that may take writes again later. */
const PASSING_FAILURES: ReadonlySet<unknown> = new Set(['ENOSPC', 'EIO', 'EDQUOT', 'EROFS']);

/**
 * Keeps a control replica running. What a failed write left on the disk is unknown, so that the replica
 * starts again from what it can read there, in the same process, until the disk takes writes again.
 * @throws the failure of the first start when it is not the disk's.
 */
export async function keepSiteControl(opts: KeepSiteControlOptions): Promise<KeptSiteControl> {
  const {start, clock, logger} = opts;
  let current: SiteControlProcess | undefined;
  let closed = false;
  let isFirst = true;
  const run = async (): Promise<void> => {
    let pauses = 0;
    while (!closed) {
      try {
        const started = await start({
          ...opts,
          // Only the first start of a deployment founds the group.
          bootstrap: opts.bootstrap && isFirst,
          onLogFailure: (failure) => void restart(started, failure),
        });
        isFirst = false;
        current = started;
        if (pauses > 0) logger.info({pauses}, '[disk] Replica started again');
        if (closed) await started.close();
        return;
      } catch (thrown) {
        if (!isPassing(thrown)) throw thrown;
        const {code, message} = toMedlarlaneError(thrown);
        if (pauses === 0) logger.error({code, message}, '[disk] Replica cannot start yet');
        pauses += 1;
        await clock.sleep(RESTART_PAUSE_MS);
      }
    }
  };
  const restart = async (failed: SiteControlProcess, failure: Error): Promise<void> => {
    if (current !== failed || closed) return;
    current = undefined;
    logger.error({err: failure}, '[disk] Log cannot be written; the replica starts again');
    await failed.close().catch((err: unknown) => {
      logger.warn({err}, '[disk] Failed replica did not close cleanly');
    });
    await clock.sleep(RESTART_PAUSE_MS);
    await run();
  };
  await run();
  const desk = (): OperatorDesk => {
    if (!current) throw new MedlarlaneError('NO_LEADER', 'The replica here is down');
    return current.desk;
  };
  return {
    desk: {
      changeConfiguration: async (change) => desk().changeConfiguration(change),
      readConfiguration: async () => desk().readConfiguration(),
    },
    get current() {
      return current;
    },
    close: async () => {
      closed = true;
      await current?.close();
    },
  };
}

function isPassing(thrown: unknown): boolean {
  if (toMedlarlaneError(thrown).code === 'LOG_WRITE_FAILED') return true;
  return PASSING_FAILURES.has((thrown as {code?: unknown} | undefined)?.code);
}
