import assert from 'node:assert/strict';
import {test} from 'node:test';
import {GrantChecker} from '@medlarlane/example-target';
import {ManualClock} from '@medlarlane/lifecycle';

const RANGE = {startPosition: 0, endPosition: 10, epoch: 3};

test('The expiry of a grant without a token counts from its receipt', async () => {
  const clock = new ManualClock();
  const checker = new GrantChecker('first', clock);
  assert.equal(checker.accept({epoch: 3, expiresInMs: 100}), true);
  await clock.advance(99);
  assert.equal(checker.refusalOf(undefined, 3), undefined);
  await clock.advance(1);
  assert.match(checker.refusalOf(undefined, 3) ?? '', /expired/);
});

test('The expiry of a grant that waited in a socket buffer counts from when its token was issued', async () => {
  const clock = new ManualClock();
  const checker = new GrantChecker('first', clock);
  const clockToken = checker.issueToken();
  await clock.advance(100);
  assert.equal(checker.accept({epoch: 3, expiresInMs: 100, clockToken}), true);
  assert.match(checker.refusalOf(undefined, 3) ?? '', /expired/);
});

test('A token of another incarnation or from the future is not accepted', () => {
  const checker = new GrantChecker('second', new ManualClock());
  for (const clockToken of ['first@0', 'second@1', 'second@x', '']) {
    assert.equal(checker.accept({epoch: 3, expiresInMs: 100, clockToken}), false, clockToken);
  }
});

test('A range that is granted again refuses requests of its earlier epoch', () => {
  const checker = new GrantChecker('first', new ManualClock());
  checker.accept({epoch: 3, expiresInMs: 100, ranges: [RANGE]});
  checker.accept({epoch: 5, expiresInMs: 100, ranges: []});
  assert.match(checker.refusalOf(5, 3) ?? '', /outside/);
  checker.accept({epoch: 7, expiresInMs: 100, ranges: [{...RANGE, epoch: 7}]});
  assert.match(checker.refusalOf(5, 3) ?? '', /older/);
  assert.equal(checker.refusalOf(5, 7), undefined);
  assert.equal(checker.accept({epoch: 6, expiresInMs: 100, ranges: [RANGE]}), false);
});
