import {setTimeout as delay} from 'node:timers/promises';
import {runDemo} from './runDemo.js';

const ONCE_TIMEOUT_MS = 50_000;

const runsOnce = process.argv.includes('--once');
if (runsOnce) {
  // A run that hangs must fail.
  setTimeout(() => {
    console.error('FAILED: the demo took longer than 50 s');
    process.exit(1);
  }, ONCE_TIMEOUT_MS).unref();
}

const demo = await runDemo({print: (line) => console.log(line)});
if (runsOnce) {
  await demo.dispose();
  process.exitCode = demo.failures.length === 0 ? 0 : 1;
} else {
  const stop = new AbortController();
  process.once('SIGINT', () => stop.abort()).once('SIGTERM', () => stop.abort());
  console.log('The system keeps running. Press Ctrl+C to stop it.');
  while (!stop.signal.aborted) {
    await delay(60_000, undefined, {signal: stop.signal}).catch(() => undefined);
  }
  await demo.dispose();
}
