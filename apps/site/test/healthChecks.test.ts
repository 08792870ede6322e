import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '@medlarlane/lifecycle';
import {silentLogger} from '@medlarlane/logger';
import type {RunResult, TargetHealth} from '@medlarlane/request-path';
import {HealthChecks} from '@medlarlane/site';

const LOST: RunResult = {kind: 'lost', code: 'TARGET_FAILED'};
const OK: RunResult = {
  kind: 'answered',
  answer: {status: 200, headers: [], body: new Uint8Array()},
};

// Guards against periodic or repeated checks, each of which has a cost and counts as a request of a
// cold target.
describe('Health checks', () => {
  it('run once for a series of failures, and not for single ones', async () => {
    const {checks, clock, checkedAtMs} = startChecks();
    for (const result of [LOST, OK, LOST, OK]) checks.recordResult(result);
    assert.equal(checkedAtMs.length, 0);
    for (let n = 0; n < 20; n += 1) checks.recordResult(LOST);
    await clock.advance(3_000);
    for (let n = 0; n < 20; n += 1) checks.recordResult(LOST);
    assert.equal(checkedAtMs.length, 1);
  });

  it('are more than a second apart, and pass on what the target states', async () => {
    const {checks, clock, checkedAtMs, reported} = startChecks();
    await checks.check('daemon-started');
    void checks.check('zone-restored');
    void checks.check('zone-restored');
    await clock.advance(1_000);
    assert.equal(checkedAtMs.length, 1);
    await clock.advance(200);
    assert.deepEqual(reported, [700, 700]);
  });

  // Guards against entries of another writer that make the daemon ask its target again and again.
  it('tell the id of the target at the address, at most once per interval', async () => {
    const {checks, clock, checkedAtMs, reported} = startChecks({path: undefined});
    assert.equal(await checks.identify('/health'), 'a');
    assert.equal(await checks.identify('/health'), undefined);
    await clock.advance(1_200);
    assert.equal(await checks.identify('/health'), 'a');
    assert.deepEqual([checkedAtMs.length, reported], [2, []]);
  });

  it('do not run for a service without a health path', async () => {
    const {checks, checkedAtMs} = startChecks({path: undefined});
    await checks.check('daemon-started');
    assert.equal(checkedAtMs.length, 0);
  });
});

function startChecks(opts: {path: string | undefined} = {path: '/health'}) {
  const clock = new ManualClock();
  const checkedAtMs: number[] = [];
  const reported: Array<number | undefined> = [];
  const health: TargetHealth = {isHealthy: true, targetId: 'a', coldLeftMs: 700};
  const checks = new HealthChecks({
    clock,
    logger: silentLogger,
    client: {
      checkHealth: () => {
        checkedAtMs.push(clock.nowMs());
        return Promise.resolve(health);
      },
    },
    path: () => opts.path,
    onHealth: ({coldLeftMs}) => reported.push(coldLeftMs),
  });
  return {checks, clock, checkedAtMs, reported};
}
