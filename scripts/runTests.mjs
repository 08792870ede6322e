/** Runs the compiled tests of all packages, or of the packages whose folders are given as arguments. */
import {spawnSync} from 'node:child_process';
import {existsSync, readFileSync, readdirSync} from 'node:fs';
import path from 'node:path';

const DOMAINS = [
  'kernel',
  'protocol',
  'control',
  'routing',
  'targets',
  'apps',
  'testing',
  'platform',
  'bench',
];
// A system test starts up to ten processes. With more files in parallel, process startup delays the
// elections of other tests.
const MAX_PARALLEL_FILES = 2;
const root = path.resolve(import.meta.dirname, '..');

const knownFailures = readKnownFailures();
const folders = process.argv.slice(2).length > 0 ? process.argv.slice(2) : DOMAINS;
const files = folders.flatMap((folder) => testFiles(path.join(root, folder)));
const skipped = files.filter((file) => knownFailures.has(path.relative(root, file)));
if (files.length === 0) {
  console.error(`No compiled tests in ${folders.join(', ')}`);
  process.exit(1);
}
for (const file of skipped)
  console.log(`Not run, listed in KNOWN-RED.txt: ${path.relative(root, file)}`);
const run = spawnSync(
  process.execPath,
  [
    '--test',
    `--test-concurrency=${MAX_PARALLEL_FILES}`,
    ...files.filter((file) => !skipped.includes(file)),
  ],
  {cwd: root, stdio: 'inherit'},
);
process.exit(run.status ?? 1);

function testFiles(folder) {
  if (!existsSync(folder)) return [];
  return readdirSync(folder, {recursive: true})
    .filter((file) => file.endsWith('.test.js') && !file.includes('node_modules'))
    .filter((file) =>
      existsSync(path.join(folder, file.replace(/(^|\/)lib\//, '$1').replace(/\.js$/, '.ts'))),
    )
    .map((file) => path.join(folder, file))
    .sort();
}

/** Returns the compiled test files listed in KNOWN-RED.txt on lines that start with `test:`. */
function readKnownFailures() {
  const file = path.join(root, 'KNOWN-RED.txt');
  if (!existsSync(file)) return new Set();
  const lines = readFileSync(file, 'utf8').split('\n');
  return new Set(
    lines.filter((line) => line.startsWith('test:')).map((line) => line.slice(5).trim()),
  );
}
