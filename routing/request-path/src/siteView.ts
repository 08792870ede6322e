import {RefusalThrottle} from '@medlarlane/admission';
import type {Clock} from '@medlarlane/lifecycle';
import {INITIAL_CONFIGURATION, RouteTable} from '@medlarlane/site-config';
import type {Route, SiteConfiguration} from '@medlarlane/site-config';
import type {TargetLoad, RunResult} from './messages.js';

/** An instance as listed in the directory. */
export interface InstanceView {
  readonly forwardAddress: string;
  readonly availabilityZone: string;
  readonly life: string;
  readonly service: string;
  readonly state: 'ready' | 'draining' | 'silent' | 'ended';
  readonly slots: number;
  readonly coldLeftMs: number;
  readonly stopping: boolean;
  /** Requests per second that the target accepts; absent if it names no limit. */
  readonly rateLimitRps?: number | undefined;
}

/** A key range and the incarnation of its owner. The ranges of a service are sorted by key. */
export interface OwnedRange {
  readonly fromKey: number;
  /** Inclusive. */
  readonly toKey: number;
  readonly ownerLife: string;
}

/** Statistics of an instance, collected from the requests that this daemon sent to it. */
interface InstanceStats {
  outstanding: number;
  load: TargetLoad | undefined;
  loadAtMs: number;
  /** Number of requests sent since `load` was received. */
  sentSinceLoad: number;
  /** Smoothed fraction of requests that failed, 0 to 1. */
  failureRatio: number;
  /** Until this time, the instance is only used if no other one is available. */
  avoidUntilMs: number;
  /** Until this time, the instance is assumed to refuse requests with `refusal`. */
  assumeRefusalUntilMs: number;
  /** The most recent refusal. */
  refusal: RunResult | undefined;
  /** Final offers by route. */
  readonly finalOffers: Map<string, FinalOffers>;
}

/** Offers of a route to an instance that is to queue them. */
interface FinalOffers {
  readonly throttle: RefusalThrottle;
  /** The most recent refusal for overload. */
  refusal: RunResult | undefined;
}

/** Largest relative change of the retry delay of a throttled request. */
const RETRY_JITTER = 0.25;
const MS_PER_S = 1_000;
/** Lower bound of the usable slots of a target, so that a limit of 0 leaves finite waits. */
const MIN_USABLE_SLOTS = 0.01;
/** Weight of a new outcome in the smoothed failure ratio. */
const FAILURE_SMOOTHING = 0.1;
/** Time for which an instance that is unreachable or has no target is avoided. */
const AVOID_UNREACHABLE_MS = 1_000;
/**
 * Time for which instances that a new leader has not confirmed are kept. Daemons report to a new leader
 * within a second, but a daemon that is partitioned from the leader can still serve requests.
 */
const KEEP_UNCONFIRMED_MS = 20_000;
/** Time for which an instance that refused for overload is avoided; longer under a low rate limit. */
const AVOID_OVERLOADED_MS = 30;
const MAX_AVOID_OVERLOADED_MS = 500;
/**
 * After an overload refusal, no request is offered to the owner of a key for this time. Its daemon would
 * otherwise spend its CPU time on refusals.
 */
const ASSUME_OVERLOADED_MS = 15;
/** The same if the owner's daemon was unreachable, which each attempt takes 250 ms to detect. */
const ASSUME_UNREACHABLE_MS = 100;
/** Load values older than this are too stale to compare queues; about the duration of several offers. */
const MAX_QUEUE_LOAD_AGE_MS = 100;
/** The load of a target is valid for the mean duration of a request there, but at least for this time. */
const MIN_LOAD_VALID_MS = 100;
/** The speed of a target changes several times per second; an older figure is ignored. */
const MAX_SLOWDOWN_AGE_MS = 1_000;
/** Assumed mean duration until a target has reported its load. */
const INITIAL_MEAN_MS = 50;
/** A weight of 1 doubles the predicted latency of a fully utilised instance. */
const UTILISATION_WEIGHT = 1;
/** A failure costs the caller a full retry, which takes several times the latency of a response. */
const FAILURE_WEIGHT = 6;
/** Penalty for other availability zones: the local zone is preferred while its load is similar. */
const OTHER_ZONE_FACTOR = 1.25;
/** A free instance in the local zone is preferred unless it is slower by more than this factor. */
const LOCAL_PREFERENCE_FACTOR = 2;
/** A target in its cold start runs at about half its speed. */
const COLD_FACTOR = 2;

