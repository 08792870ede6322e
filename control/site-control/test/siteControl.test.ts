import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {Replica} from '@medlarlane/consensus';
import {ManualClock} from '@medlarlane/lifecycle';
import {silentLogger} from '@medlarlane/logger';
import {SiteControl} from '@medlarlane/site-control';
import type {ReportedTarget, ReportRequest} from '@medlarlane/site-control';
import {SiteState} from '@medlarlane/site-state';

describe('The control leader', () => {
  it('keeps an instance in the directory while its daemon restarts', async () => {
    const {control, report} = startControl();
    await control.report(report({target: target({})}));
    const answer = await control.report(report({}));
    assert.deepEqual(
      answer.instances.map(({life}) => life),
      ['t/1'],
    );
  });

  it('leases the keys of a target that may hold some, and of no other', async () => {
    const {control, report} = startControl();
    const leaseOf = async (fields: Partial<ReportedTarget>): Promise<boolean> =>
      (await control.report(report({target: target(fields)}))).leaseMs > 0;
    assert.equal(await leaseOf({state: 'ready', mayHoldKeys: false}), true);
    assert.equal(await leaseOf({state: 'draining', mayHoldKeys: true}), true);
    assert.equal(await leaseOf({state: 'draining', mayHoldKeys: false}), false);
    assert.equal(await leaseOf({state: 'silent', mayHoldKeys: false}), false);
    assert.equal(await leaseOf({state: 'ended', mayHoldKeys: true}), false);
  });

  it('sends only what changed since the last answer of the same term', async () => {
    const {control, report} = startControl();
    const first = await control.report(report({target: target({})}));
    assert.equal(first.full, true);
    const {directoryRevision, leaderTerm} = first;
    const known = {directoryRevision, leaderTerm};
    const same = await control.report(report({...known, target: target({})}));
    assert.deepEqual([same.full, same.instances], [false, []]);
    const changed = await control.report(report({...known, target: target({state: 'draining'})}));
    assert.deepEqual(
      changed.instances.map(({state}) => state),
      ['draining'],
    );
  });

  it('answers nobody while another leader may have been elected', async () => {
    const {control, report, leader} = startControl();
    leader.leaseValid = false;
    await assert.rejects(control.report(report({})), {code: 'NOT_LEADER'});
  });
});

function startControl() {
  const leader = {leaseValid: true};
  const replica = {
    replicaId: 'r',
    term: 4,
    isLeader: () => true,
    leaderLeaseValid: () => leader.leaseValid,
    onRoleChange: () => () => undefined,
    status: () => ({members: {voters: ['r'], learners: [], addresses: {r: 'r:1'}}}),
  } as unknown as Replica;
  const control = new SiteControl({
    replica,
    state: new SiteState(),
    clock: new ManualClock(),
    logger: silentLogger,
  });
  const report = (fields: Partial<ReportRequest>): ReportRequest => ({
    forwardAddress: 'a:1',
    availabilityZone: 'a',
    configVersion: 0,
    leaderTerm: 0,
    directoryRevision: 0,
    waitMs: 0,
    endedLives: [],
    released: [],
    stopping: false,
    ...fields,
  });
  return {control, report, leader};
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
