import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {checkOwnership, startNetwork, startTraffic} from '@medlarlane/fixtures';
import type {Network, TrafficRecord} from '@medlarlane/fixtures';
import {KEYS, SERVICE, startScenario} from './scenario.js';
import type {Scenario} from './scenario.js';

/** One fault, struck while keyed requests run. */
export interface FaultRow {
  readonly title: string;
  /** Returns when the system should be whole again. */
  readonly strike: (scenario: Scenario, network: Network) => Promise<void>;
  /** Servers that can serve when the fault is over. */
  readonly survivors: number;
}

/** Longer than a lease, an election and a new lease together. */
export const SETTLE_MS = 4000;

const BEFORE_MS = 500;
const AFTER_MS = 1000;

/** Registers a test for each row: one owner per key at any time, and every key is served afterwards. */
export function runFaultTable(rows: readonly FaultRow[]): void {
  for (const row of rows) {
    void test(`Each key has one owner at a time and is served again when ${row.title}`, () =>
      runFault(row));
  }
}

async function runFault({strike, survivors}: FaultRow): Promise<void> {
  const network = startNetwork(3);
  const scenario = await startScenario({network});
  try {
    const traffic = startTraffic({
      service: SERVICE,
      entries: () => scenario.entries().slice(0, 1),
      keys: KEYS,
    });
    await delay(BEFORE_MS);
    await strike(scenario, network);
    const endedAtMs = performance.now();
    await delay(AFTER_MS);
    const records = await traffic.stop();
    assert.deepEqual(checkOwnership(records), []);
    assertServedAgain(records, endedAtMs, survivors);
  } finally {
    await scenario.dispose();
  }
}

function assertServedAgain(
  records: readonly TrafficRecord[],
  sinceMs: number,
  survivors: number,
): void {
  const later = records.filter(({sentAtMs}) => sentAtMs >= sinceMs);
  assert.ok(later.length > 0, 'no request was sent after the fault');
  assert.deepEqual(
    later.filter(({status}) => status !== 200),
    [],
  );
  assert.ok(new Set(later.map(({target}) => target)).size <= survivors);
}
