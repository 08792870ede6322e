import assert from 'node:assert/strict';
import {after, before, describe, test} from 'node:test';
import {request} from 'undici';
import {v7 as createId} from 'uuid';
import {SERVICE, startCallerScenario} from '@medlarlane/fault-tables';
import type {CallerScenario} from '@medlarlane/fault-tables';
import {eventually, openRawConnection} from '@medlarlane/fixtures';

const SLOTS = 4;
const WAITING = 4 * SLOTS;
const CAPACITY = SLOTS + WAITING;
const WAVES = 3;
const LIMIT = {timeout: 120_000};

void describe('Overload', () => {
  let scenario: CallerScenario;
  before(async () => {
    // The learned limit cannot exceed the connections.
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
    'Three times the capacity is refused with OVERLOADED and what is accepted is served',
    LIMIT,
    async () => {
      for (let wave = 0; wave < WAVES; wave++) {
        const hold = holdAnswers(scenario);
        let refused = 0;
        const answers = Promise.all(
          Array.from({length: 3 * CAPACITY}, async () => {
            const answer = await post(scenario.entry.ready.caller, hold.path);
            if (answer.status !== 200) refused += 1;
            return answer;
          }),
        );
        await eventually('the refusals', () => refused >= 2 * CAPACITY);
        hold.release();
        const all = await answers;
        const served = all.filter(({status}) => status === 200);
        for (const {code, ran} of all.filter(({status}) => status !== 200)) {
          assert.deepEqual({code, ran}, {code: 'OVERLOADED', ran: 'no'});
        }
        // The learned limit may fall below the slots; the queue is as long as before.
        assert.ok(served.length > WAITING, `${served.length} were served`);
        assert.equal(scenario.target.runs(hold.path), served.length);
      }
    },
  );

  void test(
    'A request whose deadline passes in the queue is refused and never runs',
    LIMIT,
    async () => {
      const {hold, occupied} = await occupy(scenario);
      const path = `/walls/${createId()}`;
      const {code, ran} = await post(scenario.entry.ready.caller, path, 300);
      hold.release();
      await occupied;
      // The queue refuses at once when it predicts that the deadline passes.
      assert.ok(code === 'DEADLINE_EXCEEDED' || code === 'OVERLOADED', code);
      assert.equal(ran, 'no');
      assert.equal(scenario.target.started(path), 0);
    },
  );

  void test(
    'A request whose caller goes while it waits in the queue never runs',
    LIMIT,
    async () => {
      const {hold, occupied} = await occupy(scenario);
      const path = `/walls/${createId()}`;
      const connection = await openRawConnection(scenario.owner.ready.caller);
      await connection.write(
        `POST ${path} HTTP/1.1\r\nhost: x\r\nmedlarlane-service: ${SERVICE}\r\n` +
          `idempotency-key: ${createId()}\r\ncontent-length: 0\r\n\r\n`,
      );
      connection.reset();
      // A later request on another connection is read after the reset.
      const last = post(scenario.owner.ready.caller, '/walls/last');
      await eventually('the cancelled request out of the queue', async () => {
        const {code} = await post(scenario.owner.ready.caller, '/walls/probe', 50);
        return code !== '';
      });
      hold.release();
      await occupied;
      assert.equal((await last).status, 200);
      assert.equal(scenario.target.started(path), 0);
    },
  );
});

interface Hold {
  readonly path: string;
  release(): void;
}

/** A path whose answers wait until they are released. */
function holdAnswers({target}: CallerScenario): Hold {
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

/** Fills every slot with requests that run until they are released. */
async function occupy(scenario: CallerScenario): Promise<{hold: Hold; occupied: Promise<unknown>}> {
  const hold = holdAnswers(scenario);
  const occupied = Promise.all(
    Array.from({length: SLOTS}, () => post(scenario.entry.ready.caller, hold.path)),
  );
  // The learned limit may be below the slots; then the others of these requests wait.
  await eventually('a request at the target', () => scenario.target.started(hold.path) > 0);
  return {hold, occupied};
}

interface Answer {
  readonly status: number;
  readonly code: string;
  readonly ran: string;
}

async function post(caller: string, path: string, deadlineMs = 60_000): Promise<Answer> {
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
