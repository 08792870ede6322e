import type {IdempotencyTable} from '@medlarlane/dedupe';
import type {Session} from '@medlarlane/model';
import type {ReleasedRange} from '@medlarlane/ownership';
import {MedlarlaneError} from '@medlarlane/errors';
import type {Peers} from './peers.js';

export const HANDOVER_PATH = '/.medlarlane/handover';

/** Names a planned move alike on both sides. */
export function moveIdOf(startPosition: number, epoch: number): string {
  return `${startPosition}@${epoch}`;
}

/**
 * Sends the idempotency records of released ranges to their next owner.
 * @throws MedlarlaneError `PEER_FAILED` when the next owner does not take them.
 */
export async function handOver(
  destination: Session,
  ranges: readonly ReleasedRange[],
  signal: AbortSignal,
  opts: {readonly idempotency: IdempotencyTable; readonly peers: Peers},
): Promise<void> {
  for (const {service, range, endPosition} of ranges) {
    const {startPosition: from, epoch} = range;
    const moveId = moveIdOf(from, epoch);
    const chunks = opts.idempotency.exportRange({service, from, to: endPosition, moveId});
    for await (const chunk of chunks) {
      const {statusCode, body} = await opts.peers.pool(destination).request({
        method: 'POST',
        path: HANDOVER_PATH,
        body: Buffer.from(chunk),
        signal,
      });
      await body.dump();
      if (statusCode !== 204) {
        throw new MedlarlaneError('PEER_FAILED', `Handover was answered with ${statusCode}`);
      }
    }
  }
}
