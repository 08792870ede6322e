import type {DemandMeter, ServiceLevels} from '@medlarlane/admission';
import {MedlarlaneError} from '@medlarlane/errors';
import type {Route} from '@medlarlane/site-config';

export interface EntryAdmissionOptions {
  readonly demandMeter: DemandMeter;
  readonly serviceLevels: ServiceLevels;
}

/** A request of a caller for which the service has been picked. */
export interface EntryRequest {
  readonly service: string;
  readonly route: Route;
  /** Present if the targets of the service own keys. */
  readonly key: number | undefined;
  /** Time the caller still waits for a response. */
  readonly timeLeftMs: number;
}

/** Details of a refusal; without `retryAfterMs` the caller is not asked to return. */
export interface ReturnDetails {
  readonly retryAfterMs?: number;
}

/**
 * A caller with less than this fraction of the route's timeout left has returned after a refusal. Callers
 * that retry at once have more left and count as new; a return time is later than this.
 */
export const RETURNED_TIME_LEFT_FRACTION = 0.9;

/** Refuses requests that the admission level of their service does not admit, before any hop. */
export class EntryAdmission {
  constructor(private readonly opts: EntryAdmissionOptions) {}

  /** @throws MedlarlaneError `OVERLOADED` with ran `no` and `ReturnDetails`. */
  assertAdmitted(request: EntryRequest): void {
    const {service, route, key, timeLeftMs} = request;
    const {demandMeter, serviceLevels} = this.opts;
    const isReturning = timeLeftMs < route.timeoutMs * RETURNED_TIME_LEFT_FRACTION;
    demandMeter.recordArrival(service, route.priority, {isReturning});
    // Only the owner of a key can serve the request. Its gate knows its slots; the sums of the service do not.
    if (key !== undefined) return;
    if (serviceLevels.tryAdmit(service, route.priority, {isReturning})) return;
    throw new MedlarlaneError('OVERLOADED', 'Demand exceeds the capacity of the service', {
      ran: 'no',
      details: {...this.returnDetails(service, route.priority, timeLeftMs)},
    });
  }

  /** When a refused caller is to return; `undefined` while the free capacity of the service is unknown. */
  returnDetails(service: string, priority: number, timeLeftMs: number): ReturnDetails | undefined {
    const {serviceLevels} = this.opts;
    if (!serviceLevels.isActive(service)) return undefined;
    const retryAfterMs = serviceLevels.reserveReturnMs(service, priority, timeLeftMs);
    return retryAfterMs === undefined ? {} : {retryAfterMs};
  }
}
