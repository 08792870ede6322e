/** Receives the leader's measurements of services, for metrics. */
export interface ControlObserver {
  /** Called with the highest load of a session of the service divided by the mean load of its sessions. */
  recordImbalance(service: string, imbalance: number): void;
  /**
   * Called when keys had no serving owner: `fraction` of the key space was unavailable from the last lease
   * renewal of the lost owner until the commit that assigned its ranges to others.
   */
  recordUnavailability(service: string, fraction: number, unavailableMs: number): void;
}
