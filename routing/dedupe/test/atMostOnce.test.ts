import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {v7} from 'uuid';
import {IdempotencyTable} from '@medlarlane/dedupe';
import type {Run} from '@medlarlane/dedupe';
import {MedlarlaneError} from '@medlarlane/errors';
import {ManualClock} from '@medlarlane/lifecycle';

const SERVICE = 'tharangam/permit-desk';
const END = 100;
const DAEMONS = 3;

interface Daemon {
  readonly clock: ManualClock;
  table: IdempotencyTable;
}

interface Attempt {
  readonly id: string;
  readonly run: Run;
}

/** Three daemons, two ranges, and a log that decides ownership as the control side would. */
class World {
  readonly ids: Array<{id: string; position: number}> = [];
  /** Attempts of each id that may have run. */
  readonly runs = new Map<string, number>();
  readonly running: Attempt[] = [];
  readonly replays = {recorded: 0, unknown: 0};
  private readonly daemons: Daemon[];
  private readonly owners = [0, 1];
  private moves = 0;

  constructor(skewsMs: readonly number[]) {
    this.daemons = skewsMs.map((skewMs) => {
      const clock = new ManualClock(1_700_000_000_000 + skewMs);
      return {clock, table: newTable(clock)};
    });
    this.owners.forEach((owner, half) => this.daemon(owner).table.takeOver(rangeOf(half)));
  }

  async send(pick: number, aheadMs: number): Promise<void> {
    // Two in three requests resend one of the last eight ids.
    const resent = pick % 3 === 0 ? undefined : this.ids.at(-1 - (pick % 8));
    const known = resent ?? this.newId(pick, aheadMs);
    const {table, clock} = this.daemon(this.owners[known.position < END / 2 ? 0 : 1]!);
    try {
      const request = {...known, service: SERVICE, digest: known.id};
      const result = await table.begin({...request, deadlineMs: clock.nowMs()});
      if (result.kind === 'recorded') {
        this.replays.recorded += 1;
        assert.equal(new TextDecoder().decode(result.response.body), known.id);
        return;
      }
      const runs = (this.runs.get(known.id) ?? 0) + 1;
      this.runs.set(known.id, runs);
      assert.ok(runs <= 1, `${known.id} runs again`);
      this.running.push({id: known.id, run: result.run});
    } catch (failure) {
      if (!(failure instanceof MedlarlaneError)) throw failure;
      if (failure.code === 'OUTCOME_UNKNOWN') this.replays.unknown += 1;
    }
  }

  finish(pick: number, outcome: 'done' | 'unknown' | 'not-run'): void {
    const [attempt] = this.running.splice(pick % Math.max(1, this.running.length), 1);
    if (!attempt) return;
    const {id, run} = attempt;
    if (outcome === 'done') {
      run.finish({status: 200, headers: [], body: new TextEncoder().encode(id)});
    } else if (outcome === 'unknown') run.markUnknown();
    else {
      run.markNotRun();
      this.runs.set(id, (this.runs.get(id) ?? 1) - 1);
    }
  }

  /** The owner of a half loses its memory or only its lease; another daemon takes its ranges over. */
  lose(half: number, keepsMemory: boolean): void {
    const lost = this.owners[half]!;
    const daemon = this.daemon(lost);
    if (keepsMemory) daemon.table.releaseAll();
    else daemon.table = newTable(daemon.clock);
    this.owners.forEach((owner, index) => {
      if (owner !== lost) return;
      this.owners[index] = (lost + 1) % DAEMONS;
      this.daemon(this.owners[index]!).table.takeOver(rangeOf(index));
    });
  }

