import assert from 'node:assert/strict';
import {test} from 'node:test';
import {DisposableStore, ManualClock} from '@medlarlane/lifecycle';

test('A failing cleanup step does not prevent the other steps from running', async () => {
  const store = new DisposableStore();
  const ran: string[] = [];
  store.add(() => void ran.push('first'));
  store.add(() => {
    throw new Error('broken');
  });
  store.add(() => void ran.push('last'));
  await assert.rejects(store.dispose(), AggregateError);
  assert.deepEqual(ran, ['last', 'first']);
});

test('A manual clock wakes sleepers in the order of their due times', async () => {
  const clock = new ManualClock();
  const woken: number[] = [];
  for (const durationMs of [30, 10, 20]) {
    void clock.sleep(durationMs).then(() => woken.push(durationMs));
  }
  await clock.advance(25);
  assert.deepEqual(woken, [10, 20]);
});
