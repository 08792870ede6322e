import assert from 'node:assert/strict';
import {test} from 'node:test';
import {request} from 'undici';
import {v7 as createId} from 'uuid';
import {SERVICE, startScenario} from '@medlarlane/fault-tables';
import type {Scenario} from '@medlarlane/fault-tables';
import {callAdmin, eventually, fetchTargetStats} from '@medlarlane/fixtures';

const TEST_OPTIONS = {timeout: 120_000};
const SERVER_COUNT = 4;
const CRASHES_UNTIL_QUARANTINE = 2;

void test(
  'A request that crashes its targets is quarantined at every daemon after two crashes',
  TEST_OPTIONS,
  async () => {
    const scenario = await startScenario({
      replicaCount: 1,
      serverCount: SERVER_COUNT,
      targetFlags: ['--allow-faults'],
    });
    try {
      const path = `/walls/${createId()}`;
      for (const entry of scenario.entryAddresses()) {
        // The first attempts crash targets. The quarantine must then reach each daemon.
        await eventually('the request to be quarantined', async () => {
          const {code, ran} = await get(entry, path, {'medlarlane-fault': 'crash'});
          return code === 'POISON_REQUEST' && ran === 'no';
        });
      }
      assert.equal(await countLiveTargets(scenario), SERVER_COUNT - CRASHES_UNTIL_QUARANTINE);
      const {poison} = await callAdmin(scenario.admin, 'status', {});
      assert.deepEqual(
        poison.map(({service, crashes}) => ({service, crashes})),
        [{service: SERVICE, crashes: CRASHES_UNTIL_QUARANTINE}],
      );
      const other = await get(scenario.entryAddresses()[0]!, `/walls/${createId()}`);
      assert.equal(other.status, 200);
    } finally {
      await scenario.dispose();
    }
  },
);

async function get(
  entry: string,
  path: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<{status: number; code: string; ran: string}> {
  const response = await request(`http://${entry}${path}`, {
    headers: {'medlarlane-service': SERVICE, ...headers},
  });
  await response.body.dump();
  return {
    status: response.statusCode,
    code: String(response.headers['medlarlane-code'] ?? ''),
    ran: String(response.headers['medlarlane-ran'] ?? ''),
  };
}

async function countLiveTargets({servers}: Scenario): Promise<number> {
  const isAlive = await Promise.all(
    servers.map(({target}) =>
      fetchTargetStats(target.ready.listening).then(
        () => true,
        () => false,
      ),
    ),
  );
  return isAlive.filter(Boolean).length;
}
