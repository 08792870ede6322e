import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SendWindow, SlotQueue} from '@medlarlane/admission';
import type {SlotPermit} from '@medlarlane/admission';
import {MedlarlaneError} from '@medlarlane/errors';
import {ManualClock} from '@medlarlane/lifecycle';

const STEP_MS = 10;
const MAX_PER_SECOND = 19;
const COLD_RPS = 12.6;

// Guards against a flooded cold target: what was accepted before the target became cold, or was
// sent later than it was admitted, exceeded what the target tolerates in one second.
describe('SlotQueue in front of a cold target', () => {
  for (const sendDelayMs of [0, 90, 400]) {
    it(`never sends more than the bound in any second, ${sendDelayMs} ms after admission`, async (t) => {
      t.mock.timers.enable({apis: ['setTimeout']});
      const clock = new ManualClock();
      const startMs = clock.nowMs();
      const isCold = (): boolean => clock.nowMs() - startMs >= 1_500;
      const sendWindow = new SendWindow({
        clock,
        maxPerSecond: () => (isCold() ? MAX_PER_SECOND : undefined),
      });
      const rateLimitRps = (): number | undefined => (isCold() ? COLD_RPS : undefined);
      const queue = new SlotQueue({slots: 8, clock, rateLimitRps, sendWindow});
      const due: Array<{atMs: number; run: () => void}> = [];
      const sentAtMs: number[] = [];
      let refused = 0;
      const send = (permit: SlotPermit): void => {
        if (!permit.trySend()) return permit.cancel();
        if (isCold()) sentAtMs.push(clock.nowMs());
        due.push({atMs: clock.nowMs() + 100, run: () => permit.release(100)});
      };
      while (clock.nowMs() - startMs < 6_000) {
        const nowMs = clock.nowMs();
        void queue
          .acquire({
            requestClass: 'read',
            priority: 1,
            latencyTargetAtMs: nowMs + 800,
            deadlineAtMs: nowMs + 4_000,
          })
          .then(
            (permit) => due.push({atMs: clock.nowMs() + sendDelayMs, run: () => send(permit)}),
            () => (refused += 1),
          );
        await clock.advance(STEP_MS);
        t.mock.timers.tick(STEP_MS);
        await new Promise((resolve) => setImmediate(resolve));
        const current = due.filter(({atMs}) => atMs <= clock.nowMs());
        for (const entry of current) due.splice(due.indexOf(entry), 1);
        for (const {run} of current) run();
      }
      for (const fromMs of sentAtMs) {
        const count = sentAtMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + 1_000).length;
        assert.ok(count <= MAX_PER_SECOND, `${count} sent in one second`);
      }
      // A target that is held back for no reason would be idle.
      assert.ok(sentAtMs.length >= 35, `${sentAtMs.length} sent in 4.5 s`);
      assert.ok(refused > 100, `${refused} refused`);
    });
  }

  it('counts the requests of the second before, and refuses at once what cannot be timely', async () => {
    const clock = new ManualClock();
    const state: {max: number | undefined} = {max: undefined};
    const sendWindow = new SendWindow({clock, maxPerSecond: () => state.max});
    const queue = new SlotQueue({slots: 4, clock, sendWindow});
    const acquire = (): Promise<SlotPermit> =>
      queue.acquire({
        requestClass: 'read',
        priority: 1,
        latencyTargetAtMs: clock.nowMs() + 500,
        deadlineAtMs: clock.nowMs() + 2_000,
      });
    for (let n = 0; n < 3; n += 1) {
      const permit = await acquire();
      assert.ok(permit.trySend());
      permit.release(10);
    }
    const early = await acquire();
    state.max = 3;
    assert.equal(early.trySend(), false);
    early.cancel();
    await assert.rejects(acquire(), (error: MedlarlaneError) => error.code === 'OVERLOADED');
    await clock.advance(1_101);
    assert.ok((await acquire()).trySend());
  });
});
