import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {Replica} from '@medlarlane/consensus';
import type {ConfigurationChange} from '@medlarlane/site-config';
import {ManualClock} from '@medlarlane/lifecycle';
import {silentLogger} from '@medlarlane/logger';
import {SiteControl} from '@medlarlane/site-control';
import type {ReportedTarget, ReportRequest} from '@medlarlane/site-control';
import {encodeCommand, replaceOverlappingRanges, SiteState} from '@medlarlane/site-state';
import type {KeyAssignment, SiteCommand} from '@medlarlane/site-state';

/** Term of the leader. */
const TERM = 4;

describe('SiteControl', () => {
  it('keeps an instance in the directory while its daemon restarts', async () => {
    const {control, report} = startControl();
    await control.report(report({target: target({})}));
    const response = await control.report(report({}));
    assert.deepEqual(
      response.instances.map(({life}) => life),
      ['t/1'],
    );
  });

  it('renews the lease only of a target that may hold keys', async () => {
    const {control, report} = startControl();
    const leaseOf = async (fields: Partial<ReportedTarget>): Promise<boolean> =>
      (await control.report(report({target: target(fields)}))).leaseMs > 0;
    assert.equal(await leaseOf({state: 'ready', mayHoldKeys: false}), true);
    assert.equal(await leaseOf({state: 'draining', mayHoldKeys: true}), true);
    assert.equal(await leaseOf({state: 'draining', mayHoldKeys: false}), false);
    assert.equal(await leaseOf({state: 'silent', mayHoldKeys: false}), false);
    assert.equal(await leaseOf({state: 'ended', mayHoldKeys: true}), false);
  });

  // Guards against incident target-limit-ignored: a target that had announced that it leaves was in use
  // again after its daemon was restarted.
  it('keeps a target draining that a restarted daemon reports as ready', async () => {
    const {control, report} = startControl();
    await control.report(report({target: target({state: 'draining'})}));
    const response = await control.report(report({target: target({state: 'ready'})}));
    assert.deepEqual(
      response.instances.map(({state}) => state),
      ['draining'],
    );
    const next = await control.report(report({target: target({life: 't/2', state: 'ready'})}));
    assert.deepEqual(
      next.instances.map(({state}) => state),
      ['ready'],
    );
  });

  it('keeps the rate limit of a target until its restarted daemon has heard from it', async () => {
    const {control, report} = startControl();
    const limitAfter = async (fields: Partial<ReportedTarget>): Promise<number | undefined> =>
      (await control.report(report({target: target(fields)}))).instances[0]?.rateLimitRps;
    const rateLimit = {rps: 3, ageMs: 100};
    assert.equal(await limitAfter({rateLimit, isRateLimitKnown: true}), 3);
    assert.equal(await limitAfter({isRateLimitKnown: false}), 3);
    assert.equal(await limitAfter({isRateLimitKnown: true}), undefined);
    assert.equal(await limitAfter({rateLimit, isRateLimitKnown: true}), 3);
    assert.equal(await limitAfter({life: 't/2', isRateLimitKnown: false}), undefined);
  });

  it('sends only the changes since the last response of the same term', async () => {
    const {control, report} = startControl();
    const first = await control.report(report({target: target({})}));
    assert.equal(first.full, true);
    const {directoryRevision, leaderTerm} = first;
    const knownState = {directoryRevision, leaderTerm};
    const same = await control.report(report({...knownState, target: target({})}));
    assert.deepEqual([same.full, same.instances], [false, []]);
    const changed = await control.report(
      report({...knownState, target: target({state: 'draining'})}),
    );
    assert.deepEqual(
      changed.instances.map(({state}) => state),
      ['draining'],
    );
  });

  // Guards against reports that grow while nothing is near its capacity, and against a hot owner that
  // makes callers of the whole service be refused.
  it('returns sums only while a service is near its capacity, at most once in 400 ms', async () => {
    const {control, report, clock} = startControl();
    const send = (name: string, busySlots?: number, waitMs = 0) =>
      control.report(
        report({
          forwardAddress: name,
          waitMs,
          target: target({life: `${name}/1`, slots: 8}),
          ...(busySlots === undefined ? {} : {demand: demandOf(busySlots)}),
        }),
      );
    const atRest = await send('a', 3);
    assert.deepEqual([atRest.isDemandWanted, atRest.demand], [undefined, undefined]);
    const oneHot = [await send('b'), await send('a', 8)][1]!;
    assert.deepEqual([oneHot.isDemandWanted, oneHot.demand], [true, undefined]);
    await clock.advance(500);
    const [service, sums] = [await send('b', 7.5), await send('a', 8)][1]!.demand![0]!;
    assert.equal(service, 'wallboard');
    assert.deepEqual(sums, {
      usableSlots: 1_600,
      busySlots: 1_550,
      byPriority: [
        [0, 10_000, 1_000, 4_000, 600, 0],
        [2, 0, 0, 200, 200, 100],
      ],
    });
    assert.equal((await send('a', 8)).demand, undefined);
    await clock.advance(1_600);
    assert.equal((await send('a')).isDemandWanted, undefined);
  });

  // Guards against an overload that is not noticed while a zone is evacuated: its idle slots counted as free.
  it('does not count the slots of evacuated targets', async () => {
    const {control, report, clock} = startControl();
    const send = (name: string, busySlots: number, isEvacuated: boolean) =>
      control.report(
        report({
          forwardAddress: name,
          target: target({life: `${name}/1`, slots: 8, isEvacuated}),
          demand: demandOf(busySlots),
        }),
      );
    await send('away', 0, true);
    await send('a', 8, false);
    await clock.advance(500);
    const [, sums] = (await send('a', 8, false)).demand![0]!;
    assert.deepEqual([sums.usableSlots, sums.busySlots], [800, 800]);
  });

  it('reassigns the keys of an owner at once when a later incarnation runs at its daemon', async () => {
    const {control, report, state, clock, apply} = startControl();
    apply({kind: 'changeConfiguration', change: KEYED_SERVICE});
    apply(assignAllKeys({incarnation: 't/1', daemonAddress: 'a:1'}));
    control.start();
    await control.report(report({target: target({targetId: 'u', life: 'u/2'})}));
    await clock.advance(300);
    await control.stop();
    assert.deepEqual(
      [...new Set(state.rangesOf('wallboard').map(({ownerLife}) => ownerLife))],
      ['u/2'],
    );
    assert.deepEqual([...state.ownerAddresses], [['u/2', 'a:1']]);
  });

  it('waits for the lease of an owner when no later incarnation runs at its daemon', async () => {
    const {control, report, state, clock, apply} = startControl();
    apply({kind: 'changeConfiguration', change: KEYED_SERVICE});
    apply(assignAllKeys({incarnation: 't/1', daemonAddress: 'b:1'}));
    control.start();
    await control.report(report({target: target({targetId: 'u', life: 'u/2'})}));
    await clock.advance(300);
    await control.stop();
    assert.equal(state.rangesOf('wallboard')[0]?.ownerLife, 't/1');
  });

  // Guards against two owners of a key: a report sent before the target's heartbeats came again arrived after
  // the one sent since, and the leader gave away the keys that had been granted in between.
  it('keeps the keys of an owner when a report from before its lease was renewed arrives late', async () => {
    const {control, report, state, clock, apply} = startControl();
    apply({kind: 'changeConfiguration', change: KEYED_SERVICE});
    apply(assignAllKeys({incarnation: 't/1', daemonAddress: 'a:1'}));
    control.start();
    const numbered = (processId: string, sequence: number, fields: Partial<ReportedTarget>) =>
      control.report(report({leaderTerm: TERM, processId, sequence, target: target(fields)}));
    const silent = {state: 'silent', mayHoldKeys: false} as const;
    await control.report(report({forwardAddress: 'b:1', target: target({life: 'u/1'})}));
    await numbered('p1', 2, {});
    const late = await numbered('p1', 1, silent);
    assert.ok(late.leaseMs > 0, 'the response follows the newest report');
    await clock.advance(300);
    await numbered('p2', 1, {});
    await numbered('p1', 3, silent);
    await clock.advance(300);
    assert.equal(state.rangesOf('wallboard')[0]?.ownerLife, 't/1');
    assert.equal(state.rangesOf('wallboard').length, 1);
    await numbered('p2', 2, silent);
    await clock.advance(300);
    await control.stop();
    assert.equal(state.rangesOf('wallboard')[0]?.ownerLife, 'u/1');
  });

  // Guards against two owners of a key after an election: the new leader cannot know whether the previous one
  // renewed the lease by its response to a later report.
  it('gives keys away on the word of a daemon only when the daemon has heard this leader', async () => {
    const {control, report, state, clock, apply} = startControl();
    apply({kind: 'changeConfiguration', change: KEYED_SERVICE});
    apply(assignAllKeys({incarnation: 't/1', daemonAddress: 'a:1'}));
    control.start();
    await control.report(report({forwardAddress: 'b:1', target: target({life: 'u/1'})}));
    const ended = target({state: 'ended', mayHoldKeys: false});
    await control.report(report({leaderTerm: TERM - 1, target: ended}));
    await clock.advance(300);
    assert.equal(state.rangesOf('wallboard')[0]?.ownerLife, 't/1');
    await control.report(report({leaderTerm: TERM, target: ended}));
    await clock.advance(300);
    await control.stop();
    assert.equal(state.rangesOf('wallboard')[0]?.ownerLife, 'u/1');
  });

  it('sends only the moved range regardless of the number of ranges and the term', async () => {
    const {control, report, state, apply} = startControl();
    apply({kind: 'assignKeys', service: 'wallboard', assignments: stripes(500)});
    const first = await control.report(report({}));
    assert.equal(first.ranges[0]?.[1].length, 500);
    apply({
      kind: 'assignKeys',
      service: 'wallboard',
      assignments: [
        {fromKey: 5, toKey: 9, ownerLife: 'new/1', handover: 'h', previousOwnerLife: 't/0'},
      ],
    });
    const {rangesIndex} = first;
    const moved = await control.report(report({rangesIndex, leaderTerm: 3}));
    assert.deepEqual(
      moved.ranges.map(([service, ranges]) => [service, ranges.map(({ownerLife}) => ownerLife)]),
      [['wallboard', ['new/1']]],
    );
    assert.deepEqual(
      replaceOverlappingRanges(first.ranges[0]![1], moved.ranges[0]![1]),
      state.rangesOf('wallboard').filter(({ownerLife}) => ownerLife !== ''),
    );
    const same = await control.report(report({rangesIndex: moved.rangesIndex}));
    assert.deepEqual(same.ranges, []);
  });

  it('batches concurrent changes into one response to a waiting daemon', async () => {
    const {control, report, apply} = startControl();
    const {leaderTerm, directoryRevision} = await control.report(report({target: target({})}));
    const knownState = {leaderTerm, directoryRevision, target: target({})};
    const waiting = control.report(report({...knownState, waitMs: 2_000}));
    await new Promise((resolve) => setImmediate(resolve));
    for (const incarnation of ['u/1', 'v/1', 'w/1']) {
      const forwardAddress = `${incarnation}:1`;
      await control.report(report({forwardAddress, target: target({life: incarnation})}));
      apply({kind: 'assignKeys', service: incarnation, assignments: stripes(1)});
    }
    const response = await waiting;
    assert.equal(response.instances.length, 3);
    assert.equal(response.ranges.length, 3);
  });

  // Guards against keys that stay with, or go to, a target to which nothing may be sent.
  it('gives the keys of an evacuated target to others as soon as it holds none', async () => {
    const {control, report, state, clock, apply} = startControl();
    apply({kind: 'changeConfiguration', change: KEYED_SERVICE});
    apply(assignAllKeys({incarnation: 't/1', daemonAddress: 'a:1'}));
    const owners = (): string[] => [
      ...new Set(state.rangesOf('wallboard').map(({ownerLife}) => ownerLife)),
    ];
    const other = report({
      forwardAddress: 'b:1',
      availabilityZone: 'b',
      target: target({targetId: 'u', life: 'u/1'}),
    });
    const evacuate = (isEvacuated: boolean, digest: string) =>
      control.changeEvacuation({availabilityZone: 'a', isEvacuated, digest});
    control.start();
    await control.report(report({target: target({})}));
    await control.report(other);
    await evacuate(true, 'd1');
    const evacuationIndex = state.evacuationIndex;
    // The daemon may still grant keys until it knows of the evacuation.
    const unaware = report({evacuationIndex: 0, target: target({mayHoldKeys: false})});
    const response = await control.report(unaware);
    assert.deepEqual(response.evacuation, {index: evacuationIndex, zones: ['a']});
    assert.ok(response.leaseMs > 0);
    await clock.advance(300);
    assert.deepEqual(owners(), ['t/1']);
    const aware = report({
      leaderTerm: TERM,
      evacuationIndex,
      target: target({mayHoldKeys: false}),
    });
    assert.equal((await control.report(aware)).leaseMs, 0);
    await clock.advance(300);
    assert.deepEqual(owners(), ['u/1']);
    await evacuate(false, 'd2');
    // A report of the evacuation that arrives late must not end the lease of the returned target.
    assert.ok((await control.report(aware)).leaseMs > 0);
    await control.stop();
  });

  it('tells a daemon of evacuated zones once, also one that knows those of an earlier leader', async () => {
    const {control, report} = startControl();
    assert.equal((await control.report(report({evacuationIndex: 0}))).evacuation, undefined);
    await control.changeEvacuation({availabilityZone: 'a', isEvacuated: true, digest: 'd'});
    const evacuationOf = async (evacuationIndex: number) =>
      (await control.report(report({evacuationIndex, leaderTerm: 3}))).evacuation;
    assert.deepEqual(await evacuationOf(0), {index: 1, zones: ['a']});
    assert.equal(await evacuationOf(1), undefined);
  });

  it('rejects reports while another leader may have been elected', async () => {
    const {control, report, leader} = startControl();
    leader.leaseValid = false;
    await assert.rejects(control.report(report({})), {code: 'NOT_LEADER'});
  });
});

