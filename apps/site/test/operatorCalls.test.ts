import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {TestContext} from 'node:test';
import type {SiteControlProcess} from '@medlarlane/site';
import {startControlGroup} from './controlGroup.js';

const EVACUATE = {availabilityZone: 'a', isEvacuated: true};
const RESTORE = {availabilityZone: 'a', isEvacuated: false};
const WAITING = {signal: new AbortController().signal};

// Guards against the case review/13: a control process that woke up carried out a call that its operator had given up
// seconds before, and undid a newer one.
describe('Evacuation calls of operators', () => {
  it('are not carried out once the operator has left, at leaders and followers', async (test) => {
    for (const process of await startReplicas(test)) {
      const {configurationService} = process;
      assert.equal(
        (await configurationService.changeEvacuation(EVACUATE, WAITING)).kind,
        'accepted',
      );
      const late = configurationService.changeEvacuation(RESTORE, {signal: AbortSignal.abort()});
      await assert.rejects(late, {code: 'CANCELLED'});
      // The operator leaves while the call is under way.
      const leaving = configurationService.changeEvacuation(RESTORE, {
        signal: AbortSignal.timeout(10),
      });
      await assert.rejects(leaving, {code: 'CANCELLED'});
      assert.deepEqual([...process.state.evacuatedZones.keys()], ['a']);
    }
  });

  it('are all carried out when operators send them at the same time', async (test) => {
    const processes = await startReplicas(test);
    const zones = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
    const outcomes = await Promise.all(
      zones.map((availabilityZone, index) =>
        processes[index % processes.length]!.configurationService.changeEvacuation(
          {availabilityZone, isEvacuated: true},
          WAITING,
        ),
      ),
    );
    assert.ok(outcomes.every(({kind}) => kind === 'accepted'));
    const leader = processes.find(({replica}) => replica.isLeader())!;
    assert.deepEqual([...leader.state.evacuatedZones.keys()].sort(), zones);
  });
});

/** Starts three replicas; returns the leader and a follower. */
async function startReplicas(test: TestContext): Promise<SiteControlProcess[]> {
  const group = await startControlGroup(test, {count: 3, lossesTolerated: 1});
  const leader = await group.leader();
  const follower = [...group.running.values()].find((process) => process !== leader)!;
  return [leader, follower];
}
