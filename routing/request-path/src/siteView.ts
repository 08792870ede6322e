import type {Clock} from '@medlarlane/lifecycle';
import {INITIAL_CONFIGURATION, RouteTable} from '@medlarlane/site-config';
import type {Route, SiteConfiguration} from '@medlarlane/site-config';
import type {TargetLoad, RunResult} from './messages.js';

/** An instance of the directory. */
export interface InstanceView {
  readonly forwardAddress: string;
  readonly availabilityZone: string;
  readonly life: string;
  readonly service: string;
  readonly state: 'ready' | 'draining' | 'silent' | 'ended';
  readonly slots: number;
  readonly coldLeftMs: number;
  readonly stopping: boolean;
}

/** Keys and the life of the target that owns them; the ranges of a service are in the order of keys. */
export interface OwnedRange {
  readonly fromKey: number;
  /** Inclusive. */
  readonly toKey: number;
  readonly ownerLife: string;
}

/** What this daemon learned of an instance by sending requests to it. */
interface Experience {
  outstanding: number;
  load: TargetLoad | undefined;
  loadAtMs: number;
  /** Requests sent since `load` came. */
  sentSinceLoad: number;
  /** Smoothed share of requests that failed there, 0 to 1. */
  failureShare: number;
  /** Not tried before this time unless nothing else is left. */
  avoidUntilMs: number;
  /** Its queue was full a moment ago. */
  fullUntilMs: number;
  /** Its last refusal, which the next request would get too while `fullUntilMs` lasts. */
  refusal: RunResult | undefined;
}

/** Weight of a new outcome in the smoothed failure share. */
const FAILURE_SMOOTHING = 0.1;
/** An instance that could not be reached or has no room is left alone for this time. */
const AVOID_UNREACHABLE_MS = 1_000;
/** Daemons report to a new leader within a second; one that is cut off from it still serves. */
const KEEP_UNCONFIRMED_MS = 20_000;
const AVOID_FULL_MS = 30;
/**
 * After a refusal for lack of room the owner of a key is not asked again for this time. Its daemon
 * would otherwise spend its processor time on refusals.
 */
const ASSUME_FULL_MS = 15;
/** The same after the owner's daemon could not be reached, which each try takes 250 ms to find. */
const ASSUME_UNREACHABLE_MS = 100;
/** The load of a target changes with each request; about a round trip of several offers. */
const FRESH_LOAD_MS = 100;
/** A target's load is used for as long as one request takes there, and this long at least. */
const MIN_LOAD_VALID_MS = 100;
/** Before a target told its load. */
const INITIAL_MEAN_MS = 50;
/** Doubles the predicted latency of an instance whose slots are all in use. */
const UTILISATION_WEIGHT = 1;
/** A failure costs its caller a whole retry, several times the latency of an answer. */
const FAILURE_WEIGHT = 6;
/** Prefers the own availability zone while the load there is similar. */
const OTHER_ZONE_FACTOR = 1.25;
/** An instance of the own zone with a free slot is left for another one only beyond this factor. */
const NEAR_FACTOR = 2;
/** A target that was started a moment ago works at about half its speed. */
const COLD_FACTOR = 2;