const KEYED_SERVICE: ConfigurationChange = {
  digest: 'd',
  version: 1,
  baseVersion: 0,
  change: {
    kind: 'replace',
    configuration: {
      version: 1,
      routes: [],
      services: [{name: 'wallboard', keyed: true, maxConnections: 8, extras: {}}],
      limits: {
        maxHeaderBytes: 1_000,
        maxBodyBytes: 1_000,
        headerTimeoutMs: 1_000,
        idleTimeoutMs: 1_000,
        extras: {},
      },
    },
  },
};

function assignAllKeys({
  incarnation,
  daemonAddress,
}: {
  incarnation: string;
  daemonAddress: string;
}): SiteCommand {
  const all = {fromKey: 0, toKey: 65_535, handover: '', previousOwnerLife: ''};
  return {
    kind: 'assignKeys',
    service: 'wallboard',
    assignments: [{...all, ownerLife: incarnation}],
    homes: {[incarnation]: daemonAddress},
  };
}

/** Stripes of ten keys, each with its own owner. */
function stripes(count: number): KeyAssignment[] {
  return Array.from({length: count}, (_, index) => ({
    fromKey: index * 10,
    toKey: index * 10 + 9,
    ownerLife: `t/${index}`,
    handover: '',
    previousOwnerLife: '',
  }));
}

