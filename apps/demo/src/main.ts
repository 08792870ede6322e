import {setTimeout as delay} from 'node:timers/promises';
import {runDemo} from './runDemo.js';

const ONCE_LIMIT_MS = 50_000;

const once = process.argv.includes('--once');
if (once) {
  // A hang must not look like a pass.
  setTimeout(() => {
    console.error('FAILED: the demo took longer than 50 s');
    process.exit(1);
  }, ONCE_LIMIT_MS).unref();
}

const demo = await runDemo({print: (line) => console.log(line)});
if (once) {
  await demo.dispose();
  process.exitCode = demo.failures.length === 0 ? 0 : 1;
} else {
  const stop = new AbortController();
  process.once('SIGINT', () => stop.abort()).once('SIGTERM', () => stop.abort());
  console.log('The system stays up. Press Ctrl+C to stop it.');
  while (!stop.signal.aborted) {
    await delay(60_000, undefined, {signal: stop.signal}).catch(() => undefined);
  }
  await demo.dispose();
}
