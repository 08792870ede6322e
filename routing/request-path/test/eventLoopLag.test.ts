import assert from 'node:assert/strict';
import {after, describe, it} from 'node:test';
import {DisposableStore} from '@medlarlane/lifecycle';
import {EventLoopLag} from '@medlarlane/request-path';

const STALL_MS = 250;

describe('EventLoopLag', () => {
  const disposables = new DisposableStore();
  after(() => disposables.dispose());

  it('includes a stall even before the next timer has run', () => {
    const lag = new EventLoopLag(disposables);
    const endsAtMs = performance.now() + STALL_MS;
    while (performance.now() < endsAtMs) continue;
    assert.ok(lag.lagMs > STALL_MS / 2, `${lag.lagMs} ms`);
  });

  it('decreases after a stall', async () => {
    const lag = new EventLoopLag(disposables);
    const endsAtMs = performance.now() + STALL_MS;
    while (performance.now() < endsAtMs) continue;
    await new Promise((resolve) => setTimeout(resolve, 1_500));
    assert.ok(lag.lagMs < STALL_MS / 2, `${lag.lagMs} ms`);
  });
});
