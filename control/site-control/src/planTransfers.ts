/** A target that owns keys, with the requests for them. */
export interface LoadedTarget {
  readonly life: string;
  readonly slots: number;
  /** Requests for its keys per second, whether admitted or not. */
  readonly offeredRps: number;
  /** Smoothed duration of one request there. */
  readonly meanMs: number;
  readonly ownsKeys: boolean;
}

/** Keys that carry `share` of the requests for the keys of `fromLife` are to go to `toLife`. */
export interface Transfer {
  readonly fromLife: string;
  readonly toLife: string;
  readonly share: number;
}

/** Below this share of its capacity a target has no need to give keys away. */
const COMFORTABLE_UTILISATION = 0.6;
/** Targets whose utilisation differs by less are taken for even. */
const MIN_DIFFERENCE = 0.15;
/** A smaller part of a target's capacity is not worth the pause that its keys have. */
const MIN_MOVED_CAPACITY = 0.04;
/** A target never gives away more than this share in one step, since its counts are estimates. */
const MAX_SHARE = 0.7;

/**
 * Plans which targets give load to which others so that all are used alike, in proportion to their
 * speed. Every target takes part in at most one transfer of a plan as the receiver.
 */
export function planTransfers(targets: readonly LoadedTarget[]): Transfer[] {
  if (targets.length < 2) return [];
  const capacityRps = (target: LoadedTarget): number =>
    (target.slots * 1_000) / Math.max(1, target.meanMs);
  const totalCapacityRps = targets.reduce((sum, target) => sum + capacityRps(target), 0);
  const totalRps = targets.reduce((sum, {offeredRps}) => sum + offeredRps, 0);
  const meanUtilisation = totalRps / totalCapacityRps;
  const excessRps = (target: LoadedTarget): number =>
    target.offeredRps - capacityRps(target) * meanUtilisation;
  const receivers = targets
    .map((target) => ({target, roomRps: -excessRps(target)}))
    .filter(({roomRps}) => roomRps > 0)
    .sort((a, b) => b.roomRps - a.roomRps);
  const transfers: Transfer[] = [];
  const newcomer = receivers.find(({target}) => !target.ownsKeys);
  const givers = targets
    .filter((target) => {
      // A target without keys serves nobody, so it gets its part even when the others have room.
      if (newcomer) return target.ownsKeys && excessRps(target) > 0;
      const utilisation = target.offeredRps / capacityRps(target);
      return (
        utilisation > COMFORTABLE_UTILISATION && utilisation - meanUtilisation > MIN_DIFFERENCE
      );
    })
    .sort((a, b) => excessRps(b) - excessRps(a));
  for (const giver of givers) {
    let leftRps = Math.min(excessRps(giver), giver.offeredRps * MAX_SHARE);
    while (leftRps > 0 && receivers.length > 0) {
      const {target: receiver, roomRps} = receivers.shift()!;
      const movedRps = Math.min(leftRps, roomRps);
      const share = movedRps / giver.offeredRps;
      leftRps -= movedRps;
      // Not a part of the giver's load: among many targets the room of each is small beside a crowd.
      if (movedRps < capacityRps(giver) * MIN_MOVED_CAPACITY) break;
      transfers.push({fromLife: giver.life, toLife: receiver.life, share});
    }
  }
  return transfers;
}