  async move(half: number, end: 'finished' | 'cancelled' | 'cut' | 'owner lost'): Promise<void> {
    const from = this.daemon(this.owners[half]!);
    const to = (this.owners[half]! + 2) % DAEMONS;
    const {table} = this.daemon(to);
    const move = {...rangeOf(half), moveId: `move ${(this.moves += 1)}`};
    const chunks: Uint8Array[] = [];
    for await (const chunk of from.table.exportRange(move)) chunks.push(chunk);
    if (end === 'cut') chunks.pop();
    try {
      for (const chunk of chunks) table.importRange(chunk);
    } catch (failure) {
      // The records of the earlier owner need not fit beside those of the next one.
      assert.ok(failure instanceof MedlarlaneError && failure.code === 'OVERLOADED');
    }
    if (end === 'cancelled') from.table.resume(move);
    else if (end === 'owner lost') this.lose(half, false);
    else {
      from.table.release(move);
      table.acceptMove(move);
      this.owners[half] = to;
    }
  }

  async advance(byMs: number): Promise<void> {
    for (const {clock} of this.daemons) await clock.advance(byMs);
  }

  private newId(pick: number, aheadMs: number): {id: string; position: number} {
    const msecs = 1_700_000_000_000 + this.daemon(0).clock.nowMs() + aheadMs;
    const created = {id: v7({msecs}), position: pick % END};
    this.ids.push(created);
    return created;
  }

  private daemon(index: number): Daemon {
    return this.daemons[index]!;
  }
}

function newTable(clock: ManualClock): IdempotencyTable {
  return new IdempotencyTable({clock, maxBytes: 2_000, retentionMs: 60_000});
}

function rangeOf(half: number): {service: string; from: number; to: number} {
  return {service: SERVICE, from: (half * END) / 2, to: ((half + 1) * END) / 2};
}

test('A request runs at most once under losses, moves, cancelled moves, resends and clock skew', async () => {
  const half = fc.nat(1);
  const pick = fc.nat(1_000);
  const step = fc.oneof(
    {
      weight: 8,
      arbitrary: fc.tuple(pick, fc.integer({min: -200, max: 300})).map(
        ([one, aheadMs]) =>
          (world: World) =>
            world.send(one, aheadMs),
      ),
    },
    {
      weight: 8,
      arbitrary: fc
        .tuple(pick, fc.constantFrom(...(['done', 'done', 'unknown', 'not-run'] as const)))
        .map(
          ([one, outcome]) =>
            async (world: World) =>
              world.finish(one, outcome),
        ),
    },
    {
      weight: 2,
      arbitrary: fc
        .tuple(
          half,
          fc.constantFrom(...(['finished', 'finished', 'cancelled', 'cut', 'owner lost'] as const)),
        )
        .map(
          ([one, end]) =>
            (world: World) =>
              world.move(one, end),
        ),
    },
    {
      weight: 1,
      arbitrary: fc.tuple(half, fc.boolean()).map(
        ([one, keepsMemory]) =>
          async (world: World) =>
            world.lose(one, keepsMemory),
      ),
    },
    {
      weight: 3,
      arbitrary: fc
        .constantFrom(0, 10, 100, 300, 600, 600, 2_000, 59_900, 70_000)
        .map((byMs) => (world: World) => world.advance(byMs)),
    },
  );
  const skewsMs = fc.array(fc.integer({min: -120, max: 120}), {
    minLength: DAEMONS,
    maxLength: DAEMONS,
  });
  const seen = {runs: 0, recorded: 0, unknown: 0};
  const property = fc.asyncProperty(
    skewsMs,
    fc.array(step, {minLength: 60, maxLength: 160}),
    async (skews, steps) => {
      const world = new World(skews);
      await world.advance(1_000);
      for (const apply of steps) await apply(world);
      for (const runs of world.runs.values()) seen.runs += runs;
      seen.recorded += world.replays.recorded;
      seen.unknown += world.replays.unknown;
    },
  );
  await fc.assert(property, {seed: 77_031, numRuns: 400});
  // The property would hold for a table that refuses everything.
  assert.ok(seen.runs > 1_000 && seen.recorded > 500 && seen.unknown > 500, JSON.stringify(seen));
});
