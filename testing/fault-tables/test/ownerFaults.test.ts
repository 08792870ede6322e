import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {
  KEYS,
  findOwner,
  runFaultTable,
  SERVICE,
  SETTLE_MS,
  startScenario,
} from '@medlarlane/fault-tables';

runFaultTable([
  {
    title: 'an owner is killed while its target stays alive',
    injectFault: async ({servers}) => {
      servers[0]!.daemon.kill('SIGKILL');
      await delay(SETTLE_MS);
    },
    survivors: 2,
  },
  {
    title: 'an owner is frozen until its lease has expired and is resumed',
    injectFault: async ({servers}) => {
      servers[0]!.daemon.kill('SIGSTOP');
      await delay(SETTLE_MS);
      servers[0]!.daemon.kill('SIGCONT');
      await delay(SETTLE_MS);
    },
    survivors: 3,
  },
  {
    title: 'two owners are killed, the second while the first is being replaced',
    injectFault: async ({servers}) => {
      servers[0]!.daemon.kill('SIGKILL');
      await delay(700);
      servers[1]!.daemon.kill('SIGKILL');
      await delay(SETTLE_MS);
    },
    survivors: 1,
  },
]);

test('A request accepted by a frozen daemon does not reach the target after the key was reassigned', async () => {
  const scenario = await startScenario();
  try {
    const key = KEYS[0]!;
    const owner = await findOwner(scenario, key);
    const before = await fetchRuns(owner.target.ready.listening);
    // The kernel accepts the connection of a frozen daemon, which reads the request when resumed.
    owner.daemon.kill('SIGSTOP');
    const lateRequest = request(`http://${owner.daemon.ready.caller}/walls/${key}`, {
      headers: {'medlarlane-service': SERVICE},
    });
    await delay(SETTLE_MS);
    owner.daemon.kill('SIGCONT');
    const {statusCode, body} = await lateRequest;
    const response = (await body.json()) as {target?: string};
    assert.notEqual(response.target, owner.name, 'the previous owner served the key');
    assert.equal(await fetchRuns(owner.target.ready.listening), before);
    assert.ok([200, 421, 503].includes(statusCode), `status ${statusCode}`);
  } finally {
    await scenario.dispose();
  }
});

async function fetchRuns(target: string): Promise<number> {
  const {body} = await request(`http://${target}/stats`);
  return ((await body.json()) as {runs: number}).runs;
}
