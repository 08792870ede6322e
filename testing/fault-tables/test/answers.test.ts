import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {Agent, request} from 'undici';
import {v7 as createId} from 'uuid';
import {SERVICE, startScenario} from '@medlarlane/fault-tables';
import {startLinkRelay} from '@medlarlane/fixtures';

const REQUESTS = 1500;
const WORKERS = 40;
const CONNECTIONS = 6;
const LIMIT = {timeout: 120_000};
const SEED = 20_261;

interface Outcome {
  readonly status: number;
  /** Path that the answer names; empty for a refusal or a failed connection. */
  readonly answered: string;
  readonly path: string;
}

void test(
  'Every answer belongs to its request when callers give up, time out and lose their links',
  LIMIT,
  async () => {
    const scenario = await startScenario({replicaCount: 1, targetFlags: ['--allow-faults']});
    const [host, port] = scenario.entries()[0]!.split(':');
    const relay = await startLinkRelay({serverHost: host!, serverPort: Number(port)});
    const agent = new Agent({connections: CONNECTIONS});
    const random = randomBelow(SEED);
    const outcomes: Outcome[] = [];
    let isDone = false;
    const cutting = (async () => {
      while (!isDone) {
        const direction = random(2) === 0 ? 'toServer' : 'toClient';
        await delay(random(100));
        relay.cut('127.0.0.1', direction);
        await delay(random(40));
        relay.restore('127.0.0.1', direction);
      }
    })();
    try {
      let sent = 0;
      const worker = async (): Promise<void> => {
        while (sent < REQUESTS) {
          sent += 1;
          outcomes.push(await sendOne(relay.address, agent, random));
        }
      };
      await Promise.all(Array.from({length: WORKERS}, worker));
      const wrong = outcomes.filter(
        ({status, answered, path}) => status === 200 && answered !== path,
      );
      assert.deepEqual(wrong, []);
      const statuses = new Set(outcomes.map(({status}) => status));
      // Without each kind of ending the check above would prove little.
      for (const status of [200, 504, 0]) assert.ok(statuses.has(status), `no status ${status}`);
    } finally {
      isDone = true;
      await cutting;
      await agent.destroy();
      await relay.close();
      await scenario.dispose();
    }
  },
);

/** Sends a request with a key of its own that is slow, late, given up or cut, at random. */
async function sendOne(
  address: string,
  agent: Agent,
  random: (below: number) => number,
): Promise<Outcome> {
  const path = `/walls/${createId()}`;
  const isLate = random(10) === 0;
  const isGivenUp = random(10) === 0;
  const fault = random(20) === 0 ? 'cut' : `delay=${isLate ? 400 : random(30)}`;
  try {
    const response = await request(`http://${address}${path}`, {
      method: random(2) === 0 ? 'GET' : 'POST',
      headers: {
        'medlarlane-service': SERVICE,
        'medlarlane-fault': fault,
        'medlarlane-deadline-ms': isLate ? '200' : '10000',
        'idempotency-key': createId(),
      },
      dispatcher: agent,
      ...(isGivenUp ? {signal: AbortSignal.timeout(random(60))} : {}),
    });
    const text = await response.body.text();
    const answered = response.statusCode === 200 ? (JSON.parse(text) as {path: string}).path : '';
    return {status: response.statusCode, answered, path};
  } catch {
    return {status: 0, answered: '', path};
  }
}

function randomBelow(seed: number): (below: number) => number {
  const generator = xoroshiro128plus(seed);
  return (below) => (generator.next() >>> 0) % below;
}