/** Local copy of the configuration and the directory, with load-balancing statistics of the instances. */
export class SiteView {
  configuration: SiteConfiguration = INITIAL_CONFIGURATION;
  private routes = new RouteTable(INITIAL_CONFIGURATION);
  private instances = new Map<string, InstanceView>();
  private byIncarnation = new Map<string, InstanceView>();
  private byService = new Map<string, InstanceView[]>();
  /** Instances by service that are ready, not stopping and not in an evacuated zone. */
  private availableByService = new Map<string, InstanceView[]>();
  private keyedServices: ReadonlySet<string> = new Set();
  private warmUpServices: ReadonlySet<string> = new Set();
  private evacuatedZones: ReadonlySet<string> = new Set();
  /** Instances that a new leader has not confirmed yet, with the time at which they are removed. */
  private readonly unconfirmedUntilMs = new Map<string, number>();
  private coldUntilMs = new Map<string, number>();
  private ranges = new Map<string, readonly OwnedRange[]>();
  private readonly statsByIncarnation = new Map<string, InstanceStats>();
  private readonly sentByRoute = new Map<string, number[]>();

  constructor(
    private readonly opts: {
      readonly clock: Clock;
      readonly availabilityZone: string;
      readonly random?: () => number;
    },
  ) {}

  get hasConfiguration(): boolean {
    return this.configuration.version > 0;
  }

  setConfiguration(configuration: SiteConfiguration): void {
    this.configuration = configuration;
    this.routes = new RouteTable(configuration);
    this.sentByRoute.clear();
    this.keyedServices = new Set(
      configuration.services.filter(({keyed}) => keyed).map(({name}) => name),
    );
    this.warmUpServices = new Set(
      configuration.services.filter(({warmUp}) => warmUp).map(({name}) => name),
    );
  }

  updateInstances(update: {
    full: boolean;
    instances: readonly InstanceView[];
    removed: readonly string[];
  }): void {
    const nowMs = this.opts.clock.nowMs();
    const hasChanges = update.full || update.instances.length > 0 || update.removed.length > 0;
    if (!hasChanges && this.unconfirmedUntilMs.size === 0) return;
    if (update.full) this.keepUnconfirmed(nowMs);
    for (const forwardAddress of update.removed) this.instances.delete(forwardAddress);
    for (const instance of update.instances) {
      this.instances.set(instance.forwardAddress, instance);
      this.unconfirmedUntilMs.delete(instance.forwardAddress);
    }
    for (const [forwardAddress, untilMs] of this.unconfirmedUntilMs) {
      if (nowMs < untilMs) continue;
      this.instances.delete(forwardAddress);
      this.unconfirmedUntilMs.delete(forwardAddress);
    }
    this.byIncarnation = new Map(
      [...this.instances.values()].map((instance) => [instance.life, instance]),
    );
    this.byService = new Map();
    for (const instance of this.instances.values()) {
      const list = this.byService.get(instance.service);
      if (list) list.push(instance);
      else this.byService.set(instance.service, [instance]);
    }
    this.updateAvailable();
    for (const instance of update.instances) this.updateCold(instance, nowMs);
    for (const incarnation of this.statsByIncarnation.keys()) {
      if (!this.byIncarnation.has(incarnation)) this.statsByIncarnation.delete(incarnation);
    }
    for (const incarnation of this.coldUntilMs.keys()) {
      if (!this.byIncarnation.has(incarnation)) this.coldUntilMs.delete(incarnation);
    }
  }

