import {test} from 'node:test';
import {startGroup} from './replicaGroup.js';
import type {ReplicaGroup} from './replicaGroup.js';

const SEEDS = Array.from({length: 24}, (_, i) => 1_000 + i);
const STEPS_PER_RUN = 60;

for (const seed of SEEDS) {
  const ids = seed % 3 === 0 ? ['a', 'b', 'c', 'd', 'e'] : ['a', 'b', 'c'];
  test(`Random faults with seed ${seed} lose and reorder nothing on ${ids.length} replicas`, async (t) => {
    const group = startGroup(t, ids, {seed, snapshotEveryEntries: 40});
    await group.leader();
    let clientsRun = true;
    const clients = [0, 1, 2].map((client) => runClient(group, client, () => clientsRun));
    for (let step = 0; step < STEPS_PER_RUN; step++) {
      strike(group, ids);
      await group.run(20 + group.random() * 400);
    }
    group.network.heal();
    group.network.lossRate = 0;
    for (const id of ids) {
      if (!group.running.has(id)) group.start(id);
      group.get(id).clock.resume();
    }
    clientsRun = false;
    await group.settle(Promise.all(clients));
    await group.settle(group.propose(await group.leader(), 'last'));
    await group.agree();
  });
}

function strike(group: ReplicaGroup, ids: readonly string[]): void {
  const pick = (): string => ids[Math.floor(group.random() * ids.length)]!;
  const id = pick();
  const found = group.running.get(id);
  const faults: ReadonlyArray<() => void> = [
    () => group.network.isolate(id),
    () => group.network.cutOneWay(id, pick()),
    () => group.network.cut(id, pick()),
    () => group.network.heal(),
    () => group.network.heal(),
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

/** Proposes numbered commands, each once, to whichever replica claims to lead, and reads back. */
async function runClient(group: ReplicaGroup, client: number, runs: () => boolean): Promise<void> {
  for (let i = 0; runs(); i++) {
    await group.clock.sleep(5 + group.random() * 40);
    const leader = [...group.running.values()].find(({replica}) => replica.isLeader());
    if (!leader) continue;
    await group.propose(leader, `client ${client} command ${i}`);
    await readBack(group, client);
  }
}

/** A read after a barrier sees every command that was acknowledged before it began. */
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
