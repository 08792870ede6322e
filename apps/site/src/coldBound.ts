import type {ColdBound} from '@medlarlane/key-holds';
import {SEND_WINDOW_MS} from '@medlarlane/admission';
import type {WarmUp} from '@medlarlane/site-config';

export interface ColdTolerance {
  /** Factor and constant by which a cold target tolerates more than its configured rate in any second. */
  readonly coldOverage: number;
  readonly coldSlack: number;
}

const MS_PER_S = 1_000;
/** Requests that are left free, for a health check or one that is counted in the next second. */
const SPARE_REQUESTS = 1;
/** Assumed time for which a target is cold until the configuration is known. */
const UNKNOWN_DURATION_MS = 3_000;

/** Returns the bound of a cold target. The slack only absorbs bursts and delays; it is no rate. */
export function coldBoundOf(warmUp: WarmUp, tolerance: ColdTolerance): ColdBound {
  const {coldOverage, coldSlack} = tolerance;
  const sustainedRps = warmUp.permittedRps * coldOverage;
  return createBound(warmUp.durationMs, sustainedRps, sustainedRps + coldSlack);
}

/**
 * Returns the bound that holds for every configuration. It is in force until a restarted daemon knows the
 * configuration; `undefined` if the deployment has no slack and thus no cold targets.
 */
export function unknownColdBound({coldSlack}: ColdTolerance): ColdBound | undefined {
  return coldSlack > 0 ? createBound(UNKNOWN_DURATION_MS, Infinity, coldSlack) : undefined;
}

function createBound(durationMs: number, sustainedRps: number, perSecond: number): ColdBound {
  const maxPerSecond = Math.max(1, Math.floor(perSecond) - SPARE_REQUESTS);
  const windowRps = (maxPerSecond * MS_PER_S) / SEND_WINDOW_MS;
  return {durationMs, rps: Math.min(sustainedRps, windowRps), maxPerSecond};
}
