/** What a target states about itself in a response. */
export interface TargetNotice {
  /** Requests per second that the target accepts in total; `undefined` if it names no limit. */
  readonly rateLimitRps: number | undefined;
  /** Whether the target is about to leave. */
  readonly isLeaving: boolean;
}
