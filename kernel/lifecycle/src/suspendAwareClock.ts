import {systemClock} from './clock.js';
import type {Clock} from './clock.js';

/**
 * Wall time may be slewed against the monotonic clock; only a larger difference counts as a
 * suspension or a step of the wall clock.
 */
const MIN_CLOCK_STEP_MS = 50;

/**
 * Creates a monotonic clock that includes the time during which the machine was suspended, which
 * the plain monotonic clock omits. A forward step of the wall clock cannot be distinguished from a
 * suspension and also counts, so that a lease holder stops early rather than late. The grantor of a
 * lease must not use this clock to expire it.
 */
export function createSuspendAwareClock(base: Clock = systemClock): Clock {
  let suspendedMs = 0;
  let lastNowMs = base.nowMs();
  let lastWallMs = base.wallMs();
  return {
    nowMs: () => {
      const nowMs = base.nowMs();
      const wallMs = base.wallMs();
      const clockStepMs = wallMs - lastWallMs - (nowMs - lastNowMs);
      if (clockStepMs > MIN_CLOCK_STEP_MS) suspendedMs += clockStepMs;
      lastNowMs = nowMs;
      lastWallMs = wallMs;
      return nowMs + suspendedMs;
    },
    wallMs: () => base.wallMs(),
    sleep: (durationMs, opts) => base.sleep(durationMs, opts),
  };
}

export const suspendAwareClock: Clock = createSuspendAwareClock();
