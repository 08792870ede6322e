import assert from 'node:assert/strict';
import {after, before, describe, test} from 'node:test';
import {request} from 'undici';
import {v7 as createId} from 'uuid';
import {SERVICE, startScenario} from '@medlarlane/fault-tables';
import type {Scenario} from '@medlarlane/fault-tables';
import {callAdmin, eventually, openRawConnection, countTargetRuns} from '@medlarlane/fixtures';

interface RecordedResponse {
  readonly status: number;
  readonly code: string;
  readonly ran: string;
  readonly body: string;
}

interface SendOptions {
  /** Index of the daemon that receives the request: 0 is the observer, the others own ranges. */
  readonly entry?: number;
  readonly body?: string;
  readonly fault?: string;
  readonly deadlineMs?: number;
}

interface Context {
  readonly scenario: Scenario;
  readonly id: string;
  readonly path: string;
  send(opts?: SendOptions): Promise<RecordedResponse>;
  /** Sends the request and resets the connection once a target runs it. */
  sendAndReset(delayMs: number): Promise<void>;
  runs(): Promise<number>;
}

interface Row {
  readonly title: string;
  readonly runCase: (context: Context) => Promise<void>;
  readonly runs: number;
}

const TEST_OPTIONS = {timeout: 60_000};

const ROWS: readonly Row[] = [
  {
    title: 'a resend after the response was lost gets the recorded response',
    runCase: async ({send, sendAndReset}) => {
      await sendAndReset(300);
      assert.equal((await send()).status, 200);
    },
    runs: 1,
  },
  {
    title: 'a resend while the first attempt runs gets the response of that attempt',
    runCase: async ({send}) => {
      const [first, second] = await Promise.all([
        send({fault: 'delay=400'}),
        send({fault: 'delay=400'}),
      ]);
      assert.equal(first.status, 200);
      assert.deepEqual(second, first);
    },
    runs: 1,
  },
  {
    title: 'resends to every daemon get the recorded response',
    runCase: async ({send, scenario}) => {
      const first = await send();
      for (const entry of scenario.entryAddresses().keys()) {
        assert.deepEqual(await send({entry}), first);
      }
    },
    runs: 1,
  },
  {
    title: 'a resend of a large body gets the recorded response',
    runCase: async ({send}) => {
      // The body is split into different chunks on each attempt and on each path.
      const body = 'x'.repeat(1_000_000);
      const first = await send({body});
      assert.equal(first.status, 200);
      for (const entry of [1, 0, 2]) assert.deepEqual(await send({body, entry}), first);
    },
    runs: 1,
  },
  {
    title: 'a chunked resend to another daemon gets the recorded response',
    runCase: async ({scenario, path, id}) => {
      const responses = await Promise.all(
        scenario.entryAddresses().map((entry) => sendChunked(entry, path, id)),
      );
      assert.equal(responses[0]!.status, 200);
      for (const response of responses) assert.deepEqual(response, responses[0]);
    },
    runs: 1,
  },
  {
    title: 'another body with the same key is rejected',
    runCase: async ({send}) => {
      assert.equal((await send({body: 'first'})).status, 200);
      const second = await send({body: 'other'});
      assert.deepEqual([second.code, second.ran], ['IDEMPOTENCY_KEY_REUSED', 'no']);
    },
    runs: 1,
  },
  {
    title: 'a resend after a timeout does not run again',
    runCase: async ({send}) => {
      const late = await send({fault: 'delay=1500', deadlineMs: 500});
      assert.deepEqual([late.code, late.ran], ['TARGET_TIMEOUT', 'unknown']);
      const second = await send();
      assert.deepEqual([second.code, second.ran], ['OUTCOME_UNKNOWN', 'unknown']);
    },
    runs: 1,
  },
  {
    title: 'a resend after the connection to the target was cut does not run again',
    runCase: async ({send}) => {
      await assert.rejects(send({fault: 'cut'}), 'the cut response looks complete');
      const second = await send();
      assert.deepEqual([second.code, second.ran], ['OUTCOME_UNKNOWN', 'unknown']);
    },
    runs: 1,
  },
  {
    title: 'a request without Idempotency-Key is rejected',
    runCase: async ({scenario, path}) => {
      const response = await post(scenario.entryAddresses()[0]!, path, {});
      assert.deepEqual([response.code, response.ran], ['IDEMPOTENCY_KEY_REQUIRED', 'no']);
    },
    runs: 0,
  },
  {
    title: 'a resend after a planned move gets the recorded response from the new owner',
    runCase: async ({send, scenario}) => {
      const first = await send();
      assert.equal(first.status, 200);
      const drained = targetNameOf(first);
      await callAdmin(scenario.admin, 'drain', {instanceId: drained});
      await eventually('the drained instance to own no ranges', async () => {
        const {targets} = await callAdmin(scenario.admin, 'listTargets', {service: SERVICE});
        const target = targets.find(({instanceId}) => instanceId === drained);
        return !target || target.rangesOwned === 0;
      });
      assert.deepEqual(await send(), first);
      assert.deepEqual(await send({entry: 1}), first);
    },
    runs: 1,
  },
  {
    title: 'a resend after the owner was killed does not run again',
    runCase: async ({send, scenario}) => {
      const first = await send();
      const owner = scenario.servers.find(({name}) => name === targetNameOf(first))!;
      owner.daemon.kill('SIGKILL');
      const second = await eventually('a response from the new owner', async () => {
        const response = await send();
        return response.code === 'OUTCOME_UNKNOWN' ? response : undefined;
      });
      assert.equal(second.ran, 'unknown');
    },
    runs: 1,
  },
];

