import assert from 'node:assert/strict';
import type {TestContext} from 'node:test';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {startReplica} from '@medlarlane/consensus';
import type {Replica, StateMachine} from '@medlarlane/consensus';
import {ManualClock} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';
import type {MemberSet} from '@medlarlane/log-store';
import {MemoryNetwork} from './memoryNetwork.js';
import {emptyDisk, MemoryStore} from './memoryStore.js';
import type {MemoryDisk} from './memoryStore.js';

/** A state machine that stores the commands in order. */
export class CommandList implements StateMachine {
  commands: string[] = [];

  apply({payload}: {payload: Uint8Array}): number {
    return this.commands.push(Buffer.from(payload).toString());
  }

  snapshot(): Uint8Array {
    return new Uint8Array(Buffer.from(JSON.stringify(this.commands)));
  }

  restore(payload: Uint8Array): void {
    this.commands = JSON.parse(Buffer.from(payload).toString()) as string[];
  }
}

export interface TestReplica {
  readonly id: string;
  readonly replica: Replica;
  readonly store: MemoryStore;
  readonly list: CommandList;
  readonly clock: FreezableClock;
}

export interface ReplicaGroupOptions {
  readonly snapshotEveryEntries?: number;
  readonly seed?: number;
}

/** Replicas in one process that share a manual clock and use an in-memory network and disks. */
export class ReplicaGroup {
  readonly clock = new ManualClock();
  readonly random: () => number;
  readonly network: MemoryNetwork;
  readonly disks = new Map<string, MemoryDisk>();
  readonly running = new Map<string, TestReplica>();
  /** Commands whose proposal resolved, with their position in the command list. */
  readonly acknowledged = new Map<string, number>();
  private readonly leadersByTerm = new Map<number, string>();

  constructor(
    readonly members: MemberSet,
    private readonly opts: ReplicaGroupOptions,
  ) {
    const generator = xoroshiro128plus(opts.seed ?? 1);
    this.random = () => uniformFloat64(generator);
    this.network = new MemoryNetwork(this.clock, this.random);
  }

  /** Starts a replica on the disk of its id. */
  start(id: string, bootstrap = true): TestReplica {
    const disk = this.disks.get(id) ?? emptyDisk();
    this.disks.set(id, disk);
    const store = new MemoryStore(id, disk, this.clock);
    const list = new CommandList();
    const clock = new FreezableClock(this.clock);
    const replica = startReplica({
      replicaId: id,
      store,
      clock,
      transport: this.network.transportOf(id),
      stateMachine: list,
      random: this.random,
      ...(bootstrap ? {bootstrap: this.members} : {}),
      ...(this.opts.snapshotEveryEntries
        ? {snapshotIntervalEntries: this.opts.snapshotEveryEntries}
        : {}),
    });
    replica.onRoleChange(({role, term}) => {
      if (role !== 'leader') return;
      assert.equal(this.leadersByTerm.get(term) ?? id, id, `Term ${term} has two leaders`);
      this.leadersByTerm.set(term, id);
    });
    this.network.attach(id, async (request) => {
      await clock.resumed;
      return replica.handle(request);
    });
    const started = {id, replica, store, list, clock};
    this.running.set(id, started);
    return started;
  }

  /** Stops a replica immediately; its unsynced writes are lost. */
  kill(id: string): void {
    const {replica, store} = this.get(id);
    this.network.detach(id);
    this.running.delete(id);
    void store.close();
    void replica.close();
  }

  get(id: string): TestReplica {
    const found = this.running.get(id);
    assert.ok(found, `Replica ${id} is running`);
    return found;
  }

  others(...ids: string[]): string[] {
    return [...this.running.keys()].filter((id) => !ids.includes(id));
  }

  /** Advances time in small steps and checks after each that at most one leader lease is valid. */
  async run(durationMs: number): Promise<void> {
    for (let spentMs = 0; spentMs < durationMs; spentMs += STEP_MS) {
      await this.clock.advance(STEP_MS);
      const valid = [...this.running.values()].filter(({replica}) => replica.isLeaderLeaseValid());
      assert.ok(valid.length <= 1, `Leases of ${valid.map(({id}) => id).join(' and ')} overlap`);
    }
  }

