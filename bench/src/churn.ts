import {atMost, roundFigure, type BenchOptions, type Figure} from './figure.js';
import {PlacementSimulation, type RoundResult} from './placementSimulation.js';

const ROUNDS = 48;
/** Allowed ratio of moved positions to the minimum of about 1/n per membership change. */
const MAX_RATIO_TO_MINIMUM = 1.25;

const CASES = [
  {servers: 5, weighsMost: 'churn'},
  {servers: 6, weighsMost: 'unavailable-time'},
  {servers: 50, weighsMost: 'churn'},
] as const;

/** Measures moved positions while settling, when settled, and per hot-key change, join and leave. */
export function churn({trials}: BenchOptions): Figure[] {
  return CASES.flatMap(({servers, weighsMost}) => {
    const worst = new Map<string, number>();
    const recordWorst = (name: string, value: number): void => {
      worst.set(name, Math.max(worst.get(name) ?? 0, value));
    };
    for (let seed = 1; seed <= trials; seed++) {
      const simulation = new PlacementSimulation({servers, weighsMost, seed});
      recordWorst('settling', sumMovedFractions(simulation.runRounds(ROUNDS)));
      recordWorst('steady', sumMovedFractions(simulation.runRounds(ROUNDS)));
      simulation.changeHotKeys();
      recordWorst('hot-key-change', sumMovedFractions(simulation.runRounds(ROUNDS)));
      const joinedSession = simulation.addServer();
      recordWorst(
        'join-over-least',
        sumMovedFractions(simulation.runRounds(ROUNDS)) * (servers + 1),
      );
      const leaverFraction = simulation.ownedFraction(joinedSession.sessionId);
      joinedSession.draining = true;
      recordWorst(
        'leave-over-least',
        sumMovedFractions(simulation.runRounds(ROUNDS)) / leaverFraction,
      );
    }
    const prefix = `churn.servers-${servers}`;
    const fraction = (name: string): Figure => ({
      name: `${prefix}.${name}`,
      value: roundFigure(worst.get(name)!),
      unit: 'share of positions',
    });
    const ratioToMinimum = (name: string): Figure =>
      atMost(
        `${prefix}.${name}`,
        roundFigure(worst.get(name)!),
        'moved/least',
        MAX_RATIO_TO_MINIMUM,
      );
    return [
      fraction('settling'),
      atMost(`${prefix}.steady`, roundFigure(worst.get('steady')!), 'share of positions', 0),
      fraction('hot-key-change'),
      ratioToMinimum('join-over-least'),
      ratioToMinimum('leave-over-least'),
    ];
  });
}

function sumMovedFractions(rounds: readonly RoundResult[]): number {
  return rounds.reduce((sum, {movedFraction}) => sum + movedFraction, 0);
}
