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

interface Outcome {
  readonly waitsMs: number[];
  readonly uploadWaitsMs: number[];
  refused: number;
  refusedUploads: number;
}

const REQUESTS = 40_000;
const SEED = 5_141;
const DEADLINE_MS = 1_000;
const SLOTS = [14, 18];
const LOADS = [0.85, 0.95, 1.1];
const ORDERS: readonly QueueOrder[] = ['first-come', 'shortest-predicted-first'];

/** Share and median duration of status checks, bookings and uploads; each is lognormal around its median. */
const KINDS = [
  {share: 0.9, medianMs: 5},
  {share: 0.09, medianMs: 40},
  {share: 0.01, medianMs: 400},
] as const;
const UPLOADS = KINDS[2];
const DURATION_SIGMA = 0.5;
// One prediction in ten is that of a random kind, the others are off by a factor of two in two thirds of cases.
const WRONG_KIND_SHARE = 0.1;
const PREDICTION_SIGMA = 0.7;
/** Half of the requests come from one of four callers. */
const CALLERS = ['a', 'a', 'a', 'b', 'c', 'd'] as const;

/** Compares the orders of the admission queue on the same simulated arrivals. */
export async function queueOrderBench(): Promise<Figure[]> {
  const figures: Figure[] = [];
  for (const slots of SLOTS) {
    for (const load of LOADS) {
      const requests = simulateArrivals(slots, load);
      for (const order of ORDERS) {
        const outcome = await serve(requests, slots, order);
        figures.push(...describe(`queue-order/${slots}-slots/load-${load}/${order}`, outcome));
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
    KINDS.reduce((sum, {share, medianMs}) => sum + share * medianMs, 0) *
    Math.exp(DURATION_SIGMA ** 2 / 2);
  const intervalMs = meanMs / (slots * load);
  let arrivesMs = 0;
  return Array.from({length: REQUESTS}, () => {
    arrivesMs += -Math.log(1 - random()) * intervalMs;
    const kind = pickKind(random());
    const durationMs = lognormal(kind.medianMs, DURATION_SIGMA);
    const predictedMs = random() < WRONG_KIND_SHARE ? pickKind(random()).medianMs : durationMs;
    return {
      arrivesMs,
      callerId: CALLERS[Math.floor(random() * CALLERS.length)] ?? 'a',
      durationMs,
      expectedMs: lognormal(predictedMs, PREDICTION_SIGMA),
      isUpload: kind === UPLOADS,
    };
  });
}

function pickKind(draw: number): (typeof KINDS)[number] {
  let rest = draw;
  for (const kind of KINDS) {
    if (rest < kind.share) return kind;
    rest -= kind.share;
  }
  return KINDS[0];
}

async function serve(
  requests: readonly SimulatedRequest[],
  slots: number,
  order: QueueOrder,
): Promise<Outcome> {
  const clock = new ManualClock();
  // The limit stays at the slots, so that only the order differs.
  const limit = new AdaptiveLimit({slots, maxConnections: slots, minLimit: slots, clock});
  const queue = new AdmissionQueue({limit, order, clock});
  const outcome: Outcome = {waitsMs: [], uploadWaitsMs: [], refused: 0, refusedUploads: 0};
  let running: Running[] = [];
  const advanceTo = async (untilMs: number): Promise<void> => {
    for (;;) {
      const next = running.reduce<Running | undefined>(
        (first, one) => (first && first.endsMs <= one.endsMs ? first : one),
        undefined,
      );
      if (!next || next.endsMs > untilMs) break;
      await clock.advance(next.endsMs - clock.nowMs());
      running = running.filter((one) => one !== next);
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
        outcome.refused += 1;
        if (isUpload) outcome.refusedUploads += 1;
      });
  }
  await advanceTo(Number.POSITIVE_INFINITY);
  return outcome;
}

function describe(name: string, outcome: Outcome): Figure[] {
  const {waitsMs, uploadWaitsMs, refused, refusedUploads} = outcome;
  const sorted = waitsMs.toSorted((a, b) => a - b);
  const at = (share: number): number => sorted[Math.floor((sorted.length - 1) * share)] ?? 0;
  const uploads = uploadWaitsMs.length + refusedUploads;
  const figures: Array<readonly [string, number, string]> = [
    ['mean-wait', mean(waitsMs), 'ms'],
    ['p99-wait', at(0.99), 'ms'],
    ['worst-wait', at(1), 'ms'],
    ['refused', (100 * refused) / REQUESTS, '%'],
    ['upload-mean-wait', mean(uploadWaitsMs), 'ms'],
    ['upload-refused', (100 * refusedUploads) / uploads, '%'],
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
