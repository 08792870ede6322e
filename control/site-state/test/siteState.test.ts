import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {ConfigurationChange, Route} from '@medlarlane/site-config';
import {encodeCommand, KEY_COUNT, SiteState} from '@medlarlane/site-state';
import type {ChangeOutcome, EvacuationOutcome, SiteCommand} from '@medlarlane/site-state';

describe('SiteState', () => {
  it('accepts only one of two changes with the same base version', () => {
    const site = startSite();
    assert.equal(site.change({version: 3, baseVersion: 0, digest: 'a'}).kind, 'accepted');
    assert.deepEqual(site.change({version: 3, baseVersion: 0, digest: 'b'}), {
      kind: 'conflict',
      currentVersion: 3,
    });
  });

  it('accepts a resent change after later changes and a snapshot restore', () => {
    const site = startSite();
    site.change({version: 3, baseVersion: 0, digest: 'a'});
    site.change({version: 7, baseVersion: 3, digest: 'b'});
    const restored = startSite();
    restored.state.restore(site.state.snapshot());
    assert.deepEqual(restored.change({version: 3, baseVersion: 0, digest: 'a'}), {
      kind: 'accepted',
      version: 3,
    });
    assert.equal(restored.state.configuration.version, 7);
  });

  it('rejects a version that is not above the current one', () => {
    const site = startSite();
    site.change({version: 3, baseVersion: 0, digest: 'a'});
    assert.equal(site.change({version: 3, baseVersion: 3, digest: 'b'}).kind, 'invalid');
  });

  it('rejects a patch that removes a service a route refers to', () => {
    const site = startSite();
    site.change({version: 3, baseVersion: 0, digest: 'a'});
    const outcome = site.patch({version: 4, baseVersion: 3, removeServices: ['wallboard']});
    assert.equal(outcome.kind, 'invalid');
    assert.equal(site.state.configuration.version, 3);
  });

  it('gives each assignment a higher epoch and skips keys whose owner has changed', () => {
    const site = startSite();
    site.assign({fromKey: 0, toKey: KEY_COUNT - 1, ownerLife: 'a', previousOwnerLife: ''});
    const before = site.state.rangesOf('wallboard')[0]!.epoch;
    site.assign({fromKey: 100, toKey: 199, ownerLife: 'b', previousOwnerLife: 'a'});
    site.assign({fromKey: 150, toKey: 160, ownerLife: 'c', previousOwnerLife: 'a'});
    const ranges = site.state.rangesOf('wallboard');
    assert.deepEqual(
      ranges.map(({fromKey, toKey, ownerLife}) => [fromKey, toKey, ownerLife]),
      [
        [0, 99, 'a'],
        [100, 199, 'b'],
        [200, KEY_COUNT - 1, 'a'],
      ],
    );
    assert.ok(ranges[1]!.epoch > before);
    assert.equal(ranges[0]!.epoch, before);
  });

  it('keeps the daemon address of an owner while it owns keys, across a snapshot restore', () => {
    const site = startSite();
    const allKeys = {fromKey: 0, toKey: KEY_COUNT - 1};
    site.assign({...allKeys, ownerLife: 'a', previousOwnerLife: ''}, {a: 'host-a:1'});
    const restored = startSite();
    restored.state.restore(site.state.snapshot());
    assert.deepEqual([...restored.state.ownerAddresses], [['a', 'host-a:1']]);
    restored.assign({...allKeys, ownerLife: 'b', previousOwnerLife: 'a'}, {b: 'host-b:1'});
    assert.deepEqual([...restored.state.ownerAddresses], [['b', 'host-b:1']]);
  });

  // Guards against a repeated report of a release that takes keys away which the owner holds again.
  it('skips a release of keys that were assigned to the same owner again', () => {
    const site = startSite();
    const keys = {fromKey: 0, toKey: KEY_COUNT - 1};
    site.assign({...keys, ownerLife: 'a', previousOwnerLife: ''});
    const release = {...keys, ownerLife: '', previousOwnerLife: 'a', maxPreviousEpoch: 1};
    assert.equal(site.assign(release), 1);
    site.assign({...keys, ownerLife: 'a', previousOwnerLife: ''});
    assert.equal(site.assign(release), 0);
    assert.equal(site.state.rangesOf('wallboard')[0]?.ownerLife, 'a');
  });

  it('keeps evacuated zones across a snapshot restore and accepts what is already set', () => {
    const site = startSite();
    assert.equal(site.setEvacuation('east', true, 'a').kind, 'accepted');
    assert.equal(site.setEvacuation('east', true, 'b').kind, 'accepted');
    assert.equal(site.setEvacuation('west', false, 'c').kind, 'accepted');
    const restored = startSite();
    restored.state.restore(site.state.snapshot());
    assert.deepEqual([...restored.state.evacuatedZones], [['east', 1]]);
    assert.equal(restored.state.evacuationIndex, 1);
  });

  // Guards against a retry of a call that the log commits after a later call of another operator.
  it('ignores a late copy of an evacuation after the zone was restored', () => {
    const site = startSite();
    site.setEvacuation('east', true, 'a');
    site.setEvacuation('east', false, 'b');
    const restored = startSite(2);
    restored.state.restore(site.state.snapshot());
    assert.deepEqual(restored.setEvacuation('east', true, 'a'), {kind: 'accepted', index: 1});
    assert.equal(restored.state.evacuatedZones.size, 0);
    restored.setEvacuation('east', true, 'c');
    assert.deepEqual([...restored.state.evacuatedZones], [['east', 4]]);
  });

  // Guards against the case review/13: a call whose sender had given it up undid a newer, acknowledged one.
  it('does not apply an evacuation call that another one has overtaken, whatever that one changed', () => {
    const site = startSite();
    site.setEvacuation('east', true, 'a');
    const knownIndex = site.state.evacuationCallIndex;
    // The newer call sets what is already set.
    site.setEvacuation('east', true, 'b');
    const restored = startSite(2);
    restored.state.restore(site.state.snapshot());
    for (const {state, setEvacuation} of [site, restored]) {
      const late = setEvacuation('east', false, 'late', knownIndex);
      assert.deepEqual(late, {kind: 'conflict', callIndex: 2});
      assert.deepEqual([...state.evacuatedZones], [['east', 1]]);
      assert.equal(setEvacuation('east', false, 'next', 2).kind, 'accepted');
      // A copy of a decided call gets its outcome, although its index is outdated now.
      assert.equal(setEvacuation('east', false, 'next', 2).kind, 'accepted');
      assert.equal(state.evacuatedZones.size, 0);
    }
  });
});

