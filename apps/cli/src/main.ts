import {text} from 'node:stream/consumers';
import {systemClock} from '@medlarlane/lifecycle';
import {runCli} from './runCli.js';

const INTERRUPTED_EXIT_CODE = 130;

const interrupt = new AbortController();
process.once('SIGINT', () => {
  process.exitCode = INTERRUPTED_EXIT_CODE;
  interrupt.abort();
});
// A reader such as head may close the pipe early.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  process.exit(error.code === 'EPIPE' ? 0 : 1);
});

const exitCode = await runCli(process.argv.slice(2), {
  write: (chunk) => process.stdout.write(chunk),
  writeError: (chunk) => process.stderr.write(chunk),
  isTerminal: process.stdout.isTTY === true,
  env: process.env,
  clock: systemClock,
  readStandardInput: () => text(process.stdin),
  signal: interrupt.signal,
});
process.exitCode ??= exitCode;
