import type {RequestCompletion} from '@medlarlane/forwarder';
import type {Clock} from '@medlarlane/lifecycle';
import type {InFlightRequest, PoisonTable} from '@medlarlane/poison';

interface SentRequest {
  readonly fingerprints: () => string[];
  readonly startedAtMs: number;
}

interface ResetRequest extends SentRequest {
  readonly endedAtMs: number;
}

// A crash resets the connections of the requests in flight before it is confirmed as a crash.
const RESET_MEMORY_MS = 2000;

/** Requests that the local target is working on, for blame when it crashes. */
export class InFlightRequests {
  private readonly requests = new Map<string, SentRequest>();
  private reset: ResetRequest[] = [];

  constructor(
    private readonly poison: PoisonTable,
    private readonly clock: Clock,
  ) {}

  get count(): number {
    return this.requests.size;
  }

  sent(requestId: string, fingerprints: () => string[]): void {
    this.requests.set(requestId, {fingerprints, startedAtMs: this.clock.nowMs()});
  }

  /** A request that succeeded is no longer suspected of an earlier crash. */
  ended(requestId: string, {outcome, isAnswered}: RequestCompletion): void {
    const request = this.requests.get(requestId);
    this.requests.delete(requestId);
    if (!request) return;
    if (outcome === 'failed' && !isAnswered) {
      this.forgetOldResets();
      this.reset.push({...request, endedAtMs: this.clock.nowMs()});
    }
    if (outcome !== 'ok' || this.poison.isEmpty) return;
    for (const fingerprint of request.fingerprints()) this.poison.recordSuccess(fingerprint);
  }

  /** What was in flight when the target crashed just now. */
  blame(): InFlightRequest[] {
    this.forgetOldResets();
    const suspects = [...this.requests.values(), ...this.reset];
    this.reset = [];
    return suspects.flatMap(({fingerprints, startedAtMs}) =>
      fingerprints().map((fingerprint) => ({fingerprint, startedAtMs})),
    );
  }

  private forgetOldResets(): void {
    const sinceMs = this.clock.nowMs() - RESET_MEMORY_MS;
    this.reset = this.reset.filter(({endedAtMs}) => endedAtMs >= sinceMs);
  }
}
