/** Writes docs/BENCHMARKS.md: the newest recorded figure of each name in bench/recorded/*.jsonl. */
import {readFileSync, readdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';

const root = path.resolve(import.meta.dirname, '..');
const recorded = path.join(root, 'bench/recorded');
const INTRODUCTION = `# Benchmarks

The newest recorded figures. A bench is run by \`npm run bench -- NAME\`, and recorded with \`--record\`;
\`npm run benchmarks\` rewrites this page. Timed figures depend on the machine and on what else it did; the
commit bodies that record them say so. A bound comes from a stated target.
`;

const sections = readdirSync(recorded)
  .filter((file) => file.endsWith('.jsonl'))
  .sort()
  .map((file) => renderSection(file));
writeFileSync(path.join(root, 'docs/BENCHMARKS.md'), [INTRODUCTION, ...sections].join('\n'));

function renderSection(file) {
  const newest = new Map();
  for (const line of readFileSync(path.join(recorded, file), 'utf8').split('\n').filter(Boolean)) {
    const figure = JSON.parse(line);
    newest.set(figure.name, figure);
  }
  const rows = [...newest.values()].map(
    ({name, value, unit, bound, pass, commit, date}) =>
      `| ${name} | ${value} | ${unit} | ${bound ?? ''} | ${formatVerdict(pass)} | ${commit} | ${date} |`,
  );
  return [
    `## ${path.basename(file, '.jsonl')}`,
    '',
    '| Figure | Value | Unit | Bound | Verdict | Commit | Date |',
    '| --- | --- | --- | --- | --- | --- | --- |',
    ...rows,
    '',
  ].join('\n');
}

function formatVerdict(pass) {
  if (pass === undefined) return '';
  return pass ? 'met' : 'not met';
}
