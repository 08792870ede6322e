import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {KEYS, findOwner, SERVICE, startScenario} from '@medlarlane/fault-tables';
import type {Scenario} from '@medlarlane/fault-tables';
import {callAdmin, eventually, startTraffic, fetchTargetStats} from '@medlarlane/fixtures';

interface Row {
  readonly title: string;
  readonly stop: (scenario: Scenario) => Promise<void>;
}

const TEST_OPTIONS = {timeout: 180_000};
const SERVER_COUNT = 3;
const TRAFFIC_BEFORE_STOP_MS = 500;
const TRAFFIC_AFTER_STOP_MS = 500;
// Time after which a draining target receives no new requests.
const LAST_REQUEST_AFTER_MS = 3000;

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
    title: 'a target is stopped',
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
        const newDaemon = await cluster.startDaemon({instanceId: name});
        await cluster.startTarget(newDaemon, {service: SERVICE, name, flags: ['--delay-ms=20']});
        await waitUntilSettled(admin);
      }
    },
  },
];

for (const splitByKey of [true, false]) {
  const kind = splitByKey ? 'split by key' : 'not split by key';
  for (const {title, stop} of ROWS) {
    void test(`No request of a service ${kind} fails when ${title}`, TEST_OPTIONS, async () => {
      const scenario = await startScenario({
        replicaCount: 1,
        serverCount: SERVER_COUNT,
        document: {splitByKey},
        targetFlags: ['--delay-ms=20'],
      });
      try {
        // The observer is the only entry daemon, because a stopped daemon accepts no connections.
        const entryAddresses = scenario.entryAddresses().slice(0, 1);
        // The owner rejects ids that are older than its ownership plus the clock skew.
        await delay(1000);
        const traffic = startTraffic({
          service: SERVICE,
          entryAddresses: () => entryAddresses,
          keys: KEYS,
          withPosts: true,
          deadlineMs: 10_000,
        });
        await delay(TRAFFIC_BEFORE_STOP_MS);
        await stop(scenario);
        await delay(TRAFFIC_AFTER_STOP_MS);
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
  'A draining target finishes a long request and receives no new requests after 3 s',
  TEST_OPTIONS,
  async () => {
    const scenario = await startScenario({
      replicaCount: 1,
      serverCount: 2,
      targetFlags: ['--allow-faults'],
    });
    try {
      const entryAddresses = scenario.entryAddresses().slice(0, 1);
      const {target} = await findOwner(scenario, KEYS[0]!);
      // Requests for the range of the long request wait until it completes; no others may wait.
      const keys = await findDistantKeys(KEYS[0]!, scenario.admin);
      const traffic = startTraffic({service: SERVICE, entryAddresses: () => entryAddresses, keys});
      const longRequest = request(`http://${entryAddresses[0]}/walls/${KEYS[0]}`, {
        headers: {'medlarlane-service': SERVICE, 'medlarlane-fault': 'delay=6000'},
      });
      await delay(TRAFFIC_BEFORE_STOP_MS);
      target.kill('SIGTERM');
      await delay(LAST_REQUEST_AFTER_MS);
      const {runs, inFlight} = await fetchTargetStats(target.ready.listening);
      assert.ok(inFlight > 0, 'the long request completed too early');
      const {statusCode, body} = await longRequest;
      const responseBody = (await body.json()) as {target: string};
      assert.equal(statusCode, 200);
      assert.equal(responseBody.target, target.ready.name);
      const statsAfterwards = await fetchTargetStats(target.ready.listening).catch(() => undefined);
      if (statsAfterwards) assert.equal(statsAfterwards.runs, runs);
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

/** Waits until every server has a session, and no range is unowned or being moved. */
async function waitUntilSettled(admin: string): Promise<void> {
  await eventually('sessions of all servers without moves', async () => {
    const {services} = await callAdmin(admin, 'status', {});
    const service = services.find((candidate) => candidate.service === SERVICE);
    if (!service || service.sessionCount < SERVER_COUNT) return false;
    return service.movingRangeCount === 0 && service.unownedRangeCount === 0;
  });
}

/** Returns the keys whose distance from `key` exceeds the width of any range in the scenario. */
async function findDistantKeys(key: string, admin: string): Promise<string[]> {
  const positionOf = async (candidate: string): Promise<number> =>
    (await callAdmin(admin, 'locateKey', {service: SERVICE, key: candidate})).position;
  const position = await positionOf(key);
  const isDistant = await Promise.all(
    KEYS.map(async (candidate) => Math.abs((await positionOf(candidate)) - position) > 2 ** 53 / 8),
  );
  return KEYS.filter((_, index) => isDistant[index]);
}
