import assert from 'node:assert/strict';
import {test} from 'node:test';
import {request} from 'undici';
import {v7 as createId} from 'uuid';
import {SERVICE, startScenario} from '@medlarlane/fault-tables';
import type {Scenario} from '@medlarlane/fault-tables';
import {callAdmin, eventually, targetStats} from '@medlarlane/fixtures';

const LIMIT = {timeout: 120_000};
const SERVERS = 4;
const CRASHES_UNTIL_QUARANTINE = 2;

void test(
  'A request that crashes its targets is quarantined after two crashes at every daemon',
  LIMIT,
  async () => {
    const scenario = await startScenario({
      replicaCount: 1,
      serverCount: SERVERS,
      targetFlags: ['--allow-faults'],
    });
    try {
      const path = `/walls/${createId()}`;
      for (const entry of scenario.entries()) {
        // The first resends crash targets; afterwards the quarantine must reach each daemon.
        await eventually('the quarantine', async () => {
          const {code, ran} = await get(entry, path, {'medlarlane-fault': 'crash'});
          return code === 'POISON_REQUEST' && ran === 'no';
        });
      }
      assert.equal(await aliveCount(scenario), SERVERS - CRASHES_UNTIL_QUARANTINE);
      const {poison} = await callAdmin(scenario.admin, 'status', {});
      assert.deepEqual(
        poison.map(({service, crashes}) => ({service, crashes})),
        [{service: SERVICE, crashes: CRASHES_UNTIL_QUARANTINE}],
      );
      const other = await get(scenario.entries()[0]!, `/walls/${createId()}`);
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

async function aliveCount({servers}: Scenario): Promise<number> {
  const alive = await Promise.all(
    servers.map(({target}) =>
      targetStats(target.ready.listening).then(
        () => true,
        () => false,
      ),
    ),
  );
  return alive.filter(Boolean).length;
}