  /**
   * Without a configured warm-up, an entry is not updated when its target stops being cold, so only the first
   * one of an incarnation counts. With one, each start and end of the bound is a new entry.
   */
  private updateCold({life, service, coldLeftMs, rateLimitRps}: InstanceView, nowMs: number): void {
    if (!this.warmUpServices.has(service)) {
      if (coldLeftMs > 0 && !this.coldUntilMs.has(life)) {
        this.coldUntilMs.set(life, nowMs + coldLeftMs);
      }
      return;
    }
    const wasCold = this.coldUntilMs.has(life);
    const isCold = coldLeftMs > 0 && rateLimitRps !== undefined;
    if (isCold) this.coldUntilMs.set(life, nowMs + coldLeftMs);
    else this.coldUntilMs.delete(life);
    const {load} = this.statsOf(life);
    if (wasCold === isCold || !load) return;
    // The load of the last response is from before the change.
    this.statsOf(life).load = {...load, rateLimitRps: isCold ? rateLimitRps : undefined};
  }

  /** Sets the availability zones whose instances are not selected. */
  setEvacuatedZones(zones: readonly string[]): void {
    this.evacuatedZones = new Set(zones);
    this.updateAvailable();
  }

  isEvacuated({availabilityZone}: Pick<InstanceView, 'availabilityZone'>): boolean {
    return this.evacuatedZones.has(availabilityZone);
  }

  private updateAvailable(): void {
    this.availableByService = new Map(
      [...this.byService].map(([service, list]) => [
        service,
        list.filter(
          (entry) => entry.state === 'ready' && !entry.stopping && !this.isEvacuated(entry),
        ),
      ]),
    );
  }

  /** Keeps unconfirmed instances, because a new leader only knows those that have reported to it so far. */
  private keepUnconfirmed(nowMs: number): void {
    for (const forwardAddress of this.instances.keys()) {
      if (this.unconfirmedUntilMs.has(forwardAddress)) continue;
      this.unconfirmedUntilMs.set(forwardAddress, nowMs + KEEP_UNCONFIRMED_MS);
    }
  }

  setRanges(service: string, ranges: readonly OwnedRange[]): void {
    this.ranges.set(service, ranges);
  }

  rangesOf(service: string): readonly OwnedRange[] {
    return this.ranges.get(service) ?? [];
  }

  findRoute(host: string, path: string): Route | undefined {
    return this.routes.find(host, path);
  }

  isKeyed(service: string): boolean {
    return this.keyedServices.has(service);
  }

  /** All listed instances of a service, whether ready or not. */
  instancesOf(service: string): readonly InstanceView[] {
    return this.byService.get(service) ?? [];
  }

  /** Distributes the requests of a route over its services in proportion to their weights. */
  pickService(route: Route): string {
    const total = route.shares.reduce((sum, {weight}) => sum + weight, 0);
    const sentCounts = this.sentByRoute.get(route.name) ?? route.shares.map(() => 0);
    this.sentByRoute.set(route.name, sentCounts);
    let best = 0;
    let bestDeficit = -Infinity;
    const count = sentCounts.reduce((sum, n) => sum + n, 0) + 1;
    route.shares.forEach(({weight}, index) => {
      const deficit = (weight / total) * count - sentCounts[index]!;
      if (weight > 0 && deficit > bestDeficit) [best, bestDeficit] = [index, deficit];
    });
    sentCounts[best]! += 1;
    return route.shares[best]!.service;
  }

