import type {Clock} from '@medlarlane/lifecycle';
import {DecayingRate} from './decayingRate.js';
import {NEAR_CAPACITY_FRACTION} from './serviceAdmission.js';

/** Rates of one priority of requests that a daemon accepted as entry. */
export type EntryRates = [priority: number, newRps: number, returnedRps: number];
/** Rates of one priority of requests that ended at the target of a daemon or were refused by its gate. */
export type GateRates = [
  priority: number,
  completedRps: number,
  busySlots: number,
  refusedRps: number,
];

/** Demand that a daemon has measured, in the form in which it is reported. */
export interface DemandReport {
  readonly busySlots: number;
  readonly usableSlots: number;
  readonly gate: GateRates[];
  readonly entries: Array<[service: string, rates: EntryRates[]]>;
}

const MS_PER_S = 1_000;
const TIME_CONSTANT_MS = 1_000;
/** Time constant of the mean number of busy slots, shorter to notice the begin of an overload. */
const BUSY_TIME_CONSTANT_MS = 400;
/** Bounds of a report. The least urgent priorities and the services with the fewest requests are left out. */
export const MAX_REPORTED_PRIORITIES = 8;
export const MAX_REPORTED_SERVICES = 8;
const GATE_COUNTERS = ['completed', 'heldMs', 'refused'] as const;
/** Smaller rates are not reported. */
const MIN_RPS = 0.01;

interface Counters<T extends string> {
  readonly byPriority: Map<number, Record<T, DecayingRate>>;
}

/** Measures the requests that a daemon accepts from callers and the work that ends at its target. */
export class DemandMeter {
  private readonly entries = new Map<string, Counters<'new' | 'returned'>>();
  private readonly gate: Counters<'completed' | 'heldMs' | 'refused'> = {byPriority: new Map()};
  private inFlight = 0;
  private meanInFlight = 0;
  private updatedAtMs = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** Records a request of a caller, whether it is admitted or not. */
  recordArrival(service: string, priority: number, {isReturning}: {isReturning: boolean}): void {
    let counters = this.entries.get(service);
    if (!counters) this.entries.set(service, (counters = {byPriority: new Map()}));
    const rates = ratesOf(counters, priority, ['new', 'returned']);
    rates[isReturning ? 'returned' : 'new'].record(this.clock.nowMs());
  }

  /** Records that a request holds a slot of the target. */
  recordStart(): void {
    this.integrate();
    this.inFlight += 1;
  }

  /** Records that a slot is free again; `work` is omitted if the target did not run the request. */
  recordEnd(work?: {priority: number; heldMs: number}): void {
    this.integrate();
    this.inFlight -= 1;
    if (!work) return;
    const nowMs = this.clock.nowMs();
    const rates = ratesOf(this.gate, work.priority, GATE_COUNTERS);
    rates.completed.record(nowMs);
    rates.heldMs.record(nowMs, work.heldMs);
  }

  /** Records a request that the gate refused although no other target would be tried. */
  recordRefused(priority: number): void {
    ratesOf(this.gate, priority, GATE_COUNTERS).refused.record(this.clock.nowMs());
  }

  isNearCapacity(usableSlots: number): boolean {
    this.integrate();
    return this.meanInFlight >= usableSlots * NEAR_CAPACITY_FRACTION;
  }

  report(usableSlots: number): DemandReport {
    this.integrate();
    const nowMs = this.clock.nowMs();
    return {
      busySlots: round(this.meanInFlight),
      usableSlots: round(usableSlots),
      gate: bounded(this.gate, ({completed, heldMs, refused}) => [
        round(completed.at(nowMs)),
        round(heldMs.at(nowMs) / MS_PER_S),
        round(refused.at(nowMs)),
      ]),
      entries: [...this.entries]
        .map(([service, counters]): [string, EntryRates[]] => [
          service,
          bounded(counters, (rates) => [
            round(rates.new.at(nowMs)),
            round(rates.returned.at(nowMs)),
          ]),
        ])
        .filter(([, rates]) => rates.length > 0)
        .sort((a, b) => totalRps(b[1]) - totalRps(a[1]))
        .slice(0, MAX_REPORTED_SERVICES),
    };
  }

  /** Moves the mean number of busy slots to the present. */
  private integrate(): void {
    const nowMs = this.clock.nowMs();
    const weight = 1 - Math.exp((this.updatedAtMs - nowMs) / BUSY_TIME_CONSTANT_MS);
    this.meanInFlight += (this.inFlight - this.meanInFlight) * weight;
    this.updatedAtMs = nowMs;
  }
}

function ratesOf<T extends string>(
  {byPriority}: Counters<T>,
  priority: number,
  names: readonly T[],
): Record<T, DecayingRate> {
  const known = byPriority.get(priority);
  if (known) return known;
  const rates = Object.fromEntries(
    names.map((name) => [name, new DecayingRate(TIME_CONSTANT_MS)]),
  ) as Record<T, DecayingRate>;
  byPriority.set(priority, rates);
  return rates;
}

function bounded<T extends string, R extends [number, ...number[]]>(
  {byPriority}: Counters<T>,
  read: (rates: Record<T, DecayingRate>) => R,
): Array<[number, ...R]> {
  return [...byPriority]
    .map(([priority, rates]): [number, ...R] => [priority, ...read(rates)])
    .filter(([, ...rates]) => rates.some((rate) => rate >= MIN_RPS))
    .sort(([a], [b]) => a - b)
    .slice(0, MAX_REPORTED_PRIORITIES);
}

function totalRps(rates: readonly EntryRates[]): number {
  return rates.reduce((sum, [, newRps, returnedRps]) => sum + newRps + returnedRps, 0);
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
