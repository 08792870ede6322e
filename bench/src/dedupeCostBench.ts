import {createHash} from 'node:crypto';
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {Pool} from 'undici';
import {v7} from 'uuid';
import {IdempotencyTable} from '@medlarlane/dedupe';
import type {BeginResult, RecordedResponse} from '@medlarlane/dedupe';
import {atMost} from './figure.js';
import type {Figure} from './figure.js';

const RECORDS = 200_000;
// Maps have the most unused capacity just above a power of two entries.
const MEMORY_RECORDS = 140_000;
const COPIES = 4_000;
const SERVICE = 'tharangam/fee-ledger';
const RANGE = {service: SERVICE, from: 0, to: 2 ** 53};
const MAX_BYTES = 1024 ** 3;
const HEADERS = [
  ['content-type', 'application/json'],
  ['content-length', '120'],
] as const;
const RESPONSE: RecordedResponse = {
  status: 201,
  headers: HEADERS,
  body: new TextEncoder().encode('x'.repeat(120)),
};

/** Measures the time and memory of idempotency records, and the time to copy them to two peers. */
export async function dedupeCostBench(): Promise<Figure[]> {
  return [
    ...(await measureMemory('without-response', undefined)),
    ...(await measureMemory('with-120-byte-response', RESPONSE)),
    ...(await measureTime()),
    ...(await measureCopies()),
  ];
}

async function measureMemory(
  name: string,
  response: RecordedResponse | undefined,
): Promise<Figure[]> {
  const table = createOwnedTable();
  const before = measureUsedBytes();
  for (let number = 0; number < MEMORY_RECORDS; number += 1) {
    await runRequest(table, createRequest(number, v7()), response);
  }
  const perRecord = Math.round((measureUsedBytes() - before) / MEMORY_RECORDS);
  const accounted = Math.round(table.stats.bytes / MEMORY_RECORDS);
  return [
    {name: `dedupe/${name}/accounted`, value: accounted, unit: 'bytes/record'},
    // The memory limit of the table holds only if no record uses more than is accounted for it.
    atMost(`dedupe/${name}/memory`, perRecord, 'bytes/record', accounted),
  ];
}

async function measureTime(): Promise<Figure[]> {
  const from = createOwnedTable();
  const requests = Array.from({length: RECORDS}, (_, number) => createRequest(number, v7()));
  const runMs = await timeMs(async () => {
    for (const request of requests) await runRequest(from, request, RESPONSE);
  });
  const replayMs = await timeMs(async () => {
    for (const request of requests) await from.begin(request);
  });
  const none = {...RANGE, from: 1, to: 2, moveId: 'none'};
  const scanMs = await timeMs(() => exportAll(from, none));
  const chunks: Uint8Array[] = [];
  const move = {...RANGE, moveId: 'all'};
  const exportMs = await timeMs(async () => {
    chunks.push(...(await exportAll(from, move)));
  });
  const to = new IdempotencyTable({maxBytes: MAX_BYTES});
  const importMs = await timeMs(async () => {
    for (const chunk of chunks) to.importRange(chunk);
  });
  const bytes = chunks.reduce((sum, chunk) => sum + chunk.length, 0);
  return [
    perRecord('dedupe/begin-and-finish', runMs),
    perRecord('dedupe/replay', replayMs),
    perRecord('dedupe/handover-scan', scanMs),
    perRecord('dedupe/handover-export', exportMs),
    perRecord('dedupe/handover-import', importMs),
    {name: 'dedupe/handover-size', value: Math.round(bytes / RECORDS), unit: 'bytes/record'},
  ];
}

/** Measures the rejected alternative: copying each record to two peers before the request runs. */
async function measureCopies(): Promise<Figure[]> {
  const servers = [await startPeer(), await startPeer()];
  const pools = servers.map((server) => {
    const {port} = server.address() as AddressInfo;
    return new Pool(`http://127.0.0.1:${port}`, {connections: 8});
  });
  const copyRecord = async (number: number): Promise<void> => {
    const body = JSON.stringify(createRequest(number, v7()));
    await Promise.all(
      pools.map(async (pool) => {
        const response = await pool.request({method: 'POST', path: '/', body});
        await response.body.dump();
      }),
    );
  };
  for (let number = 0; number < COPIES / 4; number += 1) await copyRecord(number);
  const totalMs = await timeMs(async () => {
    for (let number = 0; number < COPIES; number += 1) await copyRecord(number);
  });
  await Promise.all(pools.map((pool) => pool.close()));
  for (const server of servers) server.close();
  const value = round((1_000 * totalMs) / COPIES);
  return [{name: 'dedupe/copy-to-two-peers', value, unit: 'us/request'}];
}

function startPeer(): Promise<Server> {
  const server = createServer((request, response) => {
    request.resume().on('end', () => response.writeHead(204).end());
  });
  return new Promise((resolve) => server.listen(0, '127.0.0.1', () => resolve(server)));
}

function createOwnedTable(): IdempotencyTable {
  const table = new IdempotencyTable({maxBytes: MAX_BYTES, maxClockSkewMs: 0, maxAheadMs: 60_000});
  table.takeOver(RANGE);
  return table;
}

function createRequest(number: number, id: string): Parameters<IdempotencyTable['begin']>[0] {
  const digest = createHash('sha256').update(String(number)).digest('base64');
  const position = Math.floor((number / RECORDS) * RANGE.to);
  return {service: SERVICE, position, id, digest, deadlineMs: Number.MAX_SAFE_INTEGER};
}

async function runRequest(
  table: IdempotencyTable,
  request: Parameters<IdempotencyTable['begin']>[0],
  response: RecordedResponse | undefined,
): Promise<BeginResult> {
  const begun = await table.begin(request);
  if (begun.kind !== 'run') throw new Error(`Request ${request.id} did not run`);
  begun.run.finish(response);
  return begun;
}

async function exportAll(
  table: IdempotencyTable,
  move: Parameters<IdempotencyTable['exportRange']>[0],
): Promise<Uint8Array[]> {
  const chunks: Uint8Array[] = [];
  for await (const chunk of table.exportRange(move)) chunks.push(chunk);
  return chunks;
}

/** Returns the bytes of heap and buffers in use after a garbage collection. */
function measureUsedBytes(): number {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
  const {heapUsed, arrayBuffers} = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

async function timeMs(work: () => Promise<unknown>): Promise<number> {
  const startMs = performance.now();
  await work();
  return performance.now() - startMs;
}

function perRecord(name: string, totalMs: number): Figure {
  return {name, value: round((1_000 * totalMs) / RECORDS), unit: 'us/record'};
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
