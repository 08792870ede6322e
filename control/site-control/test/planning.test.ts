import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '@medlarlane/lifecycle';
import {KEY_LEASE_MS, KeyLeaseTable, planKeys, planTransfers} from '@medlarlane/site-control';
import type {CandidateTarget, LoadedTarget} from '@medlarlane/site-control';
import {KEY_COUNT} from '@medlarlane/site-state';
import type {KeyRange} from '@medlarlane/site-state';

describe('planKeys', () => {
  it('divides all keys evenly in the initial assignment', () => {
    const {assignments} = planKeys({
      ranges: [range(0, KEY_COUNT - 1, '')],
      targets: targetsOf('a', 'b', 'c'),
      isLeaseExpired: () => true,
      isServing: () => false,
    });
    const sizes = assignments.map(({fromKey, toKey}) => toKey - fromKey + 1);
    assert.equal(sum(sizes), KEY_COUNT);
    assert.ok(Math.max(...sizes) - Math.min(...sizes) <= 2);
  });

  it('spreads adjacent busy keys without load measurements', () => {
    const targets = targetsOf('a', 'b', 'c', 'd', 'e', 'f');
    const {assignments} = planKeys({
      ranges: [range(0, KEY_COUNT - 1, '')],
      targets,
      isLeaseExpired: () => true,
      isServing: () => false,
    });
    // 2,000 adjacent keys carry four fifths of the requests.
    const isBusy = (key: number): boolean => key >= 20_000 && key < 22_000;
    const loadOf = (incarnation: string): number =>
      sum(
        assignments
          .filter(({ownerLife}) => ownerLife === incarnation)
          .map(({fromKey, toKey}) => {
            const keys = Array.from({length: toKey - fromKey + 1}, (_, index) => fromKey + index);
            const busy = keys.filter(isBusy).length;
            return (0.8 * busy) / 2_000 + (0.2 * (keys.length - busy)) / (KEY_COUNT - 2_000);
          }),
      );
    const busiest = Math.max(...targets.map(({life}) => loadOf(life)));
    assert.ok(busiest < 1.5 / targets.length, `${busiest} of the load on one of six targets`);
  });

  it('divides the keys of a lost target among all others', () => {
    const {assignments} = planKeys({
      ranges: [
        range(0, 29_999, 'lost'),
        range(30_000, 49_999, 'a'),
        range(50_000, KEY_COUNT - 1, 'b'),
      ],
      targets: targetsOf('a', 'b'),
      isLeaseExpired: (incarnation) => incarnation === 'lost',
      isServing: (incarnation) => incarnation !== 'lost',
    });
    const assigned = (incarnation: string): number =>
      sum(
        assignments
          .filter(({ownerLife}) => ownerLife === incarnation)
          .map(({fromKey, toKey}) => toKey - fromKey + 1),
      );
    assert.equal(assigned('a') + assigned('b'), 30_000);
    assert.ok(Math.abs(20_000 + assigned('a') - KEY_COUNT / 2) < 1_100);
  });

  it('gives a target with a rate limit only its part of the keys of a lost target', () => {
    const [a, limited, c] = targetsOf('a', 'limited', 'c');
    const {assignments} = planKeys({
      ranges: [range(0, 65_535, 'lost')],
      targets: [a!, {...limited!, usableFraction: 0.2}, c!],
      isLeaseExpired: () => true,
      isServing: () => false,
    });
    const keysOf = (life: string): number =>
      sum(
        assignments
          .filter(({ownerLife}) => ownerLife === life)
          .map(({fromKey, toKey}) => toKey - fromKey + 1),
      );
    const fraction = keysOf('limited') / 65_536;
    assert.ok(fraction > 0.05 && fraction < 0.13, `${fraction} of all keys`);
    assert.ok(Math.abs(keysOf('a') - keysOf('c')) < 1_500);
  });

  it('does not reassign the keys of an unresponsive target until its lease expires', () => {
    const input = {
      ranges: [range(0, 99, 'lost'), range(100, KEY_COUNT - 1, 'a')],
      targets: targetsOf('a'),
      isServing: (incarnation: string) => incarnation === 'a',
    };
    assert.deepEqual(planKeys({...input, isLeaseExpired: () => false}).assignments, []);
    const [assigned] = planKeys({
      ...input,
      isLeaseExpired: (incarnation) => incarnation === 'lost',
    }).assignments;
    assert.deepEqual([assigned?.fromKey, assigned?.toKey, assigned?.ownerLife], [0, 99, 'a']);
  });

  it('passes the handover of a released range to its new owner', () => {
    const released = {...range(0, 99, ''), handover: 'h'};
    const {assignments} = planKeys({
      ranges: [released, range(100, KEY_COUNT - 1, 'a')],
      targets: targetsOf('a'),
      isLeaseExpired: (incarnation) => incarnation === '',
      isServing: (incarnation) => incarnation === 'a',
    });
    assert.deepEqual(
      assignments.map(({handover}) => handover),
      ['h'],
    );
  });
});