  /** Returns the instance that owns the key; `undefined` also while its zone is evacuated. */
  ownerOf(service: string, key: number): InstanceView | undefined {
    const ranges = this.rangesOf(service);
    let low = 0;
    let high = ranges.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (ranges[middle]!.toKey < key) low = middle + 1;
      else high = middle;
    }
    const range = ranges[low];
    if (!range || range.fromKey > key) return undefined;
    const owner = this.byIncarnation.get(range.ownerLife);
    return owner && !this.isEvacuated(owner) ? owner : undefined;
  }

  /**
   * Picks an instance outside `tried` that is likely to have a free slot, using the power of two choices.
   * The local availability zone is preferred unless its instance is much slower or fails. Returns
   * `undefined` if all instances are likely full.
   */
  pickFreeInstance(service: string, tried: ReadonlySet<string>): InstanceView | undefined {
    const nowMs = this.opts.clock.nowMs();
    const list = this.availableByService.get(service) ?? [];
    const isFree = (entry: InstanceView): boolean =>
      !tried.has(entry.life) &&
      this.statsOf(entry.life).avoidUntilMs <= nowMs &&
      this.estimateOccupancy(entry.life) < this.usableSlots(entry);
    const isLocalAndFree = (entry: InstanceView): boolean =>
      entry.availabilityZone === this.opts.availabilityZone && isFree(entry);
    const local = this.drawBetterOfTwo(list, isLocalAndFree);
    const any = this.drawBetterOfTwo(list, isFree);
    if (!local || !any) return local ?? any;
    // An instance without statistics is assumed to be as fast as the local one.
    const anyMs = this.predictedMs(any, this.statsOf(local.life).load?.meanMs);
    return this.predictedMs(local) <= anyMs * LOCAL_PREFERENCE_FACTOR ? local : any;
  }

  /**
   * Picks the instance outside `excluded` with the shortest predicted wait. Instances that are not ready
   * or were recently unreachable are only used as a last resort.
   */
  pickShortestQueue(service: string, excluded: ReadonlySet<string>): InstanceView | undefined {
    const nowMs = this.opts.clock.nowMs();
    const isNotExcluded = (entry: InstanceView): boolean => !excluded.has(entry.life);
    const available = (this.availableByService.get(service) ?? []).filter(isNotExcluded);
    const fresh = available.filter(
      ({life}) => nowMs - this.statsOf(life).loadAtMs < MAX_QUEUE_LOAD_AGE_MS,
    );
    const shortest = fresh.reduce<InstanceView | undefined>(
      (best, next) => (best && this.waitMs(best) <= this.waitMs(next) ? best : next),
      undefined,
    );
    if (shortest) return shortest;
    const isPreferred = ({life}: InstanceView): boolean => this.statsOf(life).avoidUntilMs <= nowMs;
    const unresponsive = (): InstanceView[] =>
      this.instancesOf(service).filter(
        (entry) => entry.state === 'silent' && !this.isEvacuated(entry),
      );
    return (
      this.drawBetterOfTwo(available, isPreferred) ??
      this.drawBetterOfTwo(available, isNotExcluded) ??
      this.drawBetterOfTwo(unresponsive(), isNotExcluded)
    );
  }

  /** Draws two random eligible instances and returns the one with the lower predicted latency. */
  private drawBetterOfTwo(
    list: readonly InstanceView[],
    isEligible: (instance: InstanceView) => boolean,
  ): InstanceView | undefined {
    const a = this.draw(list, isEligible);
    if (!a) return undefined;
    const b = this.draw(list, (entry) => entry !== a && isEligible(entry));
    return !b || this.predictedMs(a) <= this.predictedMs(b) ? a : b;
  }

  /** Returns the first eligible instance, searching from a random index. */
  private draw(
    list: readonly InstanceView[],
    isEligible: (instance: InstanceView) => boolean,
  ): InstanceView | undefined {
    const start = Math.floor((this.opts.random ?? Math.random)() * list.length);
    for (let step = 0; step < list.length; step += 1) {
      const instance = list[(start + step) % list.length]!;
      if (isEligible(instance)) return instance;
    }
    return undefined;
  }

  /** Shortest time after which an instance of the service may have a free slot again. */
  estimateRetryAfterMs(service: string): number {
    const instances = this.instancesOf(service).filter((entry) => !this.isEvacuated(entry));
    const waits = instances.map((entry) => {
      const {load} = this.statsOf(entry.life);
      return load ? (load.meanMs * (load.waiting + 1)) / this.usableSlots(entry) : INITIAL_MEAN_MS;
    });
    return waits.length === 0 ? INITIAL_MEAN_MS : Math.min(...waits);
  }

  recordSent(incarnation: string): void {
    const stats = this.statsOf(incarnation);
    stats.outstanding += 1;
    stats.sentSinceLoad += 1;
  }

  /** Records the result of a request that was sent to this incarnation. */
  recordResult(incarnation: string, result: RunResult): void {
    const stats = this.statsOf(incarnation);
    const nowMs = this.opts.clock.nowMs();
    stats.outstanding -= 1;
    if (result.load) {
      stats.load = result.load;
      stats.loadAtMs = nowMs;
      stats.sentSinceLoad = 0;
    }
    const isServerError = result.kind === 'answered' && result.answer.status >= 500;
    const isCancelled = result.kind !== 'answered' && result.code === 'CANCELLED';
    if (!isCancelled) {
      const hasFailed = result.kind === 'rejected' || result.kind === 'lost' || isServerError;
      const outcome = hasFailed ? 1 : 0;
      stats.failureRatio += (outcome - stats.failureRatio) * FAILURE_SMOOTHING;
    }
    if (result.kind === 'refused' && result.code === 'OVERLOADED') {
      stats.assumeRefusalUntilMs = nowMs + ASSUME_OVERLOADED_MS;
      stats.refusal = result;
    }
    if (result.kind === 'refused' && result.code === 'PEER_FAILED') {
      stats.assumeRefusalUntilMs = nowMs + ASSUME_UNREACHABLE_MS;
      stats.refusal = result;
    }
    if (result.kind === 'refused') {
      const isUnreachable = result.code === 'PEER_FAILED' || result.code === 'NO_TARGET';
      if (!isCancelled) {
        const untilPermittedMs = MS_PER_S / (stats.load?.rateLimitRps ?? Infinity);
        const avoidOverloadedMs = Math.min(
          Math.max(AVOID_OVERLOADED_MS, untilPermittedMs),
          MAX_AVOID_OVERLOADED_MS,
        );
        stats.avoidUntilMs = nowMs + (isUnreachable ? AVOID_UNREACHABLE_MS : avoidOverloadedMs);
      }
    }
  }

  /** Returns the most recent refusal of this incarnation while another offer would probably get it too. */
  recentRefusal(incarnation: string): RunResult | undefined {
    const {assumeRefusalUntilMs, refusal} = this.statsOf(incarnation);
    return assumeRefusalUntilMs > this.opts.clock.nowMs() ? refusal : undefined;
  }

  /**
   * Returns a refusal instead of a final offer while the instance refuses most of them for overload, so that its
   * daemon does not spend its processor time on refusals. Must be called once for each final offer; without
   * a refusal its result is to be recorded with `recordFinalResult`.
   */
  throttleFinalOffer(incarnation: string, route: string): RunResult | undefined {
    const {throttle, refusal} = this.finalOffersOf(incarnation, route);
    if (!throttle.shouldRefuse() || refusal?.kind !== 'refused') return undefined;
    const {retryAfterMs} = refusal;
    if (retryAfterMs === undefined) return refusal;
    // Callers that are refused for the same refusal are not to return together.
    const factor = 1 + RETRY_JITTER * ((this.opts.random ?? Math.random)() * 2 - 1);
    return {...refusal, retryAfterMs: retryAfterMs * factor};
  }

  recordFinalResult(incarnation: string, route: string, result: RunResult): void {
    const offers = this.finalOffersOf(incarnation, route);
    if (result.kind === 'refused' && result.code === 'OVERLOADED') offers.refusal = result;
    else offers.throttle.recordAdmitted();
  }

  private finalOffersOf(incarnation: string, route: string): FinalOffers {
    const {finalOffers} = this.statsOf(incarnation);
    let offers = finalOffers.get(route);
    if (!offers) {
      offers = {throttle: new RefusalThrottle(this.opts), refusal: undefined};
      finalOffers.set(route, offers);
    }
    return offers;
  }

  private currentLoad(incarnation: string): TargetLoad | undefined {
    const {load, loadAtMs} = this.statsOf(incarnation);
    if (!load) return undefined;
    const ageMs = this.opts.clock.nowMs() - loadAtMs;
    return ageMs < Math.max(MIN_LOAD_VALID_MS, load.meanMs) ? load : undefined;
  }

  /** Estimates the number of requests at the instance. An outdated load is ignored. */
  private estimateOccupancy(incarnation: string): number {
    const {outstanding, sentSinceLoad} = this.statsOf(incarnation);
    const load = this.currentLoad(incarnation);
    return load ? load.inFlight + load.waiting + sentSinceLoad : outstanding;
  }

  /** Slots that the target can use: at its pace, and kept busy by its rate limit (Little's law). */
  private usableSlots({life, slots: allSlots, rateLimitRps}: InstanceView): number {
    const {load} = this.statsOf(life);
    const slots = Math.min(allSlots, load?.pacedSlots ?? Infinity);
    const limitRps = load ? load.rateLimitRps : rateLimitRps;
    if (limitRps === undefined) return Math.max(1, slots);
    const busySlots = (limitRps * (load?.meanMs ?? INITIAL_MEAN_MS)) / MS_PER_S;
    return Math.max(MIN_USABLE_SLOTS, Math.min(slots, busySlots));
  }

  /** Mean duration at the instance, corrected by its current speed while that is known. */
  private currentMeanMs(incarnation: string): number | undefined {
    const {load, loadAtMs} = this.statsOf(incarnation);
    if (!load) return undefined;
    const isCurrent = this.opts.clock.nowMs() - loadAtMs < MAX_SLOWDOWN_AGE_MS;
    return load.meanMs * (isCurrent ? (load.slowdown ?? 1) : 1);
  }

  private waitMs(entry: InstanceView): number {
    const slots = this.usableSlots(entry);
    const ahead = Math.max(0, this.estimateOccupancy(entry.life) + 1 - slots);
    const meanMs = this.currentMeanMs(entry.life) ?? INITIAL_MEAN_MS;
    return (ahead * meanMs) / slots;
  }

  private predictedMs(entry: InstanceView, defaultMeanMs = INITIAL_MEAN_MS): number {
    const {life, availabilityZone} = entry;
    const {failureRatio} = this.statsOf(life);
    const utilisation = this.estimateOccupancy(life) / this.usableSlots(entry);
    const isCold = (this.coldUntilMs.get(life) ?? 0) > this.opts.clock.nowMs();
    return (
      (this.currentMeanMs(life) ?? defaultMeanMs) *
      (1 + UTILISATION_WEIGHT * utilisation * utilisation) *
      (1 + FAILURE_WEIGHT * failureRatio) *
      (availabilityZone === this.opts.availabilityZone ? 1 : OTHER_ZONE_FACTOR) *
      (isCold ? COLD_FACTOR : 1)
    );
  }

  private statsOf(incarnation: string): InstanceStats {
    let stats = this.statsByIncarnation.get(incarnation);
    if (!stats) {
      stats = {
        outstanding: 0,
        load: undefined,
        loadAtMs: -Infinity,
        sentSinceLoad: 0,
        failureRatio: 0,
        avoidUntilMs: 0,
        assumeRefusalUntilMs: 0,
        refusal: undefined,
        finalOffers: new Map(),
      };
      this.statsByIncarnation.set(incarnation, stats);
    }
    return stats;
  }
}
