import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SlotQueue} from '@medlarlane/admission';
import type {SlotPermit} from '@medlarlane/admission';
import {toMedlarlaneError} from '@medlarlane/errors';
import {OfferPlan, SiteView} from '@medlarlane/request-path';
import type {TargetLoad, RunResult} from '@medlarlane/request-path';

const SERVICE = 'desk';
const ZONES = ['a', 'b', 'c', 'd', 'e'];
const SLOTS = 11;
const WORK_MS = 800;
const TARGET_LATENCY_MS = 2_600;
/** Wait for a slot while other targets may be free, as a fraction of the latency target. */
const QUICK_WAIT_MS = TARGET_LATENCY_MS * 0.05;

describe('OfferPlan in a large fleet', () => {
  it('uses targets of different speeds evenly, although each daemon rarely gets load updates', async () => {
    const fleet = startFleet({daemons: 190, targets: 70});
    const capacityRps = fleet.capacityRps;
    const outcome = await fleet.simulate({rps: capacityRps * 0.85, seconds: 12});
    const perSpeed = outcome.served.map((count, index) => count / fleet.speeds[index]!);
    const mean = perSpeed.reduce((sum, n) => sum + n, 0) / perSpeed.length;
    const busiest = Math.max(...perSpeed) / mean;
    assert.ok(busiest < 1.4, `the busiest target gets ${busiest} of its proportional load`);
    assert.ok(
      outcome.late + outcome.refused < outcome.requested * 0.01,
      JSON.stringify(outcome.late),
    );
  });

  it('refuses few requests at a load just below capacity', async () => {
    const fleet = startFleet({daemons: 190, targets: 70});
    const {requested, refused, late} = await fleet.simulate({
      rps: fleet.capacityRps * 0.97,
      seconds: 12,
    });
    assert.ok(refused < requested * 0.03, `${refused} of ${requested} refused`);
    assert.ok(late < requested * 0.05, `${late} of ${requested} late`);
  });

  it('prefers its availability zone while slots are free there', async () => {
    const fleet = startFleet({daemons: 190, targets: 70});
    const {requested, crossZone} = await fleet.simulate({rps: fleet.capacityRps * 0.5, seconds: 8});
    assert.ok(
      crossZone < requested * 0.1,
      `${crossZone} of ${requested} left their availability zone`,
    );
  });
});

interface Arrival {
  readonly atMs: number;
  readonly daemon: number;
}

/** Simulates daemons that know targets only from their own offers, and targets with queues. */
function startFleet({daemons, targets}: {daemons: number; targets: number}) {
  let nowMs = 0;
  const clock = {
    nowMs: () => nowMs,
    wallMs: () => nowMs,
    sleep: () => Promise.reject(new Error('sleep must not be called')),
  };
  const random = seededRandom();
  const speeds = Array.from({length: targets}, (_, index) => [0.6, 1, 1.4][index % 3]!);
  const queues = speeds.map(() => new SlotQueue({slots: SLOTS, clock}));
  const instances = speeds.map((_, index) => ({
    forwardAddress: `t${index}`,
    availabilityZone: ZONES[index % ZONES.length]!,
    life: String(index),
    service: SERVICE,
    state: 'ready' as const,
    slots: SLOTS,
    coldLeftMs: 0,
    stopping: false,
  }));
  const views = Array.from({length: daemons}, (_, index) => {
    const view = new SiteView({
      clock,
      availabilityZone: ZONES[index % ZONES.length]!,
      random,
    });
    view.updateInstances({full: true, instances, removed: []});
    return view;
  });
  const completions: Array<{atMs: number; complete: () => void}> = [];
  const outcome = {requested: 0, refused: 0, late: 0, crossZone: 0, served: speeds.map(() => 0)};
  const loadOf = (index: number): TargetLoad => {
    const {inFlight, waiting, meanMs} = queues[index]!;
    return {inFlight, waiting, slots: SLOTS, meanMs};
  };

  const offer = async (
    index: number,
    arrivedAtMs: number,
    isFinal: boolean,
  ): Promise<RunResult> => {
    const queue = queues[index]!;
    let permit: SlotPermit;
    try {
      permit = await queue.acquire({
        requestClass: 'booking',
        priority: 1,
        latencyTargetAtMs: arrivedAtMs + TARGET_LATENCY_MS,
        deadlineAtMs: arrivedAtMs + 6_000,
        acceptLate: isFinal,
        maxWaitMs: isFinal ? 6_000 : QUICK_WAIT_MS,
      });
    } catch (thrown) {
      const code = toMedlarlaneError(thrown).code;
      return {kind: 'refused', code, load: loadOf(index)};
    }
    const workMs = (WORK_MS / speeds[index]!) * (0.7 + 0.6 * random());
    return new Promise((resolve) => {
      completions.push({
        atMs: nowMs + workMs,
        complete: () => {
          permit.release(workMs);
          queue.recordDuration('booking', workMs);
          const answer = {status: 200, headers: [], body: new Uint8Array()};
          resolve({kind: 'answered', answer, load: loadOf(index)});
        },
      });
    });
  };

  const request = async ({atMs, daemon}: Arrival): Promise<void> => {
    const view = views[daemon]!;
    const plan = new OfferPlan(view, SERVICE, undefined);
    outcome.requested += 1;
    for (let next = plan.next(); next; next = plan.next()) {
      const {life, availabilityZone} = next.instance;
      view.recordSent(life);
      const result = await offer(Number(life), atMs, next.isFinal);
      view.recordResult(life, result);
      plan.recordResult(next, result);
      if (result.kind !== 'answered') continue;
      outcome.served[Number(life)]! += 1;
      if (nowMs - atMs > TARGET_LATENCY_MS) outcome.late += 1;
      if (availabilityZone !== ZONES[daemon % ZONES.length]) outcome.crossZone += 1;
      return;
    }
    outcome.refused += 1;
  };

  const simulate = async ({rps, seconds}: {rps: number; seconds: number}) => {
    const count = Math.floor(rps * seconds);
    const running: Array<Promise<void>> = [];
    for (let index = 0; index < count; index += 1) {
      const atMs = (index * 1_000) / rps;
      await runUntil(atMs);
      running.push(request({atMs, daemon: Math.floor(random() * daemons)}));
      await flushPromises();
    }
    await runUntil(Infinity);
    await Promise.all(running);
    return outcome;
  };
  const runUntil = async (atMs: number): Promise<void> => {
    for (;;) {
      const first = completions.reduce((least, next, index) => {
        return least < 0 || next.atMs < completions[least]!.atMs ? index : least;
      }, -1);
      if (first < 0 || completions[first]!.atMs > atMs) break;
      const [{atMs: endAtMs, complete}] = completions.splice(first, 1) as [
        {atMs: number; complete: () => void},
      ];
      nowMs = endAtMs;
      complete();
      await flushPromises();
    }
    if (atMs !== Infinity) nowMs = atMs;
  };
  const capacityRps = speeds.reduce((sum, speed) => sum + (SLOTS * speed * 1_000) / WORK_MS, 0);
  return {speeds, capacityRps, simulate};
}

function seededRandom(): () => number {
  let state = 7;
  return () => {
    state = (state * 16_807) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

/** Lets the promise chain of one request settle, which consists of up to four offers. */
async function flushPromises(): Promise<void> {
  for (let turn = 0; turn < 40; turn += 1) await Promise.resolve();
}
