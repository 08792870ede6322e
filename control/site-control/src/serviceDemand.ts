import {NEAR_CAPACITY_FRACTION} from '@medlarlane/admission';
import type {Clock} from '@medlarlane/lifecycle';
import type {PrioritySum, ReportRequest, ServiceSums} from './reports.js';

interface Session {
  readonly report: ReportRequest;
  readonly reportedAtMs: number;
}

/** Reports that are older are not summed; daemons report every 600 ms, or more often while demand is wanted. */
const MAX_REPORT_AGE_MS = 1_500;
/** Minimum time between two responses with sums to the same daemon. */
export const DEMAND_INTERVAL_MS = 400;
/** The sums are computed once for all daemons that ask within this time. */
const CACHE_MS = 100;
/** Bound of a response; services with the most busy slots come first. */
const MAX_SERVICES = 8;
const MAX_PRIORITIES = 8;

/** Sums the demand that daemons report, by service. Part of a leadership term. */
export class ServiceDemandTable {
  private nearCapacityAtMs = -Infinity;
  private readonly sentAtMs = new Map<string, number>();
  private cache: {atMs: number; sums: ServiceSums[]} = {atMs: -Infinity, sums: []};

  constructor(
    private readonly clock: Clock,
    private readonly sessions: ReadonlyMap<string, Session>,
  ) {}

  /** Whether a gate is near its capacity, so that all daemons should report their demand. */
  get isWanted(): boolean {
    return this.clock.nowMs() - this.nearCapacityAtMs < MAX_REPORT_AGE_MS;
  }

  accept({demand}: ReportRequest): void {
    if (!demand || demand.busySlots < demand.usableSlots * NEAR_CAPACITY_FRACTION) return;
    this.nearCapacityAtMs = this.clock.nowMs();
  }

  remove(forwardAddress: string): void {
    this.sentAtMs.delete(forwardAddress);
  }

  /** Sums of the services near their capacity, unless this daemon has just got them. */
  sumsFor(forwardAddress: string): ServiceSums[] {
    if (!this.isWanted) return [];
    const nowMs = this.clock.nowMs();
    if (nowMs - (this.sentAtMs.get(forwardAddress) ?? -Infinity) < DEMAND_INTERVAL_MS) return [];
    if (nowMs - this.cache.atMs >= CACHE_MS) this.cache = {atMs: nowMs, sums: this.sum(nowMs)};
    if (this.cache.sums.length > 0) this.sentAtMs.set(forwardAddress, nowMs);
    return this.cache.sums;
  }

  private sum(nowMs: number): ServiceSums[] {
    const totals = new Map<string, Totals>();
    for (const {report, reportedAtMs} of this.sessions.values()) {
      if (nowMs - reportedAtMs >= MAX_REPORT_AGE_MS) continue;
      addReport(totals, report);
    }
    return [...totals]
      .filter(
        ([, {usableSlots, busySlots}]) =>
          usableSlots > 0 && busySlots >= usableSlots * NEAR_CAPACITY_FRACTION,
      )
      .sort(([, a], [, b]) => b.busySlots - a.busySlots)
      .slice(0, MAX_SERVICES)
      .map(([service, totalsOfService]) => [service, toSums(totalsOfService)]);
  }
}

interface Totals {
  usableSlots: number;
  busySlots: number;
  readonly byPriority: Map<number, PrioritySum>;
}

function addReport(totals: Map<string, Totals>, {target, demand, stopping}: ReportRequest): void {
  // Targets of an evacuated zone are `ready` but offer no slots.
  const isServing = target?.state === 'ready' && target.isEvacuated !== true && !stopping;
  if (isServing) {
    const service = totalsOf(totals, target.service);
    // A gate without demand in its report was not near its capacity.
    service.usableSlots += demand?.usableSlots ?? target.slots;
    service.busySlots += demand?.busySlots ?? 0;
    for (const [priority, completedRps, busySlots, refusedRps] of demand?.gate ?? []) {
      const sum = sumOf(service, priority);
      sum.completedRps += completedRps;
      sum.busySlots += busySlots;
      sum.refusedRps += refusedRps;
    }
  }
  for (const [name, rates] of demand?.entries ?? []) {
    for (const [priority, newRps, returnedRps] of rates) {
      const sum = sumOf(totalsOf(totals, name), priority);
      sum.newRps += newRps;
      sum.returnedRps += returnedRps;
    }
  }
}

function totalsOf(totals: Map<string, Totals>, service: string): Totals {
  const known = totals.get(service);
  if (known) return known;
  const added = {usableSlots: 0, busySlots: 0, byPriority: new Map()};
  totals.set(service, added);
  return added;
}

function sumOf({byPriority}: Totals, priority: number): PrioritySum {
  const known = byPriority.get(priority);
  if (known) return known;
  const added = {priority, newRps: 0, returnedRps: 0, completedRps: 0, busySlots: 0, refusedRps: 0};
  byPriority.set(priority, added);
  return added;
}

/** Rates are sent as integers in hundredths, which keeps a priority of a service below 64 bytes. */
function toSums({usableSlots, busySlots, byPriority}: Totals): ServiceSums[1] {
  return {
    usableSlots: toHundredths(usableSlots),
    busySlots: toHundredths(busySlots),
    byPriority: [...byPriority.values()]
      .sort((a, b) => a.priority - b.priority)
      .slice(0, MAX_PRIORITIES)
      .map((sum) => [
        sum.priority,
        toHundredths(sum.newRps),
        toHundredths(sum.returnedRps),
        toHundredths(sum.completedRps),
        toHundredths(sum.busySlots),
        toHundredths(sum.refusedRps),
      ]),
  };
}

/** Decodes the sums of one service as sent by the leader. */
export function decodeSums([service, sums]: ServiceSums): [
  string,
  {usableSlots: number; busySlots: number; byPriority: PrioritySum[]},
] {
  const byPriority = sums.byPriority.map(
    ([priority, newRps, returnedRps, completedRps, busySlots, refusedRps]): PrioritySum => ({
      priority,
      newRps: newRps / HUNDREDTHS,
      returnedRps: returnedRps / HUNDREDTHS,
      completedRps: completedRps / HUNDREDTHS,
      busySlots: busySlots / HUNDREDTHS,
      refusedRps: refusedRps / HUNDREDTHS,
    }),
  );
  const {usableSlots, busySlots} = sums;
  return [
    service,
    {usableSlots: usableSlots / HUNDREDTHS, busySlots: busySlots / HUNDREDTHS, byPriority},
  ];
}

const HUNDREDTHS = 100;

function toHundredths(value: number): number {
  return Math.round(value * HUNDREDTHS);
}