function startControl() {
  let index = 0;
  const applyPayload = (payload: Uint8Array): {index: number; result: unknown} => {
    index += 1;
    return {index, result: state.apply({index, term: TERM, kind: 'command', payload})};
  };
  const leader = {leaseValid: true};
  const replica = {
    replicaId: 'r',
    term: TERM,
    isLeader: () => true,
    isLeaderLeaseValid: () => leader.leaseValid,
    onRoleChange: () => () => undefined,
    propose: (payload: Uint8Array) => Promise.resolve(applyPayload(payload)),
    status: () => ({members: {voters: ['r'], learners: [], addresses: {r: 'r:1'}}}),
  } as unknown as Replica;
  const state = new SiteState();
  const clock = new ManualClock();
  const control = new SiteControl({
    replica,
    state,
    clock,
    logger: silentLogger,
  });
  const report = (fields: Partial<ReportRequest>): ReportRequest => ({
    forwardAddress: 'a:1',
    availabilityZone: 'a',
    configVersion: 0,
    leaderTerm: 0,
    directoryRevision: 0,
    rangesIndex: 0,
    waitMs: 0,
    endedLives: [],
    released: [],
    stopping: false,
    ...fields,
  });
  const apply = (command: SiteCommand): unknown => applyPayload(encodeCommand(command)).result;
  return {control, report, leader, state, clock, apply};
}

function target(fields: Partial<ReportedTarget>): ReportedTarget {
  return {
    targetId: 't',
    life: 't/1',
    service: 'wallboard',
    state: 'ready',
    slots: 4,
    coldLeftMs: 0,
    mayHoldKeys: true,
    offeredRps: 0,
    meanMs: 50,
    ...fields,
  };
}

function demandOf(busySlots: number): NonNullable<ReportRequest['demand']> {
  return {
    busySlots,
    usableSlots: 8,
    gate: [
      [0, 20, 3, 0],
      [2, 1, 1, 0.5],
    ],
    entries: [['wallboard', [[0, 50, 5]]]],
  };
}