/** This daemon's copy of the configuration and the directory, with its own experience of both. */
export class SiteView {
  configuration: SiteConfiguration = INITIAL_CONFIGURATION;
  private routes = new RouteTable(INITIAL_CONFIGURATION);
  private instances = new Map<string, InstanceView>();
  private byLife = new Map<string, InstanceView>();
  private byService = new Map<string, InstanceView[]>();
  /** Ready instances that do not stop, by service. */
  private workingByService = new Map<string, InstanceView[]>();
  private keyedServices: ReadonlySet<string> = new Set();
  /** Instances that a new leader has not named yet, and until when they stay. */
  private readonly unconfirmedUntilMs = new Map<string, number>();
  private coldUntilMs = new Map<string, number>();
  private ranges = new Map<string, readonly OwnedRange[]>();
  private readonly experience = new Map<string, Experience>();
  private readonly sentByShare = new Map<string, number[]>();

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
    this.sentByShare.clear();
    this.keyedServices = new Set(
      configuration.services.filter(({keyed}) => keyed).map(({name}) => name),
    );
  }

  updateInstances(update: {
    full: boolean;
    instances: readonly InstanceView[];
    removed: readonly string[];
  }): void {
    const nowMs = this.opts.clock.nowMs();
    const isNews = update.full || update.instances.length > 0 || update.removed.length > 0;
    if (!isNews && this.unconfirmedUntilMs.size === 0) return;
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
    this.byLife = new Map([...this.instances.values()].map((entry) => [entry.life, entry]));
    this.byService = new Map();
    for (const instance of this.instances.values()) {
      const list = this.byService.get(instance.service);
      if (list) list.push(instance);
      else this.byService.set(instance.service, [instance]);
    }
    this.workingByService = new Map(
      [...this.byService].map(([service, list]) => [
        service,
        list.filter(({state, stopping}) => state === 'ready' && !stopping),
      ]),
    );
    for (const {life, coldLeftMs} of update.instances) {
      if (coldLeftMs > 0 && !this.coldUntilMs.has(life)) {
        this.coldUntilMs.set(life, nowMs + coldLeftMs);
      }
    }
    for (const life of this.experience.keys()) {
      if (!this.byLife.has(life)) this.experience.delete(life);
    }
    for (const life of this.coldUntilMs.keys()) {
      if (!this.byLife.has(life)) this.coldUntilMs.delete(life);
    }
  }

  /** A new leader knows only the instances that have reported to it so far. */
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

  /** Instances of a service that take part, whether ready or not. */
  instancesOf(service: string): readonly InstanceView[] {
    return this.byService.get(service) ?? [];
  }

  /** Deals the requests of a route to its services in proportion to their weights. */
  pickService(route: Route): string {
    const total = route.shares.reduce((sum, {weight}) => sum + weight, 0);
    const sent = this.sentByShare.get(route.name) ?? route.shares.map(() => 0);
    this.sentByShare.set(route.name, sent);
    let best = 0;
    let bestLag = -Infinity;
    const count = sent.reduce((sum, n) => sum + n, 0) + 1;
    route.shares.forEach(({weight}, index) => {
      const lag = (weight / total) * count - sent[index]!;
      if (weight > 0 && lag > bestLag) [best, bestLag] = [index, lag];
    });
    sent[best]! += 1;
    return route.shares[best]!.service;
  }

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
    return range && range.fromKey <= key ? this.byLife.get(range.ownerLife) : undefined;
  }

  /**
   * An instance outside `tried` that is likely to have a free slot: in this availability zone unless it
   * is much slower there or fails; the better of two drawn ones. `undefined` when all are likely full.
   */
  pickFreeInstance(service: string, tried: ReadonlySet<string>): InstanceView | undefined {
    const nowMs = this.opts.clock.nowMs();
    const list = this.workingByService.get(service) ?? [];
    const isFree = ({life, slots}: InstanceView): boolean =>
      !tried.has(life) && this.of(life).avoidUntilMs <= nowMs && this.busySlots(life) < slots;
    const isNear = (entry: InstanceView): boolean =>
      entry.availabilityZone === this.opts.availabilityZone && isFree(entry);
    const near = this.drawBetter(list, isNear);
    const any = this.drawBetter(list, isFree);
    if (!near || !any) return near ?? any;
    // An instance of which nothing is known is taken to be as fast as the near one.
    const anyMs = this.predictedMs(any, this.of(near.life).load?.meanMs);
    return this.predictedMs(near) <= anyMs * NEAR_FACTOR ? near : any;
  }

  /**
   * The instance outside `excluded` where a request is likely to wait for the shortest time. One that
   * takes no work or could not be reached a moment ago is used only when nothing else is left.
   */
  pickShortestQueue(service: string, excluded: ReadonlySet<string>): InstanceView | undefined {
    const nowMs = this.opts.clock.nowMs();
    const isOpen = (entry: InstanceView): boolean => !excluded.has(entry.life);
    const working = (this.workingByService.get(service) ?? []).filter(isOpen);
    const known = working.filter(({life}) => nowMs - this.of(life).loadAtMs < FRESH_LOAD_MS);
    const shortest = known.reduce<InstanceView | undefined>(
      (best, next) => (best && this.waitMs(best) <= this.waitMs(next) ? best : next),
      undefined,
    );
    if (shortest) return shortest;
    const isPreferred = ({life}: InstanceView): boolean => this.of(life).avoidUntilMs <= nowMs;
    const silent = (): InstanceView[] =>
      this.instancesOf(service).filter(({state}) => state === 'silent');
    return (
      this.drawBetter(working, isPreferred) ??
      this.drawBetter(working, isOpen) ??
      this.drawBetter(silent(), isOpen)
    );
  }

  /** The one with the lower predicted latency of two random eligible instances. */
  private drawBetter(
    list: readonly InstanceView[],
    isEligible: (instance: InstanceView) => boolean,
  ): InstanceView | undefined {
    const a = this.draw(list, isEligible);
    if (!a) return undefined;
    const b = this.draw(list, (entry) => entry !== a && isEligible(entry));
    return !b || this.predictedMs(a) <= this.predictedMs(b) ? a : b;
  }

  /** The first eligible instance from a random place on. */
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

  /** Earliest time in which an instance of the service may have room again. */
  estimateRetryAfterMs(service: string): number {
    const waits = this.instancesOf(service).map(({life}) => {
      const {load} = this.of(life);
      return load ? (load.meanMs * (load.waiting + 1)) / Math.max(1, load.slots) : INITIAL_MEAN_MS;
    });
    return waits.length === 0 ? INITIAL_MEAN_MS : Math.min(...waits);
  }

  recordSent(life: string): void {
    const experience = this.of(life);
    experience.outstanding += 1;
    experience.sentSinceLoad += 1;
  }

  /** Takes what became of a request that was sent to this life. */
  recordResult(life: string, result: RunResult): void {
    const experience = this.of(life);
    const nowMs = this.opts.clock.nowMs();
    experience.outstanding -= 1;
    if (result.load) {
      experience.load = result.load;
      experience.loadAtMs = nowMs;
      experience.sentSinceLoad = 0;
    }
    const serverError = result.kind === 'answered' && result.answer.status >= 500;
    const cancelled = result.kind !== 'answered' && result.code === 'CANCELLED';
    if (!cancelled) {
      const failed = result.kind === 'rejected' || result.kind === 'lost' || serverError;
      const outcome = failed ? 1 : 0;
      experience.failureShare += (outcome - experience.failureShare) * FAILURE_SMOOTHING;
    }
    if (result.kind === 'refused' && result.code === 'OVERLOADED') {
      experience.fullUntilMs = nowMs + ASSUME_FULL_MS;
      experience.refusal = result;
    }
    if (result.kind === 'refused' && result.code === 'PEER_FAILED') {
      experience.fullUntilMs = nowMs + ASSUME_UNREACHABLE_MS;
      experience.refusal = result;
    }
    if (result.kind === 'refused') {
      const unreachable = result.code === 'PEER_FAILED' || result.code === 'NO_TARGET';
      if (!cancelled) {
        experience.avoidUntilMs = nowMs + (unreachable ? AVOID_UNREACHABLE_MS : AVOID_FULL_MS);
      }
    }
  }

  /** The refusal that an offer there would get, as far as the last one tells. */
  recentRefusal(life: string): RunResult | undefined {
    const {fullUntilMs, refusal} = this.of(life);
    return fullUntilMs > this.opts.clock.nowMs() ? refusal : undefined;
  }

  /** Requests at the instance, as far as this daemon knows. What it heard long ago is outdated. */
  private busySlots(life: string): number {
    const {load, loadAtMs, outstanding, sentSinceLoad} = this.of(life);
    const isCurrent =
      load && this.opts.clock.nowMs() - loadAtMs < Math.max(MIN_LOAD_VALID_MS, load.meanMs);
    return isCurrent ? load.inFlight + load.waiting + sentSinceLoad : outstanding;
  }

  private waitMs({life, slots}: InstanceView): number {
    const {load} = this.of(life);
    const ahead = Math.max(0, this.busySlots(life) + 1 - slots);
    return (ahead * (load?.meanMs ?? INITIAL_MEAN_MS)) / Math.max(1, slots);
  }

  private predictedMs(
    {life, slots, availabilityZone}: InstanceView,
    unknownMs = INITIAL_MEAN_MS,
  ): number {
    const {load, failureShare} = this.of(life);
    const utilisation = this.busySlots(life) / Math.max(1, slots);
    const cold = (this.coldUntilMs.get(life) ?? 0) > this.opts.clock.nowMs();
    return (
      (load?.meanMs ?? unknownMs) *
      (1 + UTILISATION_WEIGHT * utilisation * utilisation) *
      (1 + FAILURE_WEIGHT * failureShare) *
      (availabilityZone === this.opts.availabilityZone ? 1 : OTHER_ZONE_FACTOR) *
      (cold ? COLD_FACTOR : 1)
    );
  }

  private of(life: string): Experience {
    let experience = this.experience.get(life);
    if (!experience) {
      experience = {
        outstanding: 0,
        load: undefined,
        loadAtMs: -Infinity,
        sentSinceLoad: 0,
        failureShare: 0,
        avoidUntilMs: 0,
        fullUntilMs: 0,
        refusal: undefined,
      };
      this.experience.set(life, experience);
    }
    return experience;
  }
}