for (const splitByKey of [true, false]) {
  const kind = splitByKey ? 'split by key' : 'not split by key';
  void describe(`At most once in a service ${kind}`, () => {
    let scenario: Scenario;
    before(async () => {
      scenario = await startScenario({
        replicaCount: 1,
        // Each of the last two cases removes a server.
        serverCount: 4,
        targetFlags: ['--allow-faults'],
        document: {splitByKey},
      });
      await eventually('ids newer than the ownership', async () => {
        const responses = await Promise.all(
          Array.from({length: 40}, (_, index) =>
            post(scenario.entryAddresses()[0]!, `/walls/first-${index}`, {
              'idempotency-key': createId(),
            }),
          ),
        );
        return responses.every(({status}) => status === 200);
      });
    });
    after(() => scenario.dispose());

    for (const row of ROWS) {
      void test(`A target runs a request at most once: ${row.title}`, TEST_OPTIONS, async () => {
        const context = createContext(scenario);
        await row.runCase(context);
        assert.equal(await context.runs(), row.runs);
      });
    }
  });
}

function createContext(scenario: Scenario): Context {
  const id = createId();
  const path = `/walls/${id}`;
  const runs = (): Promise<number> =>
    countTargetRuns(
      scenario.servers.map(({target}) => target),
      id,
    );
  return {
    scenario,
    id,
    path,
    runs,
    send: ({entry = 0, body = 'reset', fault, deadlineMs} = {}) =>
      post(
        scenario.entryAddresses()[entry]!,
        path,
        {
          'idempotency-key': id,
          ...(fault === undefined ? {} : {'medlarlane-fault': fault}),
          ...(deadlineMs === undefined ? {} : {'medlarlane-deadline-ms': String(deadlineMs)}),
        },
        body,
      ),
    sendAndReset: async (delayMs) => {
      const connection = await openRawConnection(scenario.entryAddresses()[0]!);
      const lines = [
        `POST ${path} HTTP/1.1`,
        'host: x',
        `medlarlane-service: ${SERVICE}`,
        `idempotency-key: ${id}`,
        `medlarlane-fault: delay=${delayMs}`,
        'content-length: 5',
      ];
      await connection.write(`${lines.join('\r\n')}\r\n\r\nreset`);
      await eventually('the first attempt to run', async () => (await runs()) === 1);
      connection.reset();
    },
  };
}

async function post(
  entry: string,
  path: string,
  headers: Readonly<Record<string, string>>,
  body = 'reset',
): Promise<RecordedResponse> {
  const response = await request(`http://${entry}${path}`, {
    method: 'POST',
    headers: {'medlarlane-service': SERVICE, ...headers},
    body,
  });
  return {
    status: response.statusCode,
    code: String(response.headers['medlarlane-code'] ?? ''),
    ran: String(response.headers['medlarlane-ran'] ?? ''),
    body: await response.body.text(),
  };
}

async function sendChunked(entry: string, path: string, id: string): Promise<RecordedResponse> {
  const connection = await openRawConnection(entry);
  const lines = [
    `POST ${path} HTTP/1.1`,
    'host: x',
    `medlarlane-service: ${SERVICE}`,
    `idempotency-key: ${id}`,
    'transfer-encoding: chunked',
  ];
  await connection.write(`${lines.join('\r\n')}\r\n\r\n5\r\nreset\r\n0\r\n\r\n`);
  const {status, headers, body} = await connection.response();
  connection.reset();
  return {
    status,
    code: headers['medlarlane-code'] ?? '',
    ran: headers['medlarlane-ran'] ?? '',
    body,
  };
}

function targetNameOf({body}: RecordedResponse): string {
  return (JSON.parse(body) as {target: string}).target;
}
