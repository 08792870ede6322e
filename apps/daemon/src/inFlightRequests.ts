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

// A crash resets the connections of requests in flight before the crash is detected.
const RESET_RETENTION_MS = 2000;

/** Requests in flight at the local target, which are suspects when the target crashes. */
export class InFlightRequests {
  private readonly requests = new Map<string, SentRequest>();
  private resetRequests: ResetRequest[] = [];

  constructor(
    private readonly poison: PoisonTable,
    private readonly clock: Clock,
  ) {}

  get count(): number {
    return this.requests.size;
  }

  recordSent(requestId: string, fingerprints: () => string[]): void {
    this.requests.set(requestId, {fingerprints, startedAtMs: this.clock.nowMs()});
  }

  /** Records the end of a request. A request that succeeded is cleared of earlier crashes. */
  recordEnded(requestId: string, {outcome, isAnswered}: RequestCompletion): void {
    const request = this.requests.get(requestId);
    this.requests.delete(requestId);
    if (!request) return;
    if (outcome === 'failed' && !isAnswered) {
      this.removeExpiredResets();
      this.resetRequests.push({...request, endedAtMs: this.clock.nowMs()});
    }
    if (outcome !== 'ok' || this.poison.isEmpty) return;
    for (const fingerprint of request.fingerprints()) this.poison.recordSuccess(fingerprint);
  }

  /** Returns the requests that were in flight when the target crashed. */
  takeCrashSuspects(): InFlightRequest[] {
    this.removeExpiredResets();
    const suspects = [...this.requests.values(), ...this.resetRequests];
    this.resetRequests = [];
    return suspects.flatMap(({fingerprints, startedAtMs}) =>
      fingerprints().map((fingerprint) => ({fingerprint, startedAtMs})),
    );
  }

  private removeExpiredResets(): void {
    const sinceMs = this.clock.nowMs() - RESET_RETENTION_MS;
    this.resetRequests = this.resetRequests.filter(({endedAtMs}) => endedAtMs >= sinceMs);
  }
}
