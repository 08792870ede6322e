/** Injects random faults into a running system: `npm run fuzz -- --seed N --minutes M`. */
import {parseArgs} from 'node:util';
import {runRandomFaults} from '@medlarlane/fault-tables';

const {values} = parseArgs({
  options: {seed: {type: 'string'}, minutes: {type: 'string', default: '1'}},
});
const seed = Number(values.seed ?? Math.floor(Math.random() * 2 ** 31));
const minutes = Number(values.minutes);
if (!Number.isSafeInteger(seed) || !(minutes > 0)) {
  console.error('Expected --seed <integer> --minutes <positive number>');
  process.exit(2);
}
console.log(`seed ${seed}`);
const result = await runRandomFaults({
  seed,
  durationMs: minutes * 60_000,
  print: (line) => console.log(line),
});
console.log(JSON.stringify({seed, minutes, ...result}, null, 2));
process.exit(result.violations.length > 0 ? 1 : 0);
