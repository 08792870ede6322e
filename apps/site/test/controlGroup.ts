import {mkdtempSync, rmSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import type {TestContext} from 'node:test';
import {MedlarlaneError} from '@medlarlane/errors';
import {suspendAwareClock, systemClock} from '@medlarlane/lifecycle';
import {silentLogger} from '@medlarlane/logger';
import {startSiteControl} from '@medlarlane/site';
import type {SiteControlProcess} from '@medlarlane/site';

const RPC_PORT = 7600;
const POLL_MS = 50;

/** Control replicas of one deployment in this process, each with its own loopback address and folder. */
export interface ControlGroup {
  readonly running: ReadonlyMap<number, SiteControlProcess>;
  /** Starts the replica of an instance on the folder that it has. */
  start(instance: number): Promise<SiteControlProcess>;
  /** Ends a replica without a word to the others. */
  kill(instance: number): Promise<void>;
  /** Ends a replica and removes its folder. */
  loseDisk(instance: number): Promise<void>;
  /** Waits for a leader and returns it. */
  leader(): Promise<SiteControlProcess>;
}

/** Starts replicas 0 to `count` - 1; the first three are the seeds and the initial members. */
export async function startControlGroup(
  test: TestContext,
  opts: {count: number; lossesTolerated: number},
): Promise<ControlGroup> {
  const folder = mkdtempSync(path.join(os.tmpdir(), 'medlarlane-control-'));
  const prefix = `127.${10 + (process.pid % 200)}.77`;
  const hostOf = (instance: number): string => `${prefix}.${instance + 1}`;
  const folderOf = (instance: number): string => path.join(folder, `data-${instance}`);
  const running = new Map<number, SiteControlProcess>();
  let isBootstrapping = true;
  const start = async (instance: number): Promise<SiteControlProcess> => {
    const started = await startSiteControl({
      host: hostOf(instance),
      rpcPort: RPC_PORT,
      dataFolder: folderOf(instance),
      seeds: () => [0, 1, 2].map((seed) => `${hostOf(seed)}:${RPC_PORT}`),
      bootstrap: isBootstrapping,
      lossesTolerated: opts.lossesTolerated,
      clock: suspendAwareClock,
      logger: silentLogger,
      onLogFailure: (failure) => {
        throw failure;
      },
    });
    running.set(instance, started);
    return started;
  };
  const kill = async (instance: number): Promise<void> => {
    const process = running.get(instance);
    running.delete(instance);
    await process?.close();
  };
  test.after(async () => {
    await Promise.all([...running.keys()].map(kill));
    rmSync(folder, {recursive: true, force: true});
  });
  await Promise.all(Array.from({length: opts.count}, (_, instance) => start(instance)));
  isBootstrapping = false;
  return {
    running,
    start,
    kill,
    loseDisk: async (instance) => {
      await kill(instance);
      rmSync(folderOf(instance), {recursive: true, force: true});
    },
    leader: () =>
      waitFor('a leader', () => [...running.values()].find(({replica}) => replica.isLeader())),
  };
}

/** Waits until the condition returns a value. @throws MedlarlaneError `DEADLINE_EXCEEDED`. */
export async function waitFor<T>(
  description: string,
  condition: () => T | undefined | false,
  limitMs = 15_000,
): Promise<T> {
  const deadlineMs = systemClock.nowMs() + limitMs;
  for (;;) {
    const value = condition();
    if (value !== undefined && value !== false) return value;
    if (systemClock.nowMs() > deadlineMs)
      throw new MedlarlaneError('DEADLINE_EXCEEDED', `Not reached in time: ${description}`);
    await systemClock.sleep(POLL_MS);
  }
}
