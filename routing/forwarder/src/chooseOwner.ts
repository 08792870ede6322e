import type {Directory} from '@medlarlane/directory';
import {MedlarlaneError} from '@medlarlane/errors';
import type {Session} from '@medlarlane/model';
import type {Exchange} from './exchange.js';
import type {Peers} from './peers.js';

export interface ChooseOwnerOptions {
  readonly directory: Directory;
  readonly peers: Peers;
  readonly availabilityZone: string;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
}

/**
 * Chooses the session that runs a request: the owner of its position, or for a request without
 * position the less loaded of two sampled sessions.
 * @throws MedlarlaneError `NO_OWNER` or `NO_TARGET`.
 */
export function chooseOwner(
  {document, position}: Exchange,
  tried: ReadonlySet<number>,
  opts: ChooseOwnerOptions,
): Session {
  const {directory} = opts;
  if (position !== undefined) {
    const range = directory.range(document.service, position);
    const owner = directory.session(range?.ownerSessionId ?? 0);
    if (owner) return owner;
    throw new MedlarlaneError('NO_OWNER');
  }
  const sessions = directory.sessionsOf(document.service).filter(({draining}) => !draining);
  const untried = sessions.filter(({sessionId}) => !tried.has(sessionId));
  const candidates = preferZone(
    untried.length > 0 ? untried : sessions,
    document.targets.slots,
    opts,
  );
  const chosen = lessLoaded(candidates, opts);
  if (chosen) return chosen;
  throw new MedlarlaneError('NO_TARGET');
}

/** Returns the sessions of the same availability zone that have a free slot, or all if none has. */
function preferZone(
  sessions: readonly Session[],
  slots: number,
  {availabilityZone, peers}: ChooseOwnerOptions,
): readonly Session[] {
  const sameZone = sessions.filter(
    (session) => session.availabilityZone === availabilityZone && peers.load(session) < slots,
  );
  return sameZone.length > 0 ? sameZone : sessions;
}

function lessLoaded(
  sessions: readonly Session[],
  {peers, random}: ChooseOwnerOptions,
): Session | undefined {
  if (sessions.length <= 1) return sessions[0];
  const first = Math.floor(random() * sessions.length);
  const second = (first + 1 + Math.floor(random() * (sessions.length - 1))) % sessions.length;
  const [a, b] = [sessions[first]!, sessions[second]!];
  return peers.load(b) < peers.load(a) ? b : a;
}