function startSite(appliedIndex = 0) {
  const state = new SiteState();
  let index = appliedIndex;
  const apply = (command: SiteCommand): unknown => {
    index += 1;
    return state.apply({index, term: 1, kind: 'command', payload: encodeCommand(command)});
  };
  const change = (
    fields: Pick<ConfigurationChange, 'version' | 'baseVersion' | 'digest'>,
  ): ChangeOutcome =>
    apply({
      kind: 'changeConfiguration',
      change: {
        ...fields,
        change: {
          kind: 'replace',
          configuration: {
            version: fields.version,
            routes: [route()],
            services: [{name: 'wallboard', maxConnections: 100, keyed: true, extras: {}}],
            limits: {
              maxHeaderBytes: 1,
              maxBodyBytes: 1,
              headerTimeoutMs: 1,
              idleTimeoutMs: 1,
              extras: {},
            },
          },
        },
      },
    }) as ChangeOutcome;
  const patch = (fields: {
    version: number;
    baseVersion: number;
    removeServices: string[];
  }): ChangeOutcome =>
    apply({
      kind: 'changeConfiguration',
      change: {
        version: fields.version,
        baseVersion: fields.baseVersion,
        digest: `patch-${fields.version}`,
        change: {
          kind: 'patch',
          upsertRoutes: [],
          upsertServices: [],
          removeRoutes: [],
          removeServices: fields.removeServices,
        },
      },
    }) as ChangeOutcome;
  const assign = (
    fields: {
      fromKey: number;
      toKey: number;
      ownerLife: string;
      previousOwnerLife: string;
      maxPreviousEpoch?: number;
    },
    homes: Record<string, string> = {},
  ): unknown =>
    apply({
      kind: 'assignKeys',
      service: 'wallboard',
      assignments: [{...fields, handover: ''}],
      homes,
    });
  const setEvacuation = (
    availabilityZone: string,
    isEvacuated: boolean,
    digest: string,
    expectedCallIndex?: number,
  ): EvacuationOutcome =>
    apply({
      kind: 'setEvacuation',
      availabilityZone,
      isEvacuated,
      digest,
      ...(expectedCallIndex === undefined ? {} : {expectedCallIndex}),
    }) as EvacuationOutcome;
  return {state, change, patch, assign, setEvacuation};
}

function route(): Route {
  return {
    name: 'schedule',
    host: 'walls.example',
    pathPrefix: '/schedule/',
    kind: 'safe',
    timeoutMs: 1_000,
    targetLatencyMs: 200,
    priority: 1,
    maxAttempts: 2,
    shares: [{service: 'wallboard', weight: 1}],
    extras: {},
  };
}
