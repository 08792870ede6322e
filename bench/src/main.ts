import {execFileSync} from 'node:child_process';
import {appendFileSync, mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {defineCommand, runMain} from 'citty';
import type {Bench, Figure} from './figure.js';
import {registry} from './registry.js';
import {renderReport} from './renderReport.js';

const RECORDED_FOLDER = path.resolve(import.meta.dirname, '../../recorded');

const DEFAULT_TRIALS = 3;

const command = defineCommand({
  meta: {name: 'bench', description: 'Runs benches and prints one JSON line per figure.'},
  args: {
    name: {type: 'positional', required: false, description: 'Bench to run'},
    list: {type: 'boolean', description: 'List the benches'},
    ci: {type: 'boolean', description: 'Run the deterministic benches; exit 1 when a bound fails'},
    slopes: {type: 'boolean', description: 'Run the benches that measure slopes'},
    report: {type: 'boolean', description: 'Render the recorded figures as an HTML page'},
    record: {type: 'boolean', description: 'Append the figures to the recorded ones'},
    trials: {type: 'string', description: 'Repetitions (default: that of the bench, or 3)'},
  },
  run: async ({args}) => {
    if (args.list) return printList();
    if (args.report) return writeReport();
    const names = selectBenches(args);
    const givenTrials = args.trials === undefined ? undefined : Number(args.trials);
    if (names === undefined || !isPositiveInteger(givenTrials ?? 1)) {
      console.error('Expected the name of a bench (see --list) and a positive number of trials');
      process.exitCode = 2;
      return;
    }
    for (const name of names) {
      const {run, defaultTrials = DEFAULT_TRIALS} = registry[name]!;
      const trials = givenTrials ?? defaultTrials;
      const figures = await run({trials});
      for (const figure of figures) console.log(JSON.stringify(withoutPoints(figure)));
      if (args.record) recordFigures(name, figures, trials);
      if (args.ci && figures.some(({pass}) => pass === false)) process.exitCode = 1;
    }
  },
});

await runMain(command);

function isPositiveInteger(value: number): boolean {
  return Number.isInteger(value) && value >= 1;
}

function printList(): void {
  for (const [name, {kind, description}] of Object.entries(registry)) {
    console.log(`${name.padEnd(20)} ${kind.padEnd(6)} ${description}`);
  }
}

function selectBenches(args: {
  name?: string | undefined;
  ci?: boolean | undefined;
  slopes?: boolean | undefined;
}): string[] | undefined {
  const namesOfKind = (kind: Bench['kind']): string[] =>
    Object.keys(registry).filter((name) => registry[name]!.kind === kind);
  if (args.ci) return namesOfKind('count');
  if (args.slopes) return namesOfKind('slope');
  return args.name !== undefined && Object.hasOwn(registry, args.name) ? [args.name] : undefined;
}

function withoutPoints({points: _, pointsX: __, ...figure}: Figure): Figure {
  return figure;
}

function recordFigures(bench: string, figures: readonly Figure[], trials: number): void {
  mkdirSync(RECORDED_FOLDER, {recursive: true});
  const stamp = {bench, trials, commit: currentCommit(), date: new Date().toISOString()};
  const lines = figures.map((figure) => `${JSON.stringify({...figure, ...stamp})}\n`);
  appendFileSync(path.join(RECORDED_FOLDER, `${bench}.jsonl`), lines.join(''));
}

function currentCommit(): string {
  const git = (...args: string[]): string =>
    execFileSync('git', args, {cwd: import.meta.dirname, encoding: 'utf8'}).trim();
  const excludedFolders = [':(top,exclude)bench/recorded', ':(top,exclude)docs'];
  const changed = git('status', '--porcelain', '-uno', '--', ':(top)', ...excludedFolders);
  return git('rev-parse', '--short', 'HEAD') + (changed === '' ? '' : '-changed');
}

function writeReport(): void {
  const file = path.join(RECORDED_FOLDER, 'report.html');
  writeFileSync(file, renderReport(RECORDED_FOLDER));
  console.log(path.relative(process.cwd(), file));
}
