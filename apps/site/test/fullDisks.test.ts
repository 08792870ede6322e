import assert from 'node:assert/strict';
import {mkdtempSync, rmSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {suspendAwareClock} from '@medlarlane/lifecycle';
import {silentLogger} from '@medlarlane/logger';
import {nodeFileSystem} from '@medlarlane/log-store';
import type {FileSystem} from '@medlarlane/log-store';
import {startSiteControl, superviseSiteControl} from '@medlarlane/site';
import type {SupervisedSiteControl} from '@medlarlane/site';
import type {ConfigurationChange} from '@medlarlane/site-config';

const RPC_PORT = 7600;
const REPLICAS = 5;
const FULL_MS = 1_500;
const PAUSE_MS = 400;
/** `ack_timeout_s` and `catch_up_s` of the users' bounds. */
const ACK_TIMEOUT_MS = 4_000;
const CATCH_UP_MS = 4_000;

// Guards against a group that refuses changes, or leaves them unanswered, long after disks that were full one
// after another have room again.
test('Changes are accepted after the disks of all replicas were full in turn', async (t) => {
  const folder = mkdtempSync(path.join(os.tmpdir(), 'medlarlane-full-'));
  const prefix = `127.${10 + (process.pid % 200)}.78`;
  const full = new Set<number>();
  const replicas: SupervisedSiteControl[] = await Promise.all(
    Array.from({length: REPLICAS}, (_, index) =>
      superviseSiteControl({
        start: startSiteControl,
        host: `${prefix}.${index + 1}`,
        rpcPort: RPC_PORT,
        dataFolder: path.join(folder, `data-${index}`),
        seeds: () => [1, 2, 3].map((last) => `${prefix}.${last}:${RPC_PORT}`),
        bootstrap: true,
        lossesTolerated: 2,
        clock: suspendAwareClock,
        logger: silentLogger,
        files: diskWithLimit(() => full.has(index)),
      }),
    ),
  );
  t.after(async () => {
    await Promise.all(replicas.map((replica) => replica.close()));
    rmSync(folder, {recursive: true, force: true});
  });
  let version = 0;
  let attempts = 0;
  /** Sends the next change to the replicas in turn until it is acknowledged; returns the time that took. */
  const change = async (): Promise<number> => {
    const startedAtMs = performance.now();
    const next = changeTo(version + 1, version);
    for (;;) {
      attempts += 1;
      const replica = replicas[attempts % REPLICAS]!;
      const outcome = await replica.configurationService
        .changeConfiguration(next)
        .catch(() => undefined);
      if (outcome?.kind === 'accepted') break;
      assert.equal(outcome, undefined, 'a proper change is never refused');
      assert.ok(performance.now() - startedAtMs < 30_000, 'no change was accepted for 30 s');
      await delay(50);
    }
    version += 1;
    return performance.now() - startedAtMs;
  };
  await change();
  let isDone = false;
  const changes = (async () => {
    while (!isDone) await change();
  })();
  for (let turn = 0; turn < REPLICAS; turn += 1) {
    // The leader first, then the others.
    const leader = replicas.findIndex(({current}) => current?.replica.isLeader());
    const victim = turn === 0 ? Math.max(0, leader) : (Math.max(0, leader) + 1) % REPLICAS;
    full.add(victim);
    await delay(FULL_MS);
    full.delete(victim);
    await delay(PAUSE_MS);
  }
  isDone = true;
  await changes;
  for (let count = 0; count < 5; count += 1) {
    const durationMs = await change();
    assert.ok(durationMs < ACK_TIMEOUT_MS, `acknowledged after ${Math.round(durationMs)} ms`);
  }
  for (const replica of replicas) {
    await waitUntilStarted(replica);
    assert.equal((await replica.configurationService.readConfiguration()).version, version);
  }
});

/** Waits for a replica that pauses before it starts again after its disk was full. */
async function waitUntilStarted(replica: SupervisedSiteControl): Promise<void> {
  const untilMs = performance.now() + CATCH_UP_MS;
  while (!replica.current) {
    assert.ok(performance.now() < untilMs, `the replica is down for ${CATCH_UP_MS} ms`);
    await delay(50);
  }
}

/** The real file system, but for writes while the disk is full: they take some bytes and fail. */
function diskWithLimit(isFull: () => boolean): FileSystem {
  const fail = (): never => {
    throw Object.assign(new Error('no space left on device'), {code: 'ENOSPC'});
  };
  return {
    ...nodeFileSystem,
    open: async (file, mode) => {
      if (mode === 'create' && isFull()) fail();
      const opened = await nodeFileSystem.open(file, mode);
      return {
        ...opened,
        write: async (bytes, position) => {
          if (isFull()) await opened.write(bytes.subarray(0, bytes.length / 2), position);
          if (isFull()) fail();
          await opened.write(bytes, position);
        },
      };
    },
  };
}

function changeTo(version: number, baseVersion: number): ConfigurationChange {
  return {
    digest: `change-${version}`,
    version,
    baseVersion,
    change: {
      kind: 'replace',
      configuration: {
        version,
        routes: [],
        services: [{name: 'wallboard', keyed: true, maxConnections: 8, extras: {}}],
        limits: {
          maxHeaderBytes: 1_000,
          maxBodyBytes: 1_000,
          headerTimeoutMs: 1_000,
          idleTimeoutMs: 1_000,
          extras: {},
        },
      },
    },
  };
}
