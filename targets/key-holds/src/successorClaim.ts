import type {Clock} from '@medlarlane/lifecycle';

/** The fields of a heartbeat that identify an incarnation, and its order among the heartbeats of it. */
interface ClaimingHeartbeat {
  readonly targetId: string;
  readonly startedAtMs: number;
  readonly sequence: number;
}

interface Claim extends ClaimingHeartbeat {
  readonly firstAtMs: number;
}

/**
 * An incarnation whose heartbeats arrive although nothing shows that the current one has ended. Only one process can
 * listen at the target's address, so the claim is refuted by the next heartbeat of the current incarnation.
 */
export class SuccessorClaim {
  private claim: Claim | undefined;

  constructor(private readonly steadyClock: Clock) {}

  /**
   * Records a heartbeat of the claimant. Returns the time since its first one, in milliseconds; `undefined` for a
   * repetition. A heartbeat of yet another incarnation starts a new claim.
   */
  record({targetId, startedAtMs, sequence}: ClaimingHeartbeat): number | undefined {
    const nowMs = this.steadyClock.nowMs();
    const known = this.claim;
    const isSameClaimant = known?.targetId === targetId && known.startedAtMs === startedAtMs;
    if (isSameClaimant && sequence <= known.sequence) return undefined;
    const firstAtMs = isSameClaimant ? known.firstAtMs : nowMs;
    this.claim = {targetId, startedAtMs, sequence, firstAtMs};
    return nowMs - firstAtMs;
  }

  /** Called when the current incarnation was heard or replaced. */
  reset(): void {
    this.claim = undefined;
  }
}
