import {z} from 'zod';
import type {Clock} from '@medlarlane/lifecycle';

const grantRangeSchema = z.object({
  startPosition: z.number().min(0),
  /** End of the range, exclusive. */
  endPosition: z.number().min(0),
  epoch: z.int().min(0),
});
type GrantRange = z.infer<typeof grantRangeSchema>;

/** Body of `PUT /.medlarlane/grant`. Without `ranges` the grant covers every position. */
export const grantSchema = z.object({
  epoch: z.int().min(0),
  expiresInMs: z.number().min(0).max(60_000),
  ranges: z.array(grantRangeSchema).max(100_000).optional(),
  /** Token of an earlier response: the expiry counts from when the token was issued. */
  clockToken: z.string().max(256).optional(),
});
export type Grant = z.infer<typeof grantSchema>;

/** Decides whether a request may run under the grants received so far. */
export class GrantChecker {
  private current: {grant: Grant; expiresAtMs: number} | undefined;
  /** Newest granted epochs. Kept after a range leaves the grant, so that stale requests stay refused. */
  private newestEpochs: GrantRange[] = [];

  constructor(
    private readonly incarnation: string,
    private readonly clock: Clock,
  ) {}

  /** Issues a token for the next grant. It contains the current time on the clock of this process. */
  issueToken(): string {
    return `${this.incarnation}@${this.clock.nowMs()}`;
  }

  /** Accepts a grant; `false` when a newer epoch was granted before or the token is not valid. */
  accept(grant: Grant): boolean {
    if (this.current && grant.epoch < this.current.grant.epoch) return false;
    const startMs = this.startTimeOf(grant.clockToken);
    if (startMs === undefined) return false;
    this.current = {grant, expiresAtMs: startMs + grant.expiresInMs};
    for (const range of grant.ranges ?? []) this.recordEpoch(range);
    return true;
  }

  /** Returns why a request at `position` under `epoch` may not run; `undefined` when it may. */
  refusalOf(position: number | undefined, epoch: number | undefined): string | undefined {
    if (!this.current) return 'no grant has been received';
    if (this.clock.nowMs() >= this.current.expiresAtMs) return 'the grant has expired';
    if (epoch === undefined) return 'the request has no epoch';
    const {grant} = this.current;
    if (!grant.ranges) {
      return epoch < grant.epoch ? 'the epoch of the request is older than the grant' : undefined;
    }
    if (position === undefined) return 'the request has no position';
    if (!grant.ranges.some((range) => covers(range, position))) {
      return 'the position is outside the granted ranges';
    }
    const newestEpoch = Math.max(
      ...this.newestEpochs.filter((range) => covers(range, position)).map((range) => range.epoch),
    );
    return epoch < newestEpoch ? 'the epoch of the request is older than the grant' : undefined;
  }

  private startTimeOf(clockToken: string | undefined): number | undefined {
    const nowMs = this.clock.nowMs();
    if (clockToken === undefined) return nowMs;
    const separator = clockToken.lastIndexOf('@');
    if (clockToken.slice(0, separator) !== this.incarnation) return undefined;
    const issuedMs = Number(clockToken.slice(separator + 1));
    return issuedMs >= 0 && issuedMs <= nowMs ? issuedMs : undefined;
  }

  private recordEpoch(added: GrantRange): void {
    const isReplaced = (other: GrantRange): boolean =>
      other.startPosition >= added.startPosition &&
      other.endPosition <= added.endPosition &&
      other.epoch <= added.epoch;
    this.newestEpochs = [...this.newestEpochs.filter((other) => !isReplaced(other)), added];
  }
}

function covers(range: GrantRange, position: number): boolean {
  return position >= range.startPosition && position < range.endPosition;
}
