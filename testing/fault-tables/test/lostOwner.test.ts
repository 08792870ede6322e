import assert from 'node:assert/strict';
import {test} from 'node:test';
import {v7 as createId} from 'uuid';
import {
  KEYS,
  findOwner,
  SERVICE,
  startCallerScenario,
  startScenario,
} from '@medlarlane/fault-tables';
import {eventually, openRawConnection, sendOnce} from '@medlarlane/fixtures';
import type {RawResponse, TargetScript} from '@medlarlane/fixtures';

interface Row {
  readonly title: string;
  readonly script: TargetScript;
  /** Whether the first bytes of the response must have arrived before the owner is killed. */
  readonly afterFirstBytes: boolean;
  readonly check: (response: RawResponse) => void;
}

const TEST_OPTIONS = {timeout: 60_000};

const ROWS: readonly Row[] = [
  {
    title: 'before the response',
    script: () => undefined,
    afterFirstBytes: false,
    check: ({status, headers}) => {
      const {'medlarlane-code': code, 'medlarlane-ran': ran} = headers;
      assert.deepEqual({status, code, ran}, {status: 502, code: 'PEER_FAILED', ran: 'unknown'});
    },
  },
  {
    title: 'during the response',
    script: (_incoming, response) => {
      response.writeHead(200, {'content-length': 100});
      response.write('part');
    },
    afterFirstBytes: true,
    check: ({status, isComplete}) => {
      assert.deepEqual({status, isComplete}, {status: 200, isComplete: false});
    },
  },
];

for (const {title, script, afterFirstBytes, check} of ROWS) {
  void test(
    `A request fails and runs once when the owning daemon is killed ${title}`,
    TEST_OPTIONS,
    async () => {
      const scenario = await startCallerScenario();
      try {
        const path = `/walls/${createId()}`;
        scenario.target.script(path, script);
        const connection = await openRawConnection(scenario.entry.ready.caller);
        const firstBytes = new Promise((resolve) => connection.socket.once('data', resolve));
        await connection.write(
          `POST ${path} HTTP/1.1\r\nhost: x\r\nmedlarlane-service: ${SERVICE}\r\n` +
            `idempotency-key: ${createId()}\r\ncontent-length: 0\r\n\r\n`,
        );
        await eventually('the request to run', () => scenario.target.runs(path) === 1);
        if (afterFirstBytes) await firstBytes;
        scenario.owner.kill('SIGKILL');
        check(await connection.response());
        connection.reset();
        assert.equal(scenario.target.runs(path), 1);
      } finally {
        await scenario.dispose();
      }
    },
  );
}

void test('Requests for keys of a killed target wait for the new owner', TEST_OPTIONS, async () => {
  const scenario = await startScenario({replicaCount: 1, serverCount: 2});
  try {
    const lost = await findOwner(scenario, KEYS[0]!);
    const entry = scenario.entryAddresses()[0]!;
    lost.target.kill('SIGKILL');
    await lost.target.exited;
    const records = await Promise.all(
      KEYS.map((key) => sendOnce(entry, key, createId(), 'GET', {service: SERVICE})),
    );
    assert.deepEqual(
      records.filter(({status}) => status !== 200),
      [],
    );
  } finally {
    await scenario.dispose();
  }
});
