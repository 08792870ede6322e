import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {after, before, describe, test} from 'node:test';
import {v7 as createId} from 'uuid';
import {SERVICE, startCallerScenario} from '@medlarlane/fault-tables';
import type {CallerScenario} from '@medlarlane/fault-tables';
import {eventually, openRawConnection} from '@medlarlane/fixtures';

const UPLOAD_BYTES = 1024 ** 3;
const ABORT_AFTER_BYTES = 64 * 1024 ** 2;
const CHUNK = Buffer.alloc(1024 ** 2);
// A fifth of the upload: the heap may grow by tens of megabytes between garbage collections.
const MAX_GROWTH_BYTES = UPLOAD_BYTES / 5;
const TEST_OPTIONS = {timeout: 300_000};

void describe('Uploads', () => {
  let scenario: CallerScenario;
  before(async () => {
    const targets = {slots: 18, connections: 120, requestTimeoutMs: 600_000};
    scenario = await startCallerScenario({targets});
  });
  after(() => scenario.dispose());

  void test(
    'An upload of 1 GiB over two hops is streamed without being buffered in any daemon',
    TEST_OPTIONS,
    async () => {
      const pids = [scenario.entry.pid, scenario.owner.pid];
      const path = `/walls/${createId()}`;
      const before = await Promise.all(pids.map(readResidentBytes));
      const peakBytes = [...before];
      const connection = await openRawConnection(scenario.entry.ready.caller);
      await connection.write(createRequestHead(path));
      for (let sent = 0; sent < UPLOAD_BYTES; sent += CHUNK.length) {
        await connection.write(CHUNK);
        if (sent % (16 * CHUNK.length) !== 0) continue;
        const now = await Promise.all(pids.map(readResidentBytes));
        now.forEach((bytes, index) => (peakBytes[index] = Math.max(peakBytes[index]!, bytes)));
      }
      const {status} = await connection.response();
      connection.reset();
      assert.equal(status, 200);
      assert.equal(scenario.target.bodyBytes(path), UPLOAD_BYTES);
      const growthBytes = peakBytes.map((bytes, index) => bytes - before[index]!);
      assert.ok(
        Math.max(...growthBytes) < MAX_GROWTH_BYTES,
        `resident memory grew by ${growthBytes.join()}`,
      );
    },
  );

  void test(
    'An upload that its caller aborts does not count as run and leaves the target usable',
    TEST_OPTIONS,
    async () => {
      const path = `/walls/${createId()}`;
      const connection = await openRawConnection(scenario.entry.ready.caller);
      await connection.write(createRequestHead(path));
      for (let sent = 0; sent < ABORT_AFTER_BYTES; sent += CHUNK.length)
        await connection.write(CHUNK);
      connection.reset();
      await eventually('the first part of the upload', () => scenario.target.bodyBytes(path) > 0);
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

function createRequestHead(path: string): string {
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

async function readResidentBytes(pid: number): Promise<number> {
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1]) * 1024;
}
