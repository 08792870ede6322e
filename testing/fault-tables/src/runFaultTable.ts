import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {checkOwnership, startNetwork, startTraffic} from '@medlarlane/fixtures';
import type {Network, TrafficRecord} from '@medlarlane/fixtures';
import {KEYS, SERVICE, startScenario} from './scenario.js';
import type {Scenario} from './scenario.js';

/** A fault that is injected while keyed requests run. */
export interface FaultRow {
  readonly title: string;
  /** Injects the fault and resolves when the system is expected to have recovered. */
  readonly injectFault: (scenario: Scenario, network: Network) => Promise<void>;
  /** Number of servers that are able to serve requests after the fault. */
  readonly survivors: number;
}

/** Longer than the sum of a lease, an election and a new lease. */
export const SETTLE_MS = 4000;

const TRAFFIC_BEFORE_FAULT_MS = 500;
const TRAFFIC_AFTER_FAULT_MS = 1000;

/**
 * Registers one test per fault, which checks that each key has one owner at any time and that every
 * key is served afterwards.
 */
export function runFaultTable(rows: readonly FaultRow[]): void {
  for (const row of rows) {
    void test(`Each key has one owner at a time and is served again when ${row.title}`, () =>
      runFault(row));
  }
}

async function runFault({injectFault, survivors}: FaultRow): Promise<void> {
  const network = startNetwork(3);
  const scenario = await startScenario({network});
  try {
    const traffic = startTraffic({
      service: SERVICE,
      entryAddresses: () => scenario.entryAddresses().slice(0, 1),
      keys: KEYS,
    });
    await delay(TRAFFIC_BEFORE_FAULT_MS);
    await injectFault(scenario, network);
    const faultEndedAtMs = performance.now();
    await delay(TRAFFIC_AFTER_FAULT_MS);
    const records = await traffic.stop();
    assert.deepEqual(checkOwnership(records), []);
    assertAllServed(records, faultEndedAtMs, survivors);
  } finally {
    await scenario.dispose();
  }
}

function assertAllServed(
  records: readonly TrafficRecord[],
  sinceMs: number,
  survivors: number,
): void {
  const laterRecords = records.filter(({sentAtMs}) => sentAtMs >= sinceMs);
  assert.ok(laterRecords.length > 0, 'no request was sent after the fault');
  assert.deepEqual(
    laterRecords.filter(({status}) => status !== 200),
    [],
  );
  assert.ok(new Set(laterRecords.map(({target}) => target)).size <= survivors);
}
