import assert from 'node:assert/strict';
import {after, before, describe, test} from 'node:test';
import {request} from 'undici';
import {v7 as createId} from 'uuid';
import {SERVICE, startScenario} from '@medlarlane/fault-tables';
import type {Scenario} from '@medlarlane/fault-tables';
import {callAdmin, eventually, openRawConnection, targetRuns} from '@medlarlane/fixtures';

interface Answer {
  readonly status: number;
  readonly code: string;
  readonly ran: string;
  readonly body: string;
}

interface Sent {
  /** Index of the daemon that takes the request: 0 observes, the others own. */
  readonly entry?: number;
  readonly body?: string;
  readonly fault?: string;
  readonly deadlineMs?: number;
}

interface Context {
  readonly scenario: Scenario;
  readonly id: string;
  readonly path: string;
  send(sent?: Sent): Promise<Answer>;
  /** Sends and drops the connection once a target works on the request. */
  sendAndLose(delayMs: number): Promise<void>;
  runs(): Promise<number>;
}

interface Row {
  readonly title: string;
  readonly play: (context: Context) => Promise<void>;
  readonly runs: number;
}

const LIMIT = {timeout: 60_000};

const ROWS: readonly Row[] = [
  {
    title: 'a resend after the answer was lost gets the recorded answer',
    play: async ({send, sendAndLose}) => {
      await sendAndLose(300);
      assert.equal((await send()).status, 200);
    },
    runs: 1,
  },
  {
    title: 'a resend while the first attempt runs gets the answer of that attempt',
    play: async ({send}) => {
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
    title: 'resends at every daemon get the recorded answer',
    play: async ({send, scenario}) => {
      const first = await send();
      for (const entry of scenario.entries().keys()) {
        assert.deepEqual(await send({entry}), first);
      }
    },
    runs: 1,
  },
  {
    title: 'a resend of a large body gets the recorded answer',
    play: async ({send}) => {
      // Chunks arrive cut differently each time and over each number of hops.
      const body = 'x'.repeat(1_000_000);
      const first = await send({body});
      assert.equal(first.status, 200);
      for (const entry of [1, 0, 2]) assert.deepEqual(await send({body, entry}), first);
    },
    runs: 1,
  },
  {
    title: 'a chunked resend at another daemon gets the recorded answer',
    play: async ({scenario, path, id}) => {
      const answers = await Promise.all(
        scenario.entries().map((entry) => sendChunked(entry, path, id)),
      );
      assert.equal(answers[0]!.status, 200);
      for (const answer of answers) assert.deepEqual(answer, answers[0]);
    },
    runs: 1,
  },
  {
    title: 'another body under the same key is refused',
    play: async ({send}) => {
      assert.equal((await send({body: 'first'})).status, 200);
      const second = await send({body: 'other'});
      assert.deepEqual([second.code, second.ran], ['IDEMPOTENCY_KEY_REUSED', 'no']);
    },
    runs: 1,
  },
  {
    title: 'a resend after a timeout does not run again',
    play: async ({send}) => {
      const late = await send({fault: 'delay=1500', deadlineMs: 500});
      assert.deepEqual([late.code, late.ran], ['TARGET_TIMEOUT', 'unknown']);
      const second = await send();
      assert.deepEqual([second.code, second.ran], ['OUTCOME_UNKNOWN', 'unknown']);
    },
    runs: 1,
  },
  {
    title: 'a resend after the connection to the target was cut does not run again',
    play: async ({send}) => {
      await assert.rejects(send({fault: 'cut'}), 'the cut answer looks whole');
      const second = await send();
      assert.deepEqual([second.code, second.ran], ['OUTCOME_UNKNOWN', 'unknown']);
    },
    runs: 1,
  },
  {
    title: 'a request without the header is refused',
    play: async ({scenario, path}) => {
      const answer = await post(scenario.entries()[0]!, path, {});
      assert.deepEqual([answer.code, answer.ran], ['IDEMPOTENCY_KEY_REQUIRED', 'no']);
    },
    runs: 0,
  },
  {
    title: 'a resend after a planned move gets the recorded answer from the new owner',
    play: async ({send, scenario}) => {
      const first = await send();
      assert.equal(first.status, 200);
      const drained = nameOf(first);
      await callAdmin(scenario.admin, 'drain', {instanceId: drained});
      await eventually('all ranges away from the drained instance', async () => {
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
    play: async ({send, scenario}) => {
      const first = await send();
      const owner = scenario.servers.find(({name}) => name === nameOf(first))!;
      owner.daemon.kill('SIGKILL');
      const second = await eventually('an answer of the new owner', async () => {
        const answer = await send();
        return answer.code === 'OUTCOME_UNKNOWN' ? answer : undefined;
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
        // The last two rows take a server each.
        serverCount: 4,
        targetFlags: ['--allow-faults'],
        document: {splitByKey},
      });
      await eventually('ids that are newer than the ownership', async () => {
        const answers = await Promise.all(
          Array.from({length: 40}, (_, index) =>
            post(scenario.entries()[0]!, `/walls/first-${index}`, {'idempotency-key': createId()}),
          ),
        );
        return answers.every(({status}) => status === 200);
      });
    });
    after(() => scenario.dispose());

    for (const row of ROWS) {
      void test(`A target runs a request at most once: ${row.title}`, LIMIT, async () => {
        const context = contextOf(scenario);
        await row.play(context);
        assert.equal(await context.runs(), row.runs);
      });
    }
  });
}

function contextOf(scenario: Scenario): Context {
  const id = createId();
  const path = `/walls/${id}`;
  const runs = (): Promise<number> =>
    targetRuns(
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
        scenario.entries()[entry]!,
        path,
        {
          'idempotency-key': id,
          ...(fault === undefined ? {} : {'medlarlane-fault': fault}),
          ...(deadlineMs === undefined ? {} : {'medlarlane-deadline-ms': String(deadlineMs)}),
        },
        body,
      ),
    sendAndLose: async (delayMs) => {
      const connection = await openRawConnection(scenario.entries()[0]!);
      const lines = [
        `POST ${path} HTTP/1.1`,
        'host: x',
        `medlarlane-service: ${SERVICE}`,
        `idempotency-key: ${id}`,
        `medlarlane-fault: delay=${delayMs}`,
        'content-length: 5',
      ];
      await connection.write(`${lines.join('\r\n')}\r\n\r\nreset`);
      await eventually('the run of the first attempt', async () => (await runs()) === 1);
      connection.reset();
    },
  };
}

async function post(
  entry: string,
  path: string,
  headers: Readonly<Record<string, string>>,
  body = 'reset',
): Promise<Answer> {
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

async function sendChunked(entry: string, path: string, id: string): Promise<Answer> {
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

function nameOf({body}: Answer): string {
  return (JSON.parse(body) as {target: string}).target;
}
