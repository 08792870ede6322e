import {
  POSITION_END,
  serviceDocumentSchema,
  type DirectoryChange,
  type Range,
  type ServiceDocument,
  type Session,
} from '@medlarlane/model';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Log index in the samples, which a system of the design size reaches within weeks. */
const LOG_INDEX = 5_000_000;

/** Creates ranges with random bounds, owned by 2,300 sessions. */
export function sampleRanges(count: number): Range[] {
  const random = xoroshiro128plus(7);
  const starts = Array.from({length: count}, (_, index) =>
    index === 0 ? 0 : Math.floor(uniformFloat64(random) * POSITION_END),
  );
  return starts
    .sort((a, b) => a - b)
    .map((startPosition, index) => ({
      startPosition,
      ownerSessionId: LOG_INDEX + (index % 2_300),
      nextSessionId: 0,
      epoch: LOG_INDEX + index,
    }));
}

export function sampleSessions(count: number): Session[] {
  return Array.from({length: count}, (_, index) => {
    const host = `10.${(index >> 16) & 255}.${(index >> 8) & 255}.${index & 255}`;
    return {
      sessionId: LOG_INDEX + index,
      draining: false,
      instanceId: `permit-desk-${index}`,
      incarnation: `01890a5d-ac96-774b-bcce-${index.toString(16).padStart(12, '0')}`,
      service: 'tharangam/permit-desk',
      region: 'kerala-south',
      availabilityZone: 'alappuzha',
      callerAddress: `${host}:7100`,
      peerAddress: `${host}:7101`,
      adminAddress: `${host}:7103`,
    };
  });
}

export function sampleDocument(): ServiceDocument {
  return serviceDocumentSchema.parse({
    service: 'tharangam/permit-desk',
    hosts: ['permit-desk.tharangam.example'],
    weighsMost: 'unavailable-time',
    splitByKey: true,
    key: {from: 'path', segment: 1},
    targets: {slots: 14, connections: 120, loadPath: '/load', checksGrants: true},
  });
}

/** Creates the change that starts the move of a hot key: its range and the two adjacent ranges. */
export function sampleMoveChange(): DirectoryChange {
  const [before, moving, after] = sampleRanges(3);
  const key = 4_503_599_627_370_497;
  return {
    kind: 'ranges',
    service: 'tharangam/permit-desk',
    fromPosition: before!.startPosition,
    toPosition: key + 1_000_000_000_000,
    ranges: [
      before!,
      {...moving!, startPosition: key, nextSessionId: LOG_INDEX + 9},
      {...after!, startPosition: key + 1},
    ],
  };
}
