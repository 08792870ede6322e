import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {
  KEYS,
  ownerOf,
  runFaultTable,
  SERVICE,
  SETTLE_MS,
  startScenario,
} from '@medlarlane/fault-tables';

runFaultTable([
  {
    title: 'an owner is killed with its target alive',
    strike: async ({servers}) => {
      servers[0]!.daemon.kill('SIGKILL');
      await delay(SETTLE_MS);
    },
    survivors: 2,
  },
  {
    title: 'an owner is frozen beyond its lease and resumed',
    strike: async ({servers}) => {
      servers[0]!.daemon.kill('SIGSTOP');
      await delay(SETTLE_MS);
      servers[0]!.daemon.kill('SIGCONT');
      await delay(SETTLE_MS);
    },
    survivors: 3,
  },
  {
    title: 'two owners are killed, the second while the first is being replaced',
    strike: async ({servers}) => {
      servers[0]!.daemon.kill('SIGKILL');
      await delay(700);
      servers[1]!.daemon.kill('SIGKILL');
      await delay(SETTLE_MS);
    },
    survivors: 1,
  },
]);

test('A request that its frozen daemon had accepted does not reach the target after the key moved', async () => {
  const scenario = await startScenario();
  try {
    const key = KEYS[0]!;
    const owner = await ownerOf(scenario, key);
    const before = await runsOf(owner.target.ready.listening);
    // Frozen with the connection open: the daemon reads the request only after it is resumed.
    owner.daemon.kill('SIGSTOP');
    const late = request(`http://${owner.daemon.ready.caller}/walls/${key}`, {
      headers: {'medlarlane-service': SERVICE},
    });
    await delay(SETTLE_MS);
    owner.daemon.kill('SIGCONT');
    const {statusCode, body} = await late;
    const answer = (await body.json()) as {target?: string};
    assert.notEqual(answer.target, owner.name, 'the old owner served the key');
    assert.equal(await runsOf(owner.target.ready.listening), before);
    assert.ok([200, 421, 503].includes(statusCode), `status ${statusCode}`);
  } finally {
    await scenario.dispose();
  }
});

async function runsOf(target: string): Promise<number> {
  const {body} = await request(`http://${target}/stats`);
  return ((await body.json()) as {runs: number}).runs;
}