describe('KeyLeaseTable', () => {
  it('keeps a lease for its full duration after a renewal and after the start of the term', async () => {
    const clock = new ManualClock();
    const leases = new KeyLeaseTable(clock);
    assert.equal(leases.isLeaseExpired('a'), false);
    await clock.advance(3_000);
    leases.renew('a');
    await clock.advance(KEY_LEASE_MS);
    assert.equal(leases.isLeaseExpired('a'), false);
    assert.equal(leases.isLeaseExpired('b'), true);
    await clock.advance(700);
    assert.equal(leases.isLeaseExpired('a'), true);
  });

  it('expires the lease of an ended target at once', () => {
    const leases = new KeyLeaseTable(new ManualClock());
    leases.markEnded('a');
    assert.equal(leases.isLeaseExpired('a'), true);
  });
});

/** Targets of 10 slots and 100 ms per request have a capacity of 100 requests per second. */
const TRANSFER_CASES: ReadonlyArray<{
  readonly name: string;
  readonly targets: readonly LoadedTarget[];
  /** Source, destination and moved requests per second. */
  readonly expected: ReadonlyArray<[string, string, number]>;
}> = [
  {
    name: 'moves nothing when the load is even',
    targets: [loadedTarget('a', 70), loadedTarget('b', 72)],
    expected: [],
  },
  {
    name: 'moves nothing when the load is uneven but every utilisation is low',
    targets: [loadedTarget('a', 40), loadedTarget('b', 5)],
    expected: [],
  },
  {
    name: 'spreads the load of one overloaded target over the others',
    targets: [loadedTarget('a', 180), loadedTarget('b', 30), loadedTarget('c', 30)],
    expected: [
      ['a', 'b', 50],
      ['a', 'c', 50],
    ],
  },
  {
    name: 'leaves less load on a slow target than on a fast one',
    targets: [{...loadedTarget('slow', 60), meanMs: 200}, loadedTarget('fast', 0)],
    expected: [['slow', 'fast', 40]],
  },
  {
    name: 'gives a new target its part although the others have spare capacity',
    targets: [loadedTarget('a', 40), {...loadedTarget('new', 0), ownsKeys: false}],
    expected: [['a', 'new', 20]],
  },
  // Guards against incident target-limit-ignored: a target got more keys after it had named a limit.
  {
    name: 'takes the rate limit of a target as its capacity',
    targets: [
      {...loadedTarget('limited', 60), rateLimit: {rps: 30, ageMs: 2_000}},
      loadedTarget('b', 50),
    ],
    expected: [['limited', 'b', 35]],
  },
  {
    name: 'moves keys of several limited targets to one with spare capacity in one plan',
    targets: [
      {...loadedTarget('limited-1', 60), rateLimit: {rps: 30, ageMs: 2_000}},
      {...loadedTarget('limited-2', 60), rateLimit: {rps: 30, ageMs: 2_000}},
      loadedTarget('c', 40),
    ],
    expected: [
      ['limited-1', 'c', 30],
      ['limited-2', 'c', 30],
    ],
  },
  {
    name: 'does not move keys away for a limit that was just named',
    targets: [
      {...loadedTarget('limited', 60), rateLimit: {rps: 30, ageMs: 300}},
      loadedTarget('b', 50),
    ],
    expected: [],
  },
  {
    name: 'does not move keys to a target that was just limited',
    targets: [
      loadedTarget('busy', 95),
      {...loadedTarget('limited', 20), rateLimit: {rps: 10, ageMs: 300}},
      loadedTarget('c', 40),
    ],
    expected: [['busy', 'c', 21]],
  },
  {
    name: 'moves most keys away from a target that accepts no requests',
    targets: [
      {...loadedTarget('limited', 40), rateLimit: {rps: 0, ageMs: 2_000}},
      loadedTarget('b', 10),
    ],
    expected: [['limited', 'b', 28]],
  },
];

describe('planTransfers', () => {
  for (const {name, targets, expected} of TRANSFER_CASES) {
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

describe('planTransfers in a large fleet', () => {
  it('spreads the load of two of a hundred targets over all others in one plan', () => {
    const others = Array.from({length: 98}, (_, index) => slowTarget(`t${index}`, 8));
    const transfers = planTransfers([
      slowTarget('hot-1', 230),
      slowTarget('hot-2', 220),
      ...others,
    ]);
    const movedRps = sum(transfers.map(({fromLife, share}) => share * hotRps(fromLife)));
    assert.ok(movedRps > 450 * 0.65, `${movedRps} of 450 requests per second moved`);
    assert.ok(new Set(transfers.map(({toLife}) => toLife)).size > 60);
    const perDestination = Math.max(
      ...transfers.map(({fromLife, share}) => share * hotRps(fromLife)),
    );
    assert.ok(perDestination < 10, `${perDestination} requests per second go to one destination`);
  });

  /** Eleven slots and 620 ms per request: a capacity of 18 requests per second. */
  function slowTarget(incarnation: string, offeredRps: number): LoadedTarget {
    return {life: incarnation, slots: 11, meanMs: 620, offeredRps, ownsKeys: true};
  }

  function hotRps(incarnation: string): number {
    return incarnation === 'hot-1' ? 230 : 220;
  }
});

function loadedTarget(incarnation: string, offeredRps: number): LoadedTarget {
  return {life: incarnation, slots: 10, meanMs: 100, offeredRps, ownsKeys: true};
}

function targetsOf(...names: string[]): CandidateTarget[] {
  return names.map((incarnation) => ({life: incarnation, usableFraction: 1}));
}

function range(fromKey: number, toKey: number, ownerLife: string): KeyRange {
  return {fromKey, toKey, ownerLife, epoch: 1, handover: ''};
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
