import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '@medlarlane/lifecycle';
import {KEY_LEASE_MS, KeyLeaseTable, planKeys, planTransfers} from '@medlarlane/site-control';
import type {LoadedTarget} from '@medlarlane/site-control';
import {KEY_COUNT} from '@medlarlane/site-state';
import type {KeyRange} from '@medlarlane/site-state';

describe('The placement of keys without a holder', () => {
  it('divides all keys evenly at the start', () => {
    const {assignments} = planKeys({
      ranges: [range(0, KEY_COUNT - 1, '')],
      targets: lives('a', 'b', 'c'),
      isLeaseExpired: () => true,
      isServing: () => false,
    });
    const sizes = assignments.map(({fromKey, toKey}) => toKey - fromKey + 1);
    assert.equal(sum(sizes), KEY_COUNT);
    assert.ok(Math.max(...sizes) - Math.min(...sizes) <= 2);
  });

  it('spreads the load of neighbouring busy keys before anything is known of it', () => {
    const targets = lives('a', 'b', 'c', 'd', 'e', 'f');
    const {assignments} = planKeys({
      ranges: [range(0, KEY_COUNT - 1, '')],
      targets,
      isLeaseExpired: () => true,
      isServing: () => false,
    });
    // 2,000 neighbours carry four fifths of the requests.
    const isBusy = (key: number): boolean => key >= 20_000 && key < 22_000;
    const loadOf = (life: string): number =>
      sum(
        assignments
          .filter(({ownerLife}) => ownerLife === life)
          .map(({fromKey, toKey}) => {
            const keys = Array.from({length: toKey - fromKey + 1}, (_, index) => fromKey + index);
            const busy = keys.filter(isBusy).length;
            return (0.8 * busy) / 2_000 + (0.2 * (keys.length - busy)) / (KEY_COUNT - 2_000);
          }),
      );
    const busiest = Math.max(...targets.map(({life}) => loadOf(life)));
    assert.ok(busiest < 1.5 / targets.length, `${busiest} of the load on one of six targets`);
  });

  it('divides what a lost target leaves among all others', () => {
    const {assignments} = planKeys({
      ranges: [
        range(0, 29_999, 'lost'),
        range(30_000, 49_999, 'a'),
        range(50_000, KEY_COUNT - 1, 'b'),
      ],
      targets: lives('a', 'b'),
      isLeaseExpired: (life) => life === 'lost',
      isServing: (life) => life !== 'lost',
    });
    const taken = (life: string): number =>
      sum(
        assignments
          .filter(({ownerLife}) => ownerLife === life)
          .map(({fromKey, toKey}) => toKey - fromKey + 1),
      );
    assert.equal(taken('a') + taken('b'), 30_000);
    assert.ok(Math.abs(20_000 + taken('a') - KEY_COUNT / 2) < 1_100);
  });

  it('leaves the keys of a silent target alone until its lease has run out', () => {
    const input = {
      ranges: [range(0, 99, 'lost'), range(100, KEY_COUNT - 1, 'a')],
      targets: lives('a'),
      isServing: (life: string) => life === 'a',
    };
    assert.deepEqual(planKeys({...input, isLeaseExpired: () => false}).assignments, []);
    const [taken] = planKeys({...input, isLeaseExpired: (life) => life === 'lost'}).assignments;
    assert.deepEqual([taken?.fromKey, taken?.toKey, taken?.ownerLife], [0, 99, 'a']);
  });

  it('passes the handover of a released range on to its new owner', () => {
    const released = {...range(0, 99, ''), handover: 'h'};
    const {assignments} = planKeys({
      ranges: [released, range(100, KEY_COUNT - 1, 'a')],
      targets: lives('a'),
      isLeaseExpired: (life) => life === '',
      isServing: (life) => life === 'a',
    });
    assert.deepEqual(
      assignments.map(({handover}) => handover),
      ['h'],
    );
  });
});

