import {systemClock} from './clock.js';
import type {Clock} from './clock.js';

/**
 * Wall time may be slewed against the monotonic clock; only a larger difference is taken for a
 * suspension or a step.
 */
const STEP_MS = 50;

/**
 * A monotonic clock that also counts time during which the machine was suspended, which the plain
 * monotonic clock leaves out. A forward step of the time of day looks the same and counts too, so
 * that holders of a lease give it up early rather than late. Granters must not use it to end leases.
 */
export function createSuspendAwareClock(base: Clock = systemClock): Clock {
  let skippedMs = 0;
  let lastNowMs = base.nowMs();
  let lastWallMs = base.wallMs();
  return {
    nowMs: () => {
      const nowMs = base.nowMs();
      const wallMs = base.wallMs();
      const skipMs = wallMs - lastWallMs - (nowMs - lastNowMs);
      if (skipMs > STEP_MS) skippedMs += skipMs;
      lastNowMs = nowMs;
      lastWallMs = wallMs;
      return nowMs + skippedMs;
    },
    wallMs: () => base.wallMs(),
    sleep: (durationMs, opts) => base.sleep(durationMs, opts),
  };
}

export const suspendAwareClock: Clock = createSuspendAwareClock();
