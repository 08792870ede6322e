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
const TEST_OPTIONS = {timeout: 120_000};
const SEED = 20_261;

interface Outcome {
  readonly status: number;
  /** Path in the response body; empty for a rejection or a failed connection. */
  readonly responsePath: string;
  readonly path: string;
}

void test(
  'Every response belongs to its request when callers cancel, time out and lose their connections',
  TEST_OPTIONS,
  async () => {
    const scenario = await startScenario({replicaCount: 1, targetFlags: ['--allow-faults']});
    const [host, port] = scenario.entryAddresses()[0]!.split(':');
    const relay = await startLinkRelay({serverHost: host!, serverPort: Number(port)});
    const agent = new Agent({connections: CONNECTIONS});
    const random = randomBelow(SEED);
    const outcomes: Outcome[] = [];
    let isDone = false;
    const cutRepeatedly = (async () => {
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
          outcomes.push(await sendRandomRequest(relay.address, agent, random));
        }
      };
      await Promise.all(Array.from({length: WORKERS}, worker));
      const mismatched = outcomes.filter(
        ({status, responsePath, path}) => status === 200 && responsePath !== path,
      );
      assert.deepEqual(mismatched, []);
      const statuses = new Set(outcomes.map(({status}) => status));
      // The check above is only meaningful when requests succeeded, timed out and were cut.
      for (const status of [200, 504, 0])
        assert.ok(statuses.has(status), `no response with status ${status}`);
    } finally {
      isDone = true;
      await cutRepeatedly;
      await agent.destroy();
      await relay.close();
      await scenario.dispose();
    }
  },
);

/** Sends a request with a unique key that is randomly delayed, late, cancelled or cut. */
async function sendRandomRequest(
  address: string,
  agent: Agent,
  random: (below: number) => number,
): Promise<Outcome> {
  const path = `/walls/${createId()}`;
  const isLate = random(10) === 0;
  const isCancelled = random(10) === 0;
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
      ...(isCancelled ? {signal: AbortSignal.timeout(random(60))} : {}),
    });
    const text = await response.body.text();
    const responsePath =
      response.statusCode === 200 ? (JSON.parse(text) as {path: string}).path : '';
    return {status: response.statusCode, responsePath, path};
  } catch {
    return {status: 0, responsePath: '', path};
  }
}

function randomBelow(seed: number): (below: number) => number {
  const generator = xoroshiro128plus(seed);
  return (below) => (generator.next() >>> 0) % below;
}
