import assert from 'node:assert/strict';
import {once} from 'node:events';
import {test} from 'node:test';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {linkAbort} from '@medlarlane/lifecycle';

test('A timeout that nothing else references fires after a garbage collection', async () => {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  const linked = linkAbort([new AbortController().signal], {timeoutMs: 30});
  const aborted = once(linked.signal, 'abort');
  collect();
  await aborted;
  assert.equal((linked.signal.reason as Error).name, 'TimeoutError');
});

test('A linked signal aborts with its parents until it is released', () => {
  const parent = new AbortController();
  const linked = linkAbort([parent.signal]);
  const released = linkAbort([parent.signal]);
  released.release();
  parent.abort(new Error('stop'));
  assert.equal((linked.signal.reason as Error).message, 'stop');
  assert.equal(released.signal.aborted, false);
  assert.equal(linkAbort([parent.signal]).signal.aborted, true);
});
