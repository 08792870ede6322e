import type {IdempotencyTable} from '@medlarlane/dedupe';
import type {Range, Session} from '@medlarlane/model';
import type {ReleasedRange} from '@medlarlane/ownership';
import {MedlarlaneError} from '@medlarlane/errors';
import type {Peers} from './peers.js';

export const HANDOVER_PATH = '/.medlarlane/handover';

/**
 * Returns the id of a planned move, equal on both sides. It contains the destination, because after a
 * cancelled move the same range may move to another session at the same epoch.
 */
export function moveIdOf({startPosition, epoch, nextSessionId}: Range): string {
  return `${startPosition}@${epoch}>${nextSessionId}`;
}

/**
 * Sends the idempotency records of released ranges to their next owner.
 * @throws MedlarlaneError `PEER_FAILED` when the next owner does not accept them.
 */
export async function handOverRecords(
  destination: Session,
  ranges: readonly ReleasedRange[],
  signal: AbortSignal,
  opts: {readonly idempotency: IdempotencyTable; readonly peers: Peers},
): Promise<void> {
  for (const {service, range, endPosition} of ranges) {
    const from = range.startPosition;
    const moveId = moveIdOf(range);
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
        throw new MedlarlaneError(
          'PEER_FAILED',
          `Expected status 204 for a handover chunk, got ${statusCode}`,
        );
      }
    }
  }
}
