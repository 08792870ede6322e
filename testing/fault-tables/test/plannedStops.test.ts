import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {KEYS, ownerOf, SERVICE, startScenario} from '@medlarlane/fault-tables';
import type {Scenario} from '@medlarlane/fault-tables';
import {callAdmin, eventually, startTraffic, targetStats} from '@medlarlane/fixtures';

interface Row {
  readonly title: string;
  readonly stop: (scenario: Scenario) => Promise<void>;
}

const LIMIT = {timeout: 180_000};
const SERVER_COUNT = 3;
const BEFORE_MS = 500;
const AFTER_MS = 500;
// A leaving target receives no new work after this time.
const NO_NEW_WORK_MS = 3000;

const ROWS: readonly Row[] = [
  {
    title: 'a daemon is stopped',
    stop: async ({servers}) => {
      const {daemon} = servers[0]!;
      daemon.kill('SIGTERM');
      assert.equal(await daemon.exited, 0);
    },
  },
  {
    title: 'a target withdraws',
    stop: async ({servers}) => {
      const {target} = servers[0]!;
      target.kill('SIGTERM');
      assert.equal(await target.exited, 0);
    },
  },
  {
    title: 'all servers are restarted one after the other',
    stop: async ({servers, cluster, admin}) => {
      for (const {name, daemon, target} of servers) {
        daemon.kill('SIGTERM');
        assert.equal(await daemon.exited, 0);
        await target.end();
        const successor = await cluster.startDaemon({instanceId: name});
        await cluster.startTarget(successor, {service: SERVICE, name, flags: ['--delay-ms=20']});
        await waitUntilAtRest(admin);
      }
    },
  },
];

for (const splitByKey of [true, false]) {
  const kind = splitByKey ? 'split by key' : 'not split by key';
  for (const {title, stop} of ROWS) {
    void test(`No request of a service ${kind} fails when ${title}`, LIMIT, async () => {
      const scenario = await startScenario({
        replicaCount: 1,
        serverCount: SERVER_COUNT,
        document: {splitByKey},
        targetFlags: ['--delay-ms=20'],
      });
      try {
        // The observer is the only entry, because a stopped daemon takes no connections.
        const entries = scenario.entries().slice(0, 1);
        // Ids that are older than the ownership plus the clock skew are refused.
        await delay(1000);
        const traffic = startTraffic({
          service: SERVICE,
          entries: () => entries,
          keys: KEYS,
          withPosts: true,
          deadlineMs: 10_000,
        });
        await delay(BEFORE_MS);
        await stop(scenario);
        await delay(AFTER_MS);
        const records = await traffic.stop();
        assert.deepEqual(
          records.filter(({status}) => status !== 200),
          [],
        );
      } finally {
        await scenario.dispose();
      }
    });
  }
}

void test(
  'A leaving target finishes a long request and receives no new work after 3 s',
  LIMIT,
  async () => {
    const scenario = await startScenario({
      replicaCount: 1,
      serverCount: 2,
      targetFlags: ['--allow-faults'],
    });
    try {
      const entries = scenario.entries().slice(0, 1);
      const {target} = await ownerOf(scenario, KEYS[0]!);
      // Requests for the range of the long request wait for its end; all others must not.
      const keys = await keysFarFrom(KEYS[0]!, scenario.admin);
      const traffic = startTraffic({service: SERVICE, entries: () => entries, keys});
      const long = request(`http://${entries[0]}/walls/${KEYS[0]}`, {
        headers: {'medlarlane-service': SERVICE, 'medlarlane-fault': 'delay=6000'},
      });
      await delay(BEFORE_MS);
      target.kill('SIGTERM');
      await delay(NO_NEW_WORK_MS);
      const {runs, inFlight} = await targetStats(target.ready.listening);
      assert.ok(inFlight > 0, 'the long request has ended before the comparison');
      const {statusCode, body} = await long;
      const answer = (await body.json()) as {target: string};
      assert.equal(statusCode, 200);
      assert.equal(answer.target, target.ready.name);
      const later = await targetStats(target.ready.listening).catch(() => undefined);
      if (later) assert.equal(later.runs, runs);
      const records = await traffic.stop();
      assert.deepEqual(
        records.filter(({status}) => status !== 200),
        [],
      );
      assert.equal(await target.exited, 0);
    } finally {
      await scenario.dispose();
    }
  },
);

/** Waits until every server has a session and no range is being moved. */
async function waitUntilAtRest(admin: string): Promise<void> {
  await eventually('all servers and no move', async () => {
    const {services} = await callAdmin(admin, 'status', {});
    const service = services.find((one) => one.service === SERVICE);
    if (!service || service.sessionCount < SERVER_COUNT) return false;
    return service.movingRangeCount === 0 && service.unownedRangeCount === 0;
  });
}

/** Keys whose positions are farther from that of `key` than any range of the scenario is wide. */
async function keysFarFrom(key: string, admin: string): Promise<string[]> {
  const positionOf = async (one: string): Promise<number> =>
    (await callAdmin(admin, 'locateKey', {service: SERVICE, key: one})).position;
  const position = await positionOf(key);
  const far = await Promise.all(
    KEYS.map(async (one) => Math.abs((await positionOf(one)) - position) > 2 ** 53 / 8),
  );
  return KEYS.filter((_, index) => far[index]);
}