  async until<T>(description: string, condition: () => T | undefined | false): Promise<T> {
    const limitMs = this.clock.nowMs() + 60_000;
    for (;;) {
      const value = condition();
      if (value !== undefined && value !== false) return value;
      assert.ok(this.clock.nowMs() < limitMs, `Timed out waiting for: ${description}`);
      await this.run(STEP_MS);
    }
  }

  leader(among: readonly string[] = this.others()): Promise<TestReplica> {
    return this.until('a leader is ready', () =>
      among
        .map((id) => this.get(id))
        .find(({replica}) => replica.isLeader() && replica.isLeaderLeaseValid()),
    );
  }

  /**
   * Proposes a command once and records its acknowledgement; resolves to `ok` or the error code.
   */
  async propose(to: TestReplica, command: string): Promise<string> {
    try {
      const {index, result} = await to.replica.propose(Buffer.from(command));
      this.assertOnMajority(index);
      this.acknowledged.set(command, result as number);
      return 'ok';
    } catch (failure) {
      if (failure instanceof assert.AssertionError) throw failure;
      return (failure as {code: string}).code;
    }
  }

  /** Checks that an acknowledged entry is on the disks of a majority, not only in memory. */
  private assertOnMajority(index: number): void {
    const voters = this.others().flatMap((id) => this.get(id).replica.status().members.voters);
    const disks = [...this.disks].filter(([id]) => voters.includes(id)).map(([, disk]) => disk);
    const copies = disks.filter(
      ({snapshot, entries}) =>
        (snapshot?.index ?? 0) >= index || (entries.at(-1)?.index ?? 0) >= index,
    );
    assert.ok(copies.length * 2 > this.members.voters.length, `${copies.length} hold ${index}`);
  }

  /** Advances time until a promise settles. */
  async runUntilSettled<T>(promise: Promise<T>): Promise<T> {
    let settled = false;
    const done = promise.finally(() => (settled = true));
    done.catch(() => undefined);
    await this.until('the promise settles', () => settled);
    return done;
  }

  async commit(to: TestReplica, count: number, name = 'command'): Promise<void> {
    const proposed = Array.from({length: count}, (_, i) => this.propose(to, `${name} ${i}`));
    const outcomes = await this.runUntilSettled(Promise.all(proposed));
    assert.deepEqual([...new Set(outcomes)], ['ok']);
  }

  /**
   * Waits until the replicas have applied the same log; checks that no acknowledged command is
   * lost.
   */
  async assertAgreement(among: readonly string[] = this.others()): Promise<void> {
    await this.until('all replicas have applied the same log', () => {
      const replicas = among.map((id) => this.get(id).replica);
      const leads = replicas.some((replica) => replica.isLeader());
      return leads && new Set(replicas.map(({appliedIndex}) => appliedIndex)).size === 1;
    });
    const [first, ...rest] = among.map((id) => this.get(id).list.commands);
    for (const commands of rest) assert.deepEqual(commands, first);
    for (const [command, position] of this.acknowledged) {
      assert.equal(first![position - 1], command, `${command} was acknowledged at ${position}`);
    }
  }
}

export function startGroup(
  test: TestContext,
  ids: readonly string[],
  opts: ReplicaGroupOptions = {},
): ReplicaGroup {
  const addresses = Object.fromEntries(ids.map((id) => [id, `${id}:1`]));
  const group = new ReplicaGroup({voters: [...ids], learners: [], addresses}, opts);
  for (const id of ids) group.start(id);
  test.after(() => group.others().forEach((id) => group.kill(id)));
  return group;
}

/** A clock whose sleeps do not resolve while the process is frozen, although time advances. */
export class FreezableClock implements Clock {
  resumed: Promise<void> = Promise.resolve();
  private wake: (() => void) | undefined;

  constructor(private readonly clock: Clock) {}

  freeze(): void {
    // A second promise would leave the tasks that await the first one blocked forever.
    if (!this.wake) this.resumed = new Promise((resolve) => (this.wake = resolve));
  }

  resume(): void {
    this.wake?.();
    this.wake = undefined;
  }

  nowMs(): number {
    return this.clock.nowMs();
  }

  wallMs(): number {
    return this.clock.wallMs();
  }

  async sleep(durationMs: number, opts: {signal?: AbortSignal} = {}): Promise<void> {
    await this.clock.sleep(durationMs, opts);
    await this.resumed;
  }
}

const STEP_MS = 5;
