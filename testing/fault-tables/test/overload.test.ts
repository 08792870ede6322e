import assert from 'node:assert/strict';
import {after, before, describe, test} from 'node:test';
import {request} from 'undici';
import {v7 as createId} from 'uuid';
import {SERVICE, startCallerScenario} from '@medlarlane/fault-tables';
import type {CallerScenario} from '@medlarlane/fault-tables';
import {eventually, openRawConnection} from '@medlarlane/fixtures';

const SLOTS = 4;
const QUEUE_LENGTH = 4 * SLOTS;
const CAPACITY = SLOTS + QUEUE_LENGTH;
const WAVES = 3;
const TEST_OPTIONS = {timeout: 120_000};

void describe('Overload', () => {
  let scenario: CallerScenario;
  before(async () => {
    // The number of connections caps the adaptive limit.
    const targets = {slots: SLOTS, connections: SLOTS, requestTimeoutMs: 60_000};
    scenario = await startCallerScenario({
      targets,
      requests: {
        repeatableMethods: ['GET', 'HEAD', 'OPTIONS'],
        requireIdempotencyKey: true,
        defaultDeadlineMs: 60_000,
      },
    });
  });
  after(() => scenario.dispose());

  void test(
    'At three times the capacity, excess requests are rejected with OVERLOADED and accepted ones are served',
    TEST_OPTIONS,
    async () => {
      for (let wave = 0; wave < WAVES; wave++) {
        const held = holdResponses(scenario);
        let rejectedCount = 0;
        const responses = Promise.all(
          Array.from({length: 3 * CAPACITY}, async () => {
            const response = await post(scenario.entry.ready.caller, held.path);
            if (response.status !== 200) rejectedCount += 1;
            return response;
          }),
        );
        await eventually('the rejections', () => rejectedCount >= 2 * CAPACITY);
        held.release();
        const all = await responses;
        const served = all.filter(({status}) => status === 200);
        for (const {code, ran} of all.filter(({status}) => status !== 200)) {
          assert.deepEqual({code, ran}, {code: 'OVERLOADED', ran: 'no'});
        }
        // The adaptive limit may fall below the slots; the queue length does not change.
        assert.ok(served.length > QUEUE_LENGTH, `${served.length} requests were served`);
        assert.equal(scenario.target.runs(held.path), served.length);
      }
    },
  );

  void test(
    'A request whose deadline passes in the queue is rejected and never runs',
    TEST_OPTIONS,
    async () => {
      const {held, slotRequests} = await fillSlots(scenario);
      const path = `/walls/${createId()}`;
      const {code, ran} = await post(scenario.entry.ready.caller, path, 300);
      held.release();
      await slotRequests;
      // The queue rejects a request at once when it predicts that the deadline would pass.
      assert.ok(code === 'DEADLINE_EXCEEDED' || code === 'OVERLOADED', code);
      assert.equal(ran, 'no');
      assert.equal(scenario.target.started(path), 0);
    },
  );

  void test(
    'A request whose caller disconnects while it waits in the queue never runs',
    TEST_OPTIONS,
    async () => {
      const {held, slotRequests} = await fillSlots(scenario);
      const path = `/walls/${createId()}`;
      const connection = await openRawConnection(scenario.owner.ready.caller);
      await connection.write(
        `POST ${path} HTTP/1.1\r\nhost: x\r\nmedlarlane-service: ${SERVICE}\r\n` +
          `idempotency-key: ${createId()}\r\ncontent-length: 0\r\n\r\n`,
      );
      connection.reset();
      // The daemon reads a later request on another connection after the reset.
      const lastRequest = post(scenario.owner.ready.caller, '/walls/last');
      await eventually('the cancelled request to leave the queue', async () => {
        const {code} = await post(scenario.owner.ready.caller, '/walls/probe', 50);
        return code !== '';
      });
      held.release();
      await slotRequests;
      assert.equal((await lastRequest).status, 200);
      assert.equal(scenario.target.started(path), 0);
    },
  );
});

interface HeldPath {
  readonly path: string;
  release(): void;
}

/** Scripts a path whose responses are delayed until `release` is called. */
function holdResponses({target}: CallerScenario): HeldPath {
  const path = `/walls/${createId()}`;
  let release = (): void => undefined;
  const released = new Promise<void>((resolve) => {
    release = resolve;
  });
  target.script(path, async (_incoming, response) => {
    await released;
    response.end('served');
  });
  return {path, release};
}

/** Fills every slot with requests that run until `release` is called. */
async function fillSlots(
  scenario: CallerScenario,
): Promise<{held: HeldPath; slotRequests: Promise<unknown>}> {
  const held = holdResponses(scenario);
  const slotRequests = Promise.all(
    Array.from({length: SLOTS}, () => post(scenario.entry.ready.caller, held.path)),
  );
  // When the adaptive limit is below the slots, the remaining requests wait in the queue.
  await eventually('a request to reach the target', () => scenario.target.started(held.path) > 0);
  return {held, slotRequests};
}

interface ResponseSummary {
  readonly status: number;
  readonly code: string;
  readonly ran: string;
}

async function post(caller: string, path: string, deadlineMs = 60_000): Promise<ResponseSummary> {
  const {statusCode, headers, body} = await request(`http://${caller}${path}`, {
    method: 'POST',
    headers: {
      'medlarlane-service': SERVICE,
      'idempotency-key': createId(),
      'medlarlane-deadline-ms': String(deadlineMs),
    },
  });
  await body.dump();
  return {
    status: statusCode,
    code: String(headers['medlarlane-code'] ?? ''),
    ran: String(headers['medlarlane-ran'] ?? ''),
  };
}
