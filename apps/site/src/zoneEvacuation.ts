import type {HostedTarget} from '@medlarlane/key-holds';
import type {Logger} from '@medlarlane/logger';
import type {SiteView} from '@medlarlane/request-path';

export interface ZoneEvacuationOptions {
  /** Zone of this daemon and its target. */
  readonly availabilityZone: string;
  readonly view: Pick<SiteView, 'setEvacuatedZones'>;
  readonly hostedTarget: Pick<HostedTarget, 'setEvacuated'>;
  readonly logger: Logger;
}

/** The evacuated zones as of a log index. */
export interface EvacuatedZones {
  readonly index: number;
  readonly zones: readonly string[];
}

/** Applies the control leader's evacuations to a daemon. */
export class ZoneEvacuation {
  private current: EvacuatedZones = {index: 0, zones: []};

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
    hostedTarget.setEvacuated(next.zones.includes(availabilityZone));
  }
}
