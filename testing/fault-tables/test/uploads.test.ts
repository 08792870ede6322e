import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {after, before, describe, test} from 'node:test';
import {v7 as createId} from 'uuid';
import {SERVICE, startCallerScenario} from '@medlarlane/fault-tables';
import type {CallerScenario} from '@medlarlane/fault-tables';
import {eventually, openRawConnection} from '@medlarlane/fixtures';

const UPLOAD_BYTES = 1024 ** 3;
const CUT_AFTER_BYTES = 64 * 1024 ** 2;
const CHUNK = Buffer.alloc(1024 ** 2);
// A fifth of the upload. The heap of a daemon may grow by tens of megabytes between collections.
const MAX_GROWTH_BYTES = UPLOAD_BYTES / 5;
const LIMIT = {timeout: 300_000};

void describe('Uploads', () => {
  let scenario: CallerScenario;
  before(async () => {
    const targets = {slots: 18, connections: 120, requestTimeoutMs: 600_000};
    scenario = await startCallerScenario({targets});
  });
  after(() => scenario.dispose());

  void test('An upload of 1 GiB over two hops streams and no daemon holds it', LIMIT, async () => {
    const pids = [scenario.entry.pid, scenario.owner.pid];
    const path = `/walls/${createId()}`;
    const before = await Promise.all(pids.map(residentBytes));
    const highest = [...before];
    const connection = await openRawConnection(scenario.entry.ready.caller);
    await connection.write(headOf(path));
    for (let sent = 0; sent < UPLOAD_BYTES; sent += CHUNK.length) {
      await connection.write(CHUNK);
      if (sent % (16 * CHUNK.length) !== 0) continue;
      const now = await Promise.all(pids.map(residentBytes));
      now.forEach((bytes, index) => (highest[index] = Math.max(highest[index]!, bytes)));
    }
    const {status} = await connection.response();
    connection.reset();
    assert.equal(status, 200);
    assert.equal(scenario.target.bodyBytes(path), UPLOAD_BYTES);
    const growth = highest.map((bytes, index) => bytes - before[index]!);
    assert.ok(Math.max(...growth) < MAX_GROWTH_BYTES, `resident memory grew by ${growth.join()}`);
  });

  void test(
    'An upload that its caller cuts does not count as run and leaves the target usable',
    LIMIT,
    async () => {
      const path = `/walls/${createId()}`;
      const connection = await openRawConnection(scenario.entry.ready.caller);
      await connection.write(headOf(path));
      for (let sent = 0; sent < CUT_AFTER_BYTES; sent += CHUNK.length)
        await connection.write(CHUNK);
      connection.reset();
      await eventually('the part of the upload', () => scenario.target.bodyBytes(path) > 0);
      const next = await openRawConnection(scenario.entry.ready.caller);
      await next.write(
        `GET /walls/next HTTP/1.1\r\nhost: x\r\nmedlarlane-service: ${SERVICE}\r\n\r\n`,
      );
      assert.equal((await next.response()).status, 200);
      next.reset();
      assert.equal(scenario.target.runs(path), 0);
    },
  );
});

function headOf(path: string): string {
  return [
    `POST ${path} HTTP/1.1`,
    'host: x',
    `medlarlane-service: ${SERVICE}`,
    `idempotency-key: ${createId()}`,
    `content-length: ${UPLOAD_BYTES}`,
    'medlarlane-deadline-ms: 300000',
    '\r\n',
  ].join('\r\n');
}

async function residentBytes(pid: number): Promise<number> {
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1]) * 1024;
}
