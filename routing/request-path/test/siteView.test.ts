import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '@medlarlane/lifecycle';
import {SiteView} from '@medlarlane/request-path';
import type {InstanceView} from '@medlarlane/request-path';

const SERVICE = 'vault';

describe('SiteView', () => {
  it('keeps requests in its availability zone while slots are free there', () => {
    const {view} = startView(['near', 'far-1', 'far-2']);
    const picked = pickMany(view, 300);
    assert.ok(picked.get('near')! > 270, `${picked.get('near')} of 300 stayed`);
  });

  it('spreads requests over all zones if the local instances are busy', () => {
    const {view} = startView(['near', 'far-1', 'far-2']);
    for (let count = 0; count < 12; count += 1) view.recordSent('near');
    const picked = pickMany(view, 300);
    assert.ok(picked.get('far-1')! > 60 && picked.get('far-2')! > 60);
    assert.ok((picked.get('near') ?? 0) < 120);
  });

  it('uses other availability zones if the local instance fails or is much slower', () => {
    const {view} = startView(['near', 'far-1', 'far-2']);
    const recordResponse = (life: string, status: number, meanMs: number): void => {
      view.recordSent(life);
      const answer = {status, headers: [], body: new Uint8Array()};
      const load = {inFlight: 0, waiting: 0, slots: 10, meanMs};
      view.recordResult(life, {kind: 'answered', answer, load});
    };
    for (const life of ['near', 'far-1', 'far-2']) recordResponse(life, 200, 100);
    assert.ok(pickMany(view, 100).get('near')! > 90);
    for (let count = 0; count < 8; count += 1) recordResponse('near', 500, 100);
    assert.equal(pickMany(view, 100).get('near') ?? 0, 0);
    const slow = startView(['near', 'far-1']).view;
    for (const [life, meanMs] of [
      ['near', 400],
      ['far-1', 100],
    ] as const) {
      slow.recordSent(life);
      const load = {inFlight: 0, waiting: 0, slots: 10, meanMs};
      slow.recordResult(life, {kind: 'refused', code: 'CANCELLED', load});
    }
    assert.equal(pickMany(slow, 100).get('near') ?? 0, 0);
  });

  // Guards against requests to targets that other workloads slow down at the moment.
  it('prefers the target that is faster now as long as the figures are recent', async () => {
    const {view, clock} = startView(['near-1', 'near-2']);
    for (const [life, slowdown] of [
      ['near-1', 2.5],
      ['near-2', 1],
    ] as const) {
      view.recordSent(life);
      const load = {inFlight: 0, waiting: 0, slots: 10, meanMs: 100, slowdown};
      view.recordResult(life, {kind: 'refused', code: 'CANCELLED', load});
    }
    assert.equal(pickMany(view, 100).get('near-1') ?? 0, 0);
    await clock.advance(1_100);
    assert.ok(pickMany(view, 100).get('near-1')! > 20, 'uses outdated figures');
  });

  it('offers a request to recently refusing instances only as a last resort', () => {
    const {view} = startView(['near', 'far-1']);
    view.recordSent('near');
    view.recordResult('near', {kind: 'refused', code: 'OVERLOADED'});
    assert.equal(view.pickFreeInstance(SERVICE, new Set())?.life, 'far-1');
    assert.equal(view.pickFreeInstance(SERVICE, new Set(['far-1'])), undefined);
    assert.equal(view.pickShortestQueue(SERVICE, new Set(['far-1']))?.life, 'near');
  });

  it('returns the recent refusal of an instance until it expires', () => {
    const {view, clock} = startView(['near']);
    assert.equal(view.recentRefusal('near'), undefined);
    view.recordSent('near');
    view.recordResult('near', {kind: 'refused', code: 'OVERLOADED', retryAfterMs: 400});
    assert.deepEqual(view.recentRefusal('near'), {
      kind: 'refused',
      code: 'OVERLOADED',
      retryAfterMs: 400,
    });
    view.recordSent('near');
    view.recordResult('near', {kind: 'refused', code: 'PEER_FAILED'});
    assert.deepEqual(view.recentRefusal('near'), {kind: 'refused', code: 'PEER_FAILED'});
    void clock.advance(200);
    assert.equal(view.recentRefusal('near'), undefined);
  });

  // Guards against incident target-limit-ignored: a limit must not turn into refusals while other
  // targets have room. Pattern: half of the targets name a limit far below what their slots allow.
  it('sends a target that names a rate limit only its part of the requests', () => {
    const {view} = startView(['near', 'far-1', 'far-2']);
    const load = {inFlight: 0, waiting: 0, slots: 10, meanMs: 100};
    const limitedLoad = {...load, rateLimitRps: 10};
    const answer = {status: 200, headers: [], body: new Uint8Array()};
    for (const life of ['near', 'far-1', 'far-2']) {
      view.recordSent(life);
      const isLimited = life === 'near';
      view.recordResult(life, {kind: 'answered', answer, load: isLimited ? limitedLoad : load});
    }
    assert.equal(view.pickFreeInstance(SERVICE, new Set())?.life, 'near');
    view.recordSent('near');
    const picked = pickMany(view, 100);
    assert.equal(picked.get('near') ?? 0, 0);
  });

  it('avoids a limited target that refused until its limit permits a further request', () => {
    const {view, clock} = startView(['near', 'far-1']);
    const load = {inFlight: 0, waiting: 0, slots: 10, meanMs: 100, rateLimitRps: 5};
    view.recordSent('near');
    view.recordResult('near', {kind: 'refused', code: 'OVERLOADED', load});
    void clock.advance(150);
    assert.equal(view.pickFreeInstance(SERVICE, new Set(['far-1'])), undefined);
    void clock.advance(100);
    assert.equal(view.pickFreeInstance(SERVICE, new Set(['far-1']))?.life, 'near');
  });

  it('knows the rate limit of a target from the directory before its first response', () => {
    const {view} = startView(['near', 'far-1']);
    const limited = {...view.instancesOf(SERVICE)[0]!, rateLimitRps: 4};
    view.updateInstances({full: false, instances: [limited], removed: []});
    view.recordSent('near');
    assert.equal(view.pickFreeInstance(SERVICE, new Set())?.life, 'far-1');
  });

  // Guards against a flooded cold target: its entry and its last load were from before it became cold.
  it('sends less to a target that becomes cold again, until its entry says that it is not', () => {
    const {view} = startView(['near', 'far-1']);
    view.setConfiguration({
      ...view.configuration,
      services: [
        {
          name: SERVICE,
          maxConnections: 100,
          keyed: false,
          warmUp: {durationMs: 3_000, permittedRps: 8},
          extras: {},
        },
      ],
    });
    const entry = view.instancesOf(SERVICE)[0]!;
    const update = (fields: Partial<InstanceView>): void =>
      view.updateInstances({full: false, instances: [{...entry, ...fields}], removed: []});
    const answer = {status: 200, headers: [], body: new Uint8Array()};
    const load = {inFlight: 0, waiting: 0, slots: 10, meanMs: 100};
    for (let round = 0; round < 2; round += 1) {
      view.recordSent('near');
      view.recordResult('near', {kind: 'answered', answer, load});
      for (let n = 0; n < 2; n += 1) view.recordSent('near');
      assert.equal(view.pickFreeInstance(SERVICE, new Set())?.life, 'near');
      update({coldLeftMs: 3_000, rateLimitRps: 12});
      assert.equal(view.pickFreeInstance(SERVICE, new Set())?.life, 'far-1');
      update({coldLeftMs: 0});
      for (let n = 0; n < 2; n += 1)
        view.recordResult('near', {kind: 'answered', answer, load: {...load}});
    }
  });

  // Guards against requests to an evacuated zone, also those of last resort and to owners of keys.
  it('selects no instance of an evacuated zone until it is restored', () => {
    const {view} = startView(['near', 'far-1']);
    view.setRanges(SERVICE, [{fromKey: 0, toKey: 65_535, ownerLife: 'near'}]);
    view.setEvacuatedZones(['near']);
    assert.deepEqual([...pickMany(view, 50)], [['far-1', 50]]);
    assert.equal(view.ownerOf(SERVICE, 5), undefined);
    const late = {...view.instancesOf(SERVICE)[0]!, life: 'near-2', forwardAddress: 'near-2:1'};
    const silent = {...late, life: 'near-3', forwardAddress: 'near-3:1', state: 'silent'} as const;
    view.updateInstances({full: false, instances: [late, silent], removed: ['far-1:1']});
    assert.equal(view.pickFreeInstance(SERVICE, new Set()), undefined);
    assert.equal(view.pickShortestQueue(SERVICE, new Set()), undefined);
    view.setEvacuatedZones([]);
    assert.equal(view.ownerOf(SERVICE, 5)?.life, 'near');
    assert.notEqual(view.pickFreeInstance(SERVICE, new Set()), undefined);
  });

  it('sends a target that starts slowly no more than its slots in use', () => {
    const {view} = startView(['near', 'far-1']);
    const answer = {status: 200, headers: [], body: new Uint8Array()};
    const load = {inFlight: 0, waiting: 0, slots: 10, meanMs: 100, pacedSlots: 1};
    view.recordSent('near');
    view.recordResult('near', {kind: 'answered', answer, load});
    assert.equal(view.pickFreeInstance(SERVICE, new Set())?.life, 'near');
    view.recordSent('near');
    assert.equal(view.pickFreeInstance(SERVICE, new Set())?.life, 'far-1');
  });

  it('finds the owner of a key at both ends of its range and none in a gap', () => {
    const {view} = startView(['near', 'far-1']);
    view.setRanges(SERVICE, [
      {fromKey: 0, toKey: 9, ownerLife: 'near'},
      {fromKey: 10, toKey: 10, ownerLife: 'far-1'},
      {fromKey: 20, toKey: 65_535, ownerLife: 'near'},
    ]);
    const ownerOf = (key: number): string | undefined => view.ownerOf(SERVICE, key)?.life;
    assert.deepEqual([0, 9, 10, 15, 20, 65_535].map(ownerOf), [
      'near',
      'near',
      'far-1',
      undefined,
      'near',
      'near',
    ]);
  });
});

function startView(incarnations: readonly string[]): {view: SiteView; clock: ManualClock} {
  const clock = new ManualClock();
  let state = 1;
  const random = (): number => {
    state = (state * 16_807) % 2_147_483_647;
    return state / 2_147_483_647;
  };
  const view = new SiteView({clock, availabilityZone: 'near', random});
  const instances = incarnations.map((life): InstanceView => ({
    forwardAddress: `${life}:1`,
    availabilityZone: life.split('-')[0]!,
    life,
    service: SERVICE,
    state: 'ready',
    slots: 10,
    coldLeftMs: 0,
    stopping: false,
  }));
  view.updateInstances({full: true, instances, removed: []});
  return {view, clock};
}

function pickMany(view: SiteView, count: number): Map<string, number> {
  const picked = new Map<string, number>();
  for (let index = 0; index < count; index += 1) {
    const none = new Set<string>();
    const incarnation =
      (view.pickFreeInstance(SERVICE, none) ?? view.pickShortestQueue(SERVICE, none))?.life ?? '';
    picked.set(incarnation, (picked.get(incarnation) ?? 0) + 1);
  }
  return picked;
}
