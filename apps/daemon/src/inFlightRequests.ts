import type {Clock} from '@medlarlane/lifecycle';
import type {InFlightRequest, PoisonTable} from '@medlarlane/poison';

interface SentRequest {
  readonly fingerprints: () => string[];
  readonly startedAtMs: number;
}

/** Requests that the local target is working on, for blame when it crashes. */
export class InFlightRequests {
  private readonly requests = new Map<string, SentRequest>();

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
  ended(requestId: string, succeeded: boolean): void {
    const request = this.requests.get(requestId);
    this.requests.delete(requestId);
    if (!request || !succeeded || this.poison.isEmpty) return;
    for (const fingerprint of request.fingerprints()) this.poison.completed(fingerprint);
  }

  /** What was in flight now, for a crash of the target. */
  blame(): InFlightRequest[] {
    return [...this.requests.values()].flatMap(({fingerprints, startedAtMs}) =>
      fingerprints().map((fingerprint) => ({fingerprint, startedAtMs})),
    );
  }
}
