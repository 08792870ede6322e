import type {Clock} from '@medlarlane/lifecycle';
import {DecayingRate} from './decayingRate.js';

export interface RefusalThrottleOptions {
  readonly clock: Clock;
  readonly random?: () => number;
}

/** Requests sent for each admitted one, so that an end of the overload is noticed. */
const SENT_PER_ADMITTED = 1.5;
const TIME_CONSTANT_MS = 500;
/** Requests sent in addition, so that a receiver that admits nothing for a while is tried again. */
const MIN_SENT_RPS = 5;

/**
 * Refuses at the sender what an overloaded receiver would refuse anyway, without its processor time: requests
 * beyond a multiple of those that it has recently admitted (the client-side throttling of the SRE book).
 */
export class RefusalThrottle {
  private readonly requests = new DecayingRate(TIME_CONSTANT_MS);
  private readonly admitted = new DecayingRate(TIME_CONSTANT_MS);

  constructor(private readonly opts: RefusalThrottleOptions) {}

  /** Counts a request and returns whether it is to be refused. */
  shouldRefuse(): boolean {
    const {clock, random = Math.random} = this.opts;
    const nowMs = clock.nowMs();
    this.requests.record(nowMs);
    const requestRps = this.requests.at(nowMs);
    const sentRps = MIN_SENT_RPS + SENT_PER_ADMITTED * this.admitted.at(nowMs);
    return random() < (requestRps - sentRps) / requestRps;
  }

  /** Must be called for each request that was sent and not refused for overload. */
  recordAdmitted(): void {
    this.admitted.record(this.opts.clock.nowMs());
  }
}