describe('Leases', () => {
  it('run for their whole time after the renewal and after the start of the term', async () => {
    const clock = new ManualClock();
    const ledger = new KeyLeaseTable(clock);
    assert.equal(ledger.isLeaseExpired('a'), false);
    await clock.advance(3_000);
    ledger.renew('a');
    await clock.advance(KEY_LEASE_MS);
    assert.equal(ledger.isLeaseExpired('a'), false);
    assert.equal(ledger.isLeaseExpired('b'), true);
    await clock.advance(700);
    assert.equal(ledger.isLeaseExpired('a'), true);
  });

  it('end at once for a life that is certain to have ended', () => {
    const ledger = new KeyLeaseTable(new ManualClock());
    ledger.end('a');
    assert.equal(ledger.isLeaseExpired('a'), true);
  });
});

/** Loads of three targets of 10 slots and 100 ms, which carry 100 requests a second each. */
const PATTERNS: ReadonlyArray<{
  readonly name: string;
  readonly targets: readonly LoadedTarget[];
  /** Giver, receiver and moved requests per second. */
  readonly expected: ReadonlyArray<[string, string, number]>;
}> = [
  {name: 'even load moves nothing', targets: [at('a', 70), at('b', 72)], expected: []},
  {
    name: 'uneven load without need moves nothing',
    targets: [at('a', 40), at('b', 5)],
    expected: [],
  },
  {
    name: 'a festival on the keys of one target spreads over the others',
    targets: [at('a', 180), at('b', 30), at('c', 30)],
    expected: [
      ['a', 'b', 50],
      ['a', 'c', 50],
    ],
  },
  {
    name: 'a slow target keeps less than a fast one',
    targets: [{...at('slow', 60), meanMs: 200}, at('fast', 0)],
    expected: [['slow', 'fast', 40]],
  },
  {
    name: 'a new target gets its part although the others have room',
    targets: [at('a', 40), {...at('new', 0), ownsKeys: false}],
    expected: [['a', 'new', 20]],
  },
];

describe('The balance of keys', () => {
  for (const {name, targets, expected} of PATTERNS) {
    it(name, () => {
      const offered = new Map(targets.map(({life, offeredRps}) => [life, offeredRps]));
      const moved = planTransfers(targets).map(({fromLife, toLife, share}) => [
        fromLife,
        toLife,
        Math.round(share * offered.get(fromLife)!),
      ]);
      assert.deepEqual(moved, expected);
    });
  }
});

describe('The balance of keys in a large fleet', () => {
  it('spreads a crowd on two of a hundred targets over all others in one plan', () => {
    const others = Array.from({length: 98}, (_, index) => slow(`t${index}`, 8));
    const transfers = planTransfers([slow('hot-1', 230), slow('hot-2', 220), ...others]);
    const movedRps = sum(transfers.map(({fromLife, share}) => share * hotRps(fromLife)));
    assert.ok(movedRps > 450 * 0.65, `${movedRps} of 450 requests a second moved`);
    assert.ok(new Set(transfers.map(({toLife}) => toLife)).size > 60);
    const perReceiver = Math.max(...transfers.map(({fromLife, share}) => share * hotRps(fromLife)));
    assert.ok(perReceiver < 10, `${perReceiver} requests a second go to one receiver`);
  });

  /** Eleven slots and 620 ms: 18 requests a second. */
  function slow(life: string, offeredRps: number): LoadedTarget {
    return {life, slots: 11, meanMs: 620, offeredRps, ownsKeys: true};
  }

  function hotRps(life: string): number {
    return life === 'hot-1' ? 230 : 220;
  }
});

function at(life: string, offeredRps: number): LoadedTarget {
  return {life, slots: 10, meanMs: 100, offeredRps, ownsKeys: true};
}

function lives(...names: string[]): Array<{life: string}> {
  return names.map((life) => ({life}));
}

function range(fromKey: number, toKey: number, ownerLife: string): KeyRange {
  return {fromKey, toKey, ownerLife, epoch: 1, handover: ''};
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
