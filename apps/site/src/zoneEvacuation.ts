import {MedlarlaneError, toMedlarlaneError} from '@medlarlane/errors';
import type {HostedTarget} from '@medlarlane/key-holds';
import type {Clock} from '@medlarlane/lifecycle';
import type {Logger} from '@medlarlane/logger';
import type {SiteView} from '@medlarlane/request-path';

export interface ZoneEvacuationOptions {
  /** Zone of this daemon and its target. */
  readonly availabilityZone: string;
  readonly view: Pick<SiteView, 'setEvacuatedZones'>;
  readonly hostedTarget: Pick<HostedTarget, 'setEvacuated'>;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** The evacuated zones as of a log index. */
export interface EvacuatedZones {
  readonly index: number;
  readonly zones: readonly string[];
}

/**
 * Maximum time for which the check of a returning target may keep it out of service. A target that is well
 * responds within milliseconds, and one that is not is found by its first requests.
 */
const MAX_RETURN_CHECK_MS = 1_000;

/** Applies the control leader's evacuations to a daemon. */
export class ZoneEvacuation {
  private current: EvacuatedZones = {index: 0, zones: []};
  private isOwnZoneEvacuated = false;
  private pendingReturn: AbortController | undefined;
  /**
   * Checks the target after the zone of this daemon was restored. The target returns to service when the
   * promise has settled, whatever its outcome, at the latest after `MAX_RETURN_CHECK_MS`. The signal aborts
   * at that time or when the zone is evacuated again.
   */
  onZoneRestored: ((signal: AbortSignal) => Promise<void>) | undefined;

  constructor(private readonly opts: ZoneEvacuationOptions) {}

  /** Log index of the newest evacuations that were applied. */
  get index(): number {
    return this.current.index;
  }

  /** Number of evacuated zones. */
  get zoneCount(): number {
    return this.current.zones.length;
  }

  /** Applies the zones unless newer ones were applied, because responses may arrive out of order. */
  apply(next: EvacuatedZones): void {
    const {availabilityZone, view, hostedTarget, logger} = this.opts;
    if (next.index <= this.current.index) return;
    logger.info({...next, before: this.current}, 'Evacuated zones in force');
    this.current = next;
    view.setEvacuatedZones(next.zones);
    const wasEvacuated = this.isOwnZoneEvacuated;
    this.isOwnZoneEvacuated = next.zones.includes(availabilityZone);
    if (this.isOwnZoneEvacuated) {
      this.cancelReturn();
      hostedTarget.setEvacuated(true);
    } else if (wasEvacuated) {
      void this.returnToService();
    }
  }

  /** Ends a check that is under way; the target then stays out of service. */
  dispose(): void {
    this.cancelReturn();
  }

  private async returnToService(): Promise<void> {
    const {hostedTarget, logger} = this.opts;
    const abort = new AbortController();
    this.pendingReturn = abort;
    if (this.onZoneRestored) {
      try {
        await this.runWithinLimit(this.onZoneRestored, abort);
      } catch (thrown) {
        const {code, message} = toMedlarlaneError(thrown);
        logger.info({code, reason: message}, 'Check of the returning target ended early');
      }
    }
    if (this.pendingReturn === abort) hostedTarget.setEvacuated(false);
  }

  private cancelReturn(): void {
    this.pendingReturn?.abort();
    this.pendingReturn = undefined;
  }

  /** @throws the error of the check, or MedlarlaneError `TARGET_TIMEOUT`. */
  private async runWithinLimit(
    check: (signal: AbortSignal) => Promise<void>,
    abort: AbortController,
  ): Promise<void> {
    const {signal} = abort;
    const limit = this.opts.clock.sleep(MAX_RETURN_CHECK_MS, {signal}).then(() => {
      throw new MedlarlaneError('TARGET_TIMEOUT', 'Check of the target took too long');
    });
    try {
      await Promise.race([check(signal), limit]);
    } finally {
      abort.abort();
    }
  }
}
