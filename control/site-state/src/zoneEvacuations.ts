import {z} from 'zod';

/** An operator's call that evacuates or restores an availability zone. */
export const evacuationChangeSchema = z.object({
  availabilityZone: z.string(),
  isEvacuated: z.boolean(),
  /** Identifies the call, so that copies of it in the log take effect only once. */
  digest: z.string(),
  /**
   * Log index of the latest accepted call that the operator can have known of. After another call was accepted, this
   * one is outdated and not applied. Absent in the log of earlier versions.
   */
  expectedCallIndex: z.int().optional(),
});

/**
 * Result of an operator's call. `index` is the log index at which it was decided first, `callIndex` that of the latest
 * accepted call.
 */
export type EvacuationOutcome =
  | {readonly kind: 'accepted'; readonly index: number}
  | {readonly kind: 'conflict'; readonly callIndex: number}
  | {readonly kind: 'invalid'; readonly reason: string};

export type EvacuationChange = z.infer<typeof evacuationChangeSchema>;

/** Field of a snapshot; snapshots of earlier versions have none. */
export const evacuationSnapshotSchema = z
  .object({
    index: z.int(),
    zones: z.array(z.tuple([z.string(), z.int()])),
    decided: z.array(z.tuple([z.string(), z.int()])),
  })
  .default({index: 0, zones: [], decided: []});

/** Number of decided calls kept to recognise copies, which arrive within seconds of the first one. */
const MAX_KEPT_CALLS = 256;
/** Bounds snapshots and responses to daemons; deployments have a few zones. */
const MAX_EVACUATED_ZONES = 64;

/** Evacuated availability zones as decided by the log. */
export class ZoneEvacuations {
  private zoneIndexes = new Map<string, number>();
  private decided = new Map<string, number>();
  private latestIndex = 0;

  /** Log index of the latest change; 0 before the first one. */
  get index(): number {
    return this.latestIndex;
  }

  /** Log index of the latest accepted call, also of one that set what was already set; 0 before the first one. */
  get callIndex(): number {
    return [...this.decided.values()].at(-1) ?? 0;
  }

  /** Log index at which each evacuated zone was evacuated. */
  get zones(): ReadonlyMap<string, number> {
    return this.zoneIndexes;
  }

  /** Applies a call unless another one has overtaken it. Setting what is already set is accepted and changes nothing. */
  apply(change: EvacuationChange, index: number): EvacuationOutcome {
    const {availabilityZone, isEvacuated, digest, expectedCallIndex} = change;
    const decidedIndex = this.decided.get(digest);
    if (decidedIndex !== undefined) return {kind: 'accepted', index: decidedIndex};
    const {callIndex} = this;
    if (expectedCallIndex !== undefined && expectedCallIndex !== callIndex)
      return {kind: 'conflict', callIndex};
    if (isEvacuated !== this.zoneIndexes.has(availabilityZone)) {
      if (isEvacuated && this.zoneIndexes.size >= MAX_EVACUATED_ZONES)
        return {kind: 'invalid', reason: `${MAX_EVACUATED_ZONES} zones are evacuated already`};
      if (isEvacuated) this.zoneIndexes.set(availabilityZone, index);
      else this.zoneIndexes.delete(availabilityZone);
      this.latestIndex = index;
    }
    this.recordDecided(digest, index);
    return {kind: 'accepted', index};
  }

  snapshot(): z.input<typeof evacuationSnapshotSchema> {
    return {index: this.latestIndex, zones: [...this.zoneIndexes], decided: [...this.decided]};
  }

  restore({index, zones, decided}: z.output<typeof evacuationSnapshotSchema>): void {
    this.latestIndex = index;
    this.zoneIndexes = new Map(zones);
    this.decided = new Map(decided);
  }

  private recordDecided(digest: string, index: number): void {
    this.decided.set(digest, index);
    if (this.decided.size <= MAX_KEPT_CALLS) return;
    const [oldest] = this.decided.keys();
    if (oldest !== undefined) this.decided.delete(oldest);
  }
}
