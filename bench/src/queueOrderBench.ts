import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {AdmissionQueue, AdaptiveLimit} from '@medlarlane/admission';
import type {Permit, QueueOrder} from '@medlarlane/admission';
import {MedlarlaneError} from '@medlarlane/errors';
import {ManualClock} from '@medlarlane/lifecycle';
import type {Figure} from './figure.js';

interface SimulatedRequest {
  readonly arrivesMs: number;
  readonly callerId: string;
  readonly durationMs: number;
  readonly expectedMs: number;
  readonly isUpload: boolean;
}

interface Running {
  readonly endsMs: number;
  readonly durationMs: number;
  readonly permit: Permit;
}

interface QueueStatistics {
  readonly waitsMs: number[];
  readonly uploadWaitsMs: number[];
  rejected: number;
  rejectedUploads: number;
}

const REQUESTS = 40_000;
const SEED = 5_141;
const DEADLINE_MS = 1_000;
const SLOT_COUNTS = [14, 18];
const LOADS = [0.85, 0.95, 1.1];
const ORDERS: readonly QueueOrder[] = ['first-come', 'shortest-predicted-first'];

/** Fraction and median duration of status checks, bookings and uploads. Durations are lognormal. */
const KINDS = [
  {fraction: 0.9, medianMs: 5},
  {fraction: 0.09, medianMs: 40},
  {fraction: 0.01, medianMs: 400},
] as const;
const UPLOAD_KIND = KINDS[2];
const DURATION_SIGMA = 0.5;
// One prediction in ten is based on a random kind. Of the others, two thirds are within a factor of
// two of the actual duration.
const RANDOM_KIND_RATIO = 0.1;
const PREDICTION_SIGMA = 0.7;
/** One of four callers sends half of the requests. */
const CALLERS = ['a', 'a', 'a', 'b', 'c', 'd'] as const;

/** Compares the orders of the admission queue on the same simulated arrivals. */
export async function queueOrderBench(): Promise<Figure[]> {
  const figures: Figure[] = [];
  for (const slots of SLOT_COUNTS) {
    for (const load of LOADS) {
      const requests = simulateArrivals(slots, load);
      for (const order of ORDERS) {
        const outcome = await simulateQueue(requests, slots, order);
        figures.push(...toFigures(`queue-order/${slots}-slots/load-${load}/${order}`, outcome));
      }
    }
  }
  return figures;
}

function simulateArrivals(slots: number, load: number): SimulatedRequest[] {
  const generator = xoroshiro128plus(SEED);
  const random = (): number => uniformFloat64(generator);
  const lognormal = (median: number, sigma: number): number =>
    median *
    Math.exp(sigma * Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random()));
  const meanMs =
    KINDS.reduce((sum, {fraction, medianMs}) => sum + fraction * medianMs, 0) *
    Math.exp(DURATION_SIGMA ** 2 / 2);
  const intervalMs = meanMs / (slots * load);
  let arrivesMs = 0;
  return Array.from({length: REQUESTS}, () => {
    arrivesMs += -Math.log(1 - random()) * intervalMs;
    const kind = pickKind(random());
    const durationMs = lognormal(kind.medianMs, DURATION_SIGMA);
    const predictedMs = random() < RANDOM_KIND_RATIO ? pickKind(random()).medianMs : durationMs;
    return {
      arrivesMs,
      callerId: CALLERS[Math.floor(random() * CALLERS.length)] ?? 'a',
      durationMs,
      expectedMs: lognormal(predictedMs, PREDICTION_SIGMA),
      isUpload: kind === UPLOAD_KIND,
    };
  });
}

function pickKind(randomValue: number): (typeof KINDS)[number] {
  let remaining = randomValue;
  for (const kind of KINDS) {
    if (remaining < kind.fraction) return kind;
    remaining -= kind.fraction;
  }
  return KINDS[0];
}

async function simulateQueue(
  requests: readonly SimulatedRequest[],
  slots: number,
  order: QueueOrder,
): Promise<QueueStatistics> {
  const clock = new ManualClock();
  // The limit is fixed to the slots, so that only the order differs.
  const limit = new AdaptiveLimit({slots, maxConnections: slots, minLimit: slots, clock});
  const queue = new AdmissionQueue({limit, order, clock});
  const outcome: QueueStatistics = {
    waitsMs: [],
    uploadWaitsMs: [],
    rejected: 0,
    rejectedUploads: 0,
  };
  let running: Running[] = [];
  const advanceTo = async (untilMs: number): Promise<void> => {
    for (;;) {
      const next = running.reduce<Running | undefined>(
        (first, candidate) => (first && first.endsMs <= candidate.endsMs ? first : candidate),
        undefined,
      );
      if (!next || next.endsMs > untilMs) break;
      await clock.advance(next.endsMs - clock.nowMs());
      running = running.filter((candidate) => candidate !== next);
      next.permit.release({durationMs: next.durationMs, outcome: 'ok'});
      await clock.advance(0);
    }
    if (Number.isFinite(untilMs)) await clock.advance(untilMs - clock.nowMs());
  };
  for (const {arrivesMs, durationMs, isUpload, ...request} of requests) {
    await advanceTo(arrivesMs);
    queue
      .acquire({...request, deadlineMs: arrivesMs + DEADLINE_MS})
      .then((permit) => {
        outcome.waitsMs.push(permit.waitedMs);
        if (isUpload) outcome.uploadWaitsMs.push(permit.waitedMs);
        running.push({endsMs: clock.nowMs() + durationMs, durationMs, permit});
      })
      .catch((failure: unknown) => {
        if (!(failure instanceof MedlarlaneError)) throw failure;
        outcome.rejected += 1;
        if (isUpload) outcome.rejectedUploads += 1;
      });
  }
  await advanceTo(Number.POSITIVE_INFINITY);
  return outcome;
}

function toFigures(name: string, outcome: QueueStatistics): Figure[] {
  const {waitsMs, uploadWaitsMs, rejected, rejectedUploads} = outcome;
  const sorted = waitsMs.toSorted((a, b) => a - b);
  const at = (fraction: number): number => sorted[Math.floor((sorted.length - 1) * fraction)] ?? 0;
  const uploads = uploadWaitsMs.length + rejectedUploads;
  const figures: Array<readonly [string, number, string]> = [
    ['mean-wait', mean(waitsMs), 'ms'],
    ['p99-wait', at(0.99), 'ms'],
    ['worst-wait', at(1), 'ms'],
    ['refused', (100 * rejected) / REQUESTS, '%'],
    ['upload-mean-wait', mean(uploadWaitsMs), 'ms'],
    ['upload-refused', (100 * rejectedUploads) / uploads, '%'],
  ];
  return figures.map(([figure, value, unit]) => ({
    name: `${name}/${figure}`,
    value: Math.round(value * 100) / 100,
    unit,
  }));
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
