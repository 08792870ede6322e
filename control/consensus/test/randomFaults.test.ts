import {test} from 'node:test';
import {startGroup} from './replicaGroup.js';
import type {ReplicaGroup} from './replicaGroup.js';

const SEEDS = Array.from({length: 24}, (_, i) => 1_000 + i);
const STEPS_PER_RUN = 60;

for (const seed of SEEDS) {
  const ids = seed % 3 === 0 ? ['a', 'b', 'c', 'd', 'e'] : ['a', 'b', 'c'];
  test(`Random faults with seed ${seed} lose and reorder no command on ${ids.length} replicas`, async (t) => {
    const group = startGroup(t, ids, {seed, snapshotEveryEntries: 40});
    await group.leader();
    let areClientsRunning = true;
    const clients = [0, 1, 2].map((client) => runClient(group, client, () => areClientsRunning));
    for (let step = 0; step < STEPS_PER_RUN; step++) {
      injectFault(group, ids);
      await group.run(20 + group.random() * 400);
    }
    group.network.restoreLinks();
    group.network.lossRate = 0;
    for (const id of ids) {
      if (!group.running.has(id)) group.start(id);
      group.get(id).clock.resume();
    }
    areClientsRunning = false;
    await group.runUntilSettled(Promise.all(clients));
    await group.runUntilSettled(group.propose(await group.leader(), 'last'));
    await group.assertAgreement();
  });
}

function injectFault(group: ReplicaGroup, ids: readonly string[]): void {
  const pickReplica = (): string => ids[Math.floor(group.random() * ids.length)]!;
  const id = pickReplica();
  const found = group.running.get(id);
  const faults: ReadonlyArray<() => void> = [
    () => group.network.isolate(id),
    () => group.network.cutOneWay(id, pickReplica()),
    () => group.network.cut(id, pickReplica()),
    () => group.network.restoreLinks(),
    () => group.network.restoreLinks(),
    () => (group.network.lossRate = group.random() * 0.3),
    () => (group.network.lossRate = 0),
    () => {
      const maxMs = group.random() * 60;
      group.network.delayMs = () => group.random() * maxMs;
    },
    () => (found ? group.kill(id) : group.start(id)),
    () => (found ? group.kill(id) : group.start(id)),
    () => found?.clock.freeze(),
    () => found?.clock.resume(),
    () => ids.forEach((other) => group.running.has(other) || group.start(other)),
  ];
  faults[Math.floor(group.random() * faults.length)]!();
}

/**
 * Proposes numbered commands once each to any replica that claims to be leader, and reads them
 * back.
 */
async function runClient(
  group: ReplicaGroup,
  client: number,
  isRunning: () => boolean,
): Promise<void> {
  for (let i = 0; isRunning(); i++) {
    await group.clock.sleep(5 + group.random() * 40);
    const leader = [...group.running.values()].find(({replica}) => replica.isLeader());
    if (!leader) continue;
    await group.propose(leader, `client ${client} command ${i}`);
    await readBack(group, client);
  }
}

/**
 * Checks that a read after a barrier returns every command acknowledged before the barrier started.
 */
async function readBack(group: ReplicaGroup, client: number): Promise<void> {
  for (const {id, replica, list} of [...group.running.values()]) {
    const known = Math.max(0, ...group.acknowledged.values());
    const read = await replica.readBarrier().then(
      () => true,
      () => false,
    );
    if (read && list.commands.length < known) {
      throw new Error(`Client ${client} read ${list.commands.length} of ${known} from ${id}`);
    }
  }
}
