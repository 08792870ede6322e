import type {SlotPermit} from '@medlarlane/admission';
import type {Clock} from '@medlarlane/lifecycle';

interface HeldSlot {
  readonly permit: SlotPermit;
}

/** Bounds the capacity that is lost when a target has in fact stopped the work. */
const MAX_HOLD_MS = 2_000;

/**
 * Slots of requests that the daemon no longer waits for but that the target may still run, because they were
 * cancelled or timed out. Without them, a target that does not stop such work would get more requests than
 * fit, and each of these would take longer or hang.
 */
export class HeldSlots {
  private held: HeldSlot[] = [];

  constructor(private readonly clock: Clock) {}

  get count(): number {
    return this.held.length;
  }

  /** Holds a slot for the expected remaining work. */
  hold(permit: SlotPermit, remainingMs: number): void {
    const slot = {permit};
    this.held.push(slot);
    const holdMs = Math.min(MAX_HOLD_MS, Math.max(0, remainingMs));
    void this.clock.sleep(holdMs).then(() => this.release(slot));
  }

  /** Releases the slots that exceed the number of requests which the target states to have beyond ours. */
  retain(maxCount: number): void {
    for (const slot of this.held.slice(Math.max(0, maxCount))) this.release(slot);
  }

  private release(slot: HeldSlot): void {
    const index = this.held.indexOf(slot);
    if (index < 0) return;
    this.held.splice(index, 1);
    slot.permit.release();
  }
}
