/** What the leader learns about services, for metrics. */
export interface ControlObserver {
  /** Greatest load of a server divided by the mean load of the service's servers. */
  recordImbalance(service: string, imbalance: number): void;
  /**
   * Keys had no serving owner: `share` of the key space, from the last renewal of the lost owner until
   * the commit that gave the ranges to others.
   */
  recordUnavailability(service: string, share: number, unavailableMs: number): void;
}
