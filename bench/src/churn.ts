import {atMost, rounded, type BenchOptions, type Figure} from './figure.js';
import {PlacementRun, type RoundResult} from './placementRun.js';

const ROUNDS = 48;
/** "About 1/n" of the positions per change of membership. */
const OVER_LEAST_BOUND = 1.25;

const CASES = [
  {servers: 5, weighsMost: 'churn'},
  {servers: 6, weighsMost: 'unavailable-time'},
  {servers: 50, weighsMost: 'churn'},
] as const;

/** Counts moved positions while settling, after a hot-key change, in steady state, and per join and leave. */
export function churn({trials}: BenchOptions): Figure[] {
  return CASES.flatMap(({servers, weighsMost}) => {
    const worst = new Map<string, number>();
    const note = (name: string, value: number): void => {
      worst.set(name, Math.max(worst.get(name) ?? 0, value));
    };
    for (let seed = 1; seed <= trials; seed++) {
      const run = new PlacementRun({servers, weighsMost, seed});
      note('settling', moved(run.rounds(ROUNDS)));
      note('steady', moved(run.rounds(ROUNDS)));
      run.changeHotKeys();
      note('hot-key-change', moved(run.rounds(ROUNDS)));
      const joined = run.join();
      note('join-over-least', moved(run.rounds(ROUNDS)) * (servers + 1));
      const shareOfLeaver = run.ownedShare(joined.sessionId);
      joined.draining = true;
      note('leave-over-least', moved(run.rounds(ROUNDS)) / shareOfLeaver);
    }
    const prefix = `churn.servers-${servers}`;
    const share = (name: string): Figure => ({
      name: `${prefix}.${name}`,
      value: rounded(worst.get(name)!),
      unit: 'share of positions',
    });
    const overLeast = (name: string): Figure =>
      atMost(`${prefix}.${name}`, rounded(worst.get(name)!), 'moved/least', OVER_LEAST_BOUND);
    return [
      share('settling'),
      atMost(`${prefix}.steady`, rounded(worst.get('steady')!), 'share of positions', 0),
      share('hot-key-change'),
      overLeast('join-over-least'),
      overLeast('leave-over-least'),
    ];
  });
}

function moved(rounds: readonly RoundResult[]): number {
  return rounds.reduce((sum, {movedShare}) => sum + movedShare, 0);
}
