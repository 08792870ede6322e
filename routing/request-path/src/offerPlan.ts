import type {RunResult} from './messages.js';
import type {InstanceView, SiteView} from './siteView.js';

/** The instance to which a request is offered next. */
export interface PlannedOffer {
  readonly instance: InstanceView;
  /**
   * Whether this is the last offer, in which case the request may be queued and its response may be sent
   * after the latency target.
   */
  readonly isFinal: boolean;
}

/** Maximum number of offers per request; each refusal costs a round trip. */
const MAX_OFFERS = 4;

/**
 * Determines the order in which a request is offered to targets. A request without a key first tries
 * several targets for a free slot, because in a large fleet each daemon gets load updates of a target too
 * rarely to know whether it is free; only the final target, the one with the shortest queue, queues it. A
 * request with a key is offered to the owner of the key.
 */
export class OfferPlan {
  private readonly tried = new Set<string>();
  /** Incarnations that cannot run this request, no matter how long it waits. */
  private readonly excluded = new Set<string>();
  private offers = 0;
  private isDone = false;

  constructor(
    private readonly view: SiteView,
    private readonly service: string,
    /** Present if the targets of the service own keys. */
    private readonly key: number | undefined,
  ) {}

  /** Returns the next offer, or `undefined` if no further offer is worth a round trip. */
  next(): PlannedOffer | undefined {
    if (this.isDone || this.offers >= MAX_OFFERS) return undefined;
    const offer = this.key === undefined ? this.offerToAnyTarget() : this.offerToOwner(this.key);
    if (offer) this.tried.add(offer.instance.life);
    this.offers += 1;
    return offer;
  }

  /** Records the result of the offer that `next` returned last. */
  recordResult({instance, isFinal}: PlannedOffer, result: RunResult): void {
    const isOverloaded = result.kind === 'refused' && result.code === 'OVERLOADED';
    if (isOverloaded && isFinal) this.isDone = true;
    if (!isOverloaded) this.excluded.add(instance.life);
  }

  private offerToAnyTarget(): PlannedOffer | undefined {
    const isLast = this.offers === MAX_OFFERS - 1;
    const freeInstance = isLast ? undefined : this.view.pickFreeInstance(this.service, this.tried);
    if (freeInstance) return {instance: freeInstance, isFinal: false};
    const instance = this.view.pickShortestQueue(this.service, this.excluded);
    return instance && {instance, isFinal: true};
  }

  private offerToOwner(key: number): PlannedOffer | undefined {
    const instance = this.view.ownerOf(this.service, key);
    if (!instance || this.tried.has(instance.life)) return undefined;
    return {instance, isFinal: true};
  }
}
