import type {RunResult} from './messages.js';
import type {InstanceView, SiteView} from './siteView.js';

/** Where a request goes next. */
export interface PlannedOffer {
  readonly instance: InstanceView;
  /** Whether the request is left to this target, which may let it wait and answer it late. */
  readonly isFinal: boolean;
}

/** Daemons to which one request is offered; each refusal costs a round trip. */
const MAX_OFFERS = 4;

/**
 * The order in which one request is offered to targets. A request without a key looks for a free slot
 * first, as each daemon of a large fleet hears too rarely of each target to know which one is free;
 * only the last target asked, the one with the shortest queue, lets it wait. A request with a key goes to
 * the owner of the key.
 */
export class OfferPlan {
  private readonly tried = new Set<string>();
  /** Lives that have no answer for this request, however long it waits. */
  private readonly useless = new Set<string>();
  private offers = 0;
  private done = false;

  constructor(
    private readonly view: SiteView,
    private readonly service: string,
    /** Set when the targets of the service own keys. */
    private readonly key: number | undefined,
  ) {}

  /** The next offer to make; `undefined` when no other one is worth its round trip. */
  next(): PlannedOffer | undefined {
    if (this.done || this.offers >= MAX_OFFERS) return undefined;
    const offer = this.key === undefined ? this.toAnyTarget() : this.toOwner(this.key);
    if (offer) this.tried.add(offer.instance.life);
    this.offers += 1;
    return offer;
  }

  /** Takes what became of the offer that `next` returned last. */
  recordResult({instance, isFinal}: PlannedOffer, result: RunResult): void {
    const isFull = result.kind === 'refused' && result.code === 'OVERLOADED';
    if (isFull && isFinal) this.done = true;
    if (!isFull) this.useless.add(instance.life);
  }

  private toAnyTarget(): PlannedOffer | undefined {
    const isLast = this.offers === MAX_OFFERS - 1;
    const free = isLast ? undefined : this.view.pickFreeInstance(this.service, this.tried);
    if (free) return {instance: free, isFinal: false};
    const instance = this.view.pickShortestQueue(this.service, this.useless);
    return instance && {instance, isFinal: true};
  }

  private toOwner(key: number): PlannedOffer | undefined {
    const instance = this.view.ownerOf(this.service, key);
    if (!instance || this.tried.has(instance.life)) return undefined;
    return {instance, isFinal: true};
  }
}
