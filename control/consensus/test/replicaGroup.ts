import assert from 'node:assert/strict';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import type {TestContext} from 'node:test';
import {startReplica} from '@medlarlane/consensus';
import type {Replica, ReplicaTimings, StateMachine} from '@medlarlane/consensus';
import {systemClock} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';
import {nodeFileSystem, openLogStore} from '@medlarlane/log-store';
import type {FileSystem, LogStore, MemberSet, StoreFile} from '@medlarlane/log-store';
import {MemoryNetwork} from './memoryNetwork.js';

/** A state machine that keeps the commands in order. */
export class CommandList implements StateMachine {
  commands: string[] = [];

  apply({payload}: {payload: Uint8Array}): number {
    return this.commands.push(Buffer.from(payload).toString());
  }

  snapshot(): Uint8Array {
    return Buffer.from(JSON.stringify(this.commands));
  }

  restore(payload: Uint8Array): void {
    this.commands = JSON.parse(Buffer.from(payload).toString()) as string[];
  }
}

export interface TestReplica {
  readonly replica: Replica;
  readonly store: LogStore;
  readonly list: CommandList;
  readonly files: DiskFaults;
}

export interface DiskFaults extends FileSystem {
  /** Writes and syncs fail from now on. */
  broken: boolean;
}

export interface ReplicaGroupOptions {
  readonly clock?: Clock;
  readonly timings?: Partial<ReplicaTimings>;
  readonly snapshotEveryEntries?: number;
  readonly random?: () => number;
}

/** Replicas in one process on real files and an in-memory network. */
export class ReplicaGroup {
  readonly network: MemoryNetwork;
  readonly running = new Map<string, TestReplica>();
  /** Leaders seen per term, over the life of the group. */
  readonly leadersByTerm = new Map<number, Set<string>>();

  constructor(
    private readonly folder: string,
    readonly members: MemberSet,
    private readonly opts: ReplicaGroupOptions,
  ) {
    this.network = new MemoryNetwork(opts.random);
  }

  async start(
    replicaId: string,
    opts: {bootstrap?: boolean; folder?: string} = {},
  ): Promise<TestReplica> {
    const files = diskFaults();
    const store = await openLogStore(path.join(this.folder, opts.folder ?? replicaId), {
      replicaId,
      files,
    });
    const list = new CommandList();
    const {clock, ...settings} = this.opts;
    const replica = startReplica({
      ...settings,
      clock: clock ?? systemClock,
      replicaId,
      store,
      transport: this.network.transportOf(replicaId),
      stateMachine: list,
      ...((opts.bootstrap ?? true) ? {bootstrap: this.members} : {}),
    });
    replica.onRoleChange(({role, term}) => {
      if (role !== 'leader') return;
      const leaders = this.leadersByTerm.get(term) ?? new Set();
      this.leadersByTerm.set(term, leaders.add(replicaId));
    });
    this.network.attach(replicaId, (request) => replica.handle(request));
    const started = {replica, store, list, files};
    this.running.set(replicaId, started);
    return started;
  }

  /** Ends a replica at once: it answers nothing more and its unsynced writes fail. */
  async kill(replicaId: string): Promise<void> {
    const {replica, store, files} = this.get(replicaId);
    this.network.detach(replicaId);
    this.running.delete(replicaId);
    files.broken = true;
    await replica.close();
    await store.close();
  }

  get(replicaId: string): TestReplica {
    const found = this.running.get(replicaId);
    assert.ok(found, `Replica ${replicaId} runs`);
    return found;
  }

  /** The replica that leads with a valid lease, once there is one. */
  async leader(among: readonly string[] = [...this.running.keys()]): Promise<TestReplica> {
    return until('a leader is ready', () =>
      among
        .map((id) => this.running.get(id))
        .find((found) => found?.replica.isLeader() && found.replica.leaderLeaseValid()),
    );
  }

  /** Proposes until one leader accepts; the command may be in the log twice. */
  async propose(command: string, among?: readonly string[]): Promise<void> {
    for (;;) {
      const {replica} = await this.leader(among);
      try {
        await replica.propose(Buffer.from(command));
        return;
      } catch {
        await delay(5);
      }
    }
  }

  /** Waits until all running replicas have applied the same commands, and returns them. */
  async agreement(among: readonly string[] = [...this.running.keys()]): Promise<string[]> {
    await this.propose('agreement', among);
    const {replica, list} = await this.leader(among);
    const index = replica.commitIndex;
    await until('all replicas have applied the log', () =>
      among.every((id) => this.get(id).replica.appliedIndex >= index),
    );
    const commands = [...list.commands];
    for (const id of among) {
      assert.deepEqual(this.get(id).list.commands.slice(0, commands.length), commands);
    }
    return commands;
  }

  assertOneLeaderPerTerm(): void {
    for (const [term, leaders] of this.leadersByTerm) {
      assert.equal(leaders.size, 1, `Term ${term} has leaders ${[...leaders].join(', ')}`);
    }
  }
}

export async function startGroup(
  test: TestContext,
  ids: readonly string[],
  opts: ReplicaGroupOptions = {},
): Promise<ReplicaGroup> {
  const folder = await mkdtemp(path.join(tmpdir(), 'consensus-'));
  const addresses = Object.fromEntries(ids.map((id) => [id, `${id}:1`]));
  const group = new ReplicaGroup(folder, {voters: [...ids], learners: [], addresses}, opts);
  test.after(async () => {
    group.network.heal();
    for (const id of [...group.running.keys()]) await group.kill(id);
    await rm(folder, {recursive: true, force: true});
  });
  for (const id of ids) await group.start(id);
  return group;
}

/** Waits for a condition. The limit only ends a run that hangs. */
export async function until<T>(
  what: string,
  condition: () => T | undefined | false,
  limitMs = 60_000,
): Promise<T> {
  const startedMs = performance.now();
  for (;;) {
    const value = condition();
    if (value !== undefined && value !== false) return value;
    assert.ok(performance.now() - startedMs < limitMs, `Not within ${limitMs} ms: ${what}`);
    await delay(5);
  }
}

function diskFaults(): DiskFaults {
  const wrap = (file: StoreFile): StoreFile => ({
    ...file,
    write: async (bytes, position) => {
      if (faults.broken) throw new Error('ENOSPC: no space left on device');
      await file.write(bytes, position);
    },
    sync: async () => {
      if (faults.broken) throw new Error('EIO: i/o error');
      await file.sync();
    },
  });
  const faults: DiskFaults = {
    ...nodeFileSystem,
    broken: false,
    open: async (file, mode) => wrap(await nodeFileSystem.open(file, mode)),
  };
  return faults;
}
