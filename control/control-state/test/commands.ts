import {generateTeamKey, signDocumentChange} from '@medlarlane/signatures';
import type {CommandOf, Registration} from '@medlarlane/model';

const key = generateTeamKey();

export const SERVICE = 'prairie-crag/wallboard';

export function claimTeam(opts: Partial<CommandOf<'claimTeam'>> = {}): CommandOf<'claimTeam'> {
  return {
    kind: 'claimTeam',
    changeId: 'claim-0001',
    team: 'prairie-crag',
    publicKeyPem: key.publicKeyPem,
    ...opts,
  };
}

export function applyDocument(
  opts: {
    baseRevision?: number;
    changeId?: string;
    document?: Record<string, unknown>;
    signWith?: string;
  } = {},
): CommandOf<'applyDocument'> {
  const change = {
    service: SERVICE,
    baseRevision: opts.baseRevision ?? 0,
    changeId: opts.changeId ?? 'change-0001',
    documentJson: JSON.stringify({
      service: SERVICE,
      splitByKey: true,
      key: {from: 'path', segment: 1},
      targets: {slots: 18, connections: 120},
      ...opts.document,
    }),
  };
  const signature = signDocumentChange(change, opts.signWith ?? key.privateKeyPem);
  return {kind: 'applyDocument', ...change, signature, proposedAtMs: 1};
}

export function registerSession(
  instanceId: string,
  opts: Partial<Registration> = {},
): CommandOf<'registerSession'> {
  return {
    kind: 'registerSession',
    registration: {
      instanceId,
      incarnation: `${instanceId}-1`,
      service: SERVICE,
      region: 'prairie-west',
      availabilityZone: 'yard-north',
      callerAddress: '127.0.0.1:1',
      peerAddress: '127.0.0.1:2',
      adminAddress: '127.0.0.1:3',
      ...opts,
    },
  };
}
