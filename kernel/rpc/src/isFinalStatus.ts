const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;

/** Whether a final response can have this status; others are invalid (RFC 9110, section 15). */
export function isFinalStatus(status: number): boolean {
  return status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
}
