import {MedlarlaneError, toMedlarlaneError} from '@medlarlane/errors';
import type {ConfigurationService} from './configurationService.js';
import type {SiteControlProcess, SiteControlProcessOptions} from './startSiteControl.js';

export interface SupervisedSiteControl {
  /** Operators' calls; they fail with `NO_LEADER` while the replica is down. */
  readonly configurationService: Pick<
    ConfigurationService,
    'changeConfiguration' | 'changeEvacuation' | 'readConfiguration'
  >;
  /** The running replica; absent while it is down. */
  readonly current: SiteControlProcess | undefined;
  /** Hands the replica's vote over, if another replica can take it, and closes. */
  stop(): Promise<void>;
  close(): Promise<void>;
}

export interface SuperviseSiteControlOptions extends Omit<
  SiteControlProcessOptions,
  'onLogFailure'
> {
  readonly start: (opts: SiteControlProcessOptions) => Promise<SiteControlProcess>;
}

/** Disk write failures last for seconds, and each start reads the whole log. */
const RESTART_DELAY_MS = 500;
/** System error codes after which the disk may accept writes, or the process may open files, again. */
const TRANSIENT_ERROR_CODES: ReadonlySet<unknown> = new Set([
  'ENOSPC',
  'EIO',
  'EDQUOT',
  'EROFS',
  'EMFILE',
  'ENFILE',
  'EAGAIN',
]);

/**
 * Starts a control replica and restarts it in the same process when its log cannot be written. The
 * content on disk is unknown after a failed write, so the replica recovers from the log on disk,
 * and retries until the disk accepts writes again.
 * @throws the error of the first start, unless it is a transient disk error.
 */
export async function superviseSiteControl(
  opts: SuperviseSiteControlOptions,
): Promise<SupervisedSiteControl> {
  const {start, clock, logger} = opts;
  let current: SiteControlProcess | undefined;
  let isClosed = false;
  let isFirstStart = true;
  const startWithRetries = async (): Promise<void> => {
    let pauses = 0;
    while (!isClosed) {
      try {
        const started = await start({
          ...opts,
          // Only the first start may bootstrap the group.
          bootstrap: opts.bootstrap && isFirstStart,
          onLogFailure: (failure) => void restart(started, failure),
        });
        isFirstStart = false;
        current = started;
        if (pauses > 0) logger.info({pauses}, '[disk] Replica restarted');
        if (isClosed) await started.close();
        return;
      } catch (thrown) {
        if (!isTransient(thrown)) throw thrown;
        const {code, message} = toMedlarlaneError(thrown);
        if (pauses === 0)
          logger.error({code, message}, '[disk] Replica start failed; it is retried');
        pauses += 1;
        await clock.sleep(RESTART_DELAY_MS);
      }
    }
  };
  const restart = async (failed: SiteControlProcess, failure: Error): Promise<void> => {
    if (current !== failed || isClosed) return;
    current = undefined;
    logger.error({err: failure}, '[disk] Log cannot be written; the replica restarts');
    await failed.close().catch((err: unknown) => {
      logger.warn({err}, '[disk] Failed replica did not close cleanly');
    });
    await clock.sleep(RESTART_DELAY_MS);
    await startWithRetries();
  };
  await startWithRetries();
  const getConfigurationService = (): ConfigurationService => {
    if (!current)
      throw new MedlarlaneError('NO_LEADER', 'The control replica of this instance is down');
    return current.configurationService;
  };
  return {
    configurationService: {
      changeConfiguration: async (change) => getConfigurationService().changeConfiguration(change),
      changeEvacuation: async (change, opts) =>
        getConfigurationService().changeEvacuation(change, opts),
      readConfiguration: async () => getConfigurationService().readConfiguration(),
    },
    get current() {
      return current;
    },
    stop: async () => {
      isClosed = true;
      await current?.stop();
    },
    close: async () => {
      isClosed = true;
      await current?.close();
    },
  };
}

function isTransient(thrown: unknown): boolean {
  if (toMedlarlaneError(thrown).code === 'LOG_WRITE_FAILED') return true;
  return TRANSIENT_ERROR_CODES.has((thrown as {code?: unknown} | undefined)?.code);
}
