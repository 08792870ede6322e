import {createHash} from 'node:crypto';
import {evenRanges, RangeTable} from '@medlarlane/key-space';
import type {RangeChange} from '@medlarlane/key-space';
import {decodeValue, encodeValue, serviceDocumentSchema, teamOf} from '@medlarlane/model';
import type {
  Command,
  CommandOf,
  DirectoryChange,
  DirectorySnapshot,
  Move,
  Range,
  Registration,
  ServiceDocument,
  Session,
} from '@medlarlane/model';
import {assignUnownedRanges, mergeRanges} from '@medlarlane/placement';
import {isTeamPublicKey} from '@medlarlane/signatures';
import {ChangeHistory} from './changeHistory.js';
import {ChangeDeduplicator} from './changeDeduplicator.js';
import {checkSignature, failure, parseDocument} from './documentChecks.js';
import {stateSnapshotSchema} from './stateSnapshot.js';
import type {CommandResult, DocumentRevision, StateSnapshot} from './stateSnapshot.js';

// With this many ranges, moving one shifts less than 2% of the load of one of five servers.
const INITIAL_RANGES = 256;
// Splits for hot keys may double the number of ranges before ranges are merged.
const RANGES_PER_SESSION = 16;
const MAX_KEPT_REVISIONS = 50;
// Each report concerns one crash; at the design size two targets per day crash for other reasons.
const MAX_KEPT_POISON_REPORTS = 64;

/** Report of a daemon about the requests in flight when its target crashed. */
export type ServicePoisonReport = StateSnapshot['poison'][number];

type Handlers = {
  readonly [K in Command['kind']]: (index: number, command: CommandOf<K>) => CommandResult;
};

/**
 * Replicated state machine of the control service: documents, teams, sessions and ranges. It is
 * deterministic and uses neither a clock nor random numbers, so replicas that apply the same log have
 * the same state.
 */
export class ControlState {
  private index = 0;
  private teams = new Map<string, string>();
  private revisions = new Map<string, DocumentRevision[]>();
  private documents = new Map<string, ServiceDocument>();
  private sessions = new Map<number, Session>();
  private assignments = new Map<string, RangeTable>();
  private poison: ServicePoisonReport[] = [];
  private changeDeduplicator = new ChangeDeduplicator();
  private history = new ChangeHistory(0);
  private pendingChanges: DirectoryChange[] = [];

  private readonly handlers: Handlers = {
    claimTeam: (index, command) => this.claimTeam(index, command),
    applyDocument: (index, command) => this.applyDocument(index, command),
    registerSession: (index, {registration}) => this.registerSession(index, registration),
    endSession: (index, {sessionId}) => this.endSession(index, sessionId),
    drainSession: (index, {sessionId}) => this.drainSession(index, sessionId),
    startMoves: (index, command) => this.startMoves(index, command),
    reportPoison: (index, {service, reportedAtMs, report}) => {
      this.poison = [...this.poison, {service, reportedAtMs, report}].slice(
        -MAX_KEPT_POISON_REPORTS,
      );
      this.pendingChanges.push({kind: 'poison', reportedAtMs, report});
      return {ok: true, index};
    },
    finishMoves: (index, command) => this.finishMoves(index, command),
  };

  get appliedIndex(): number {
    return this.index;
  }

  /** Applies the command of the log entry at `index` and returns its result, which may be a rejection. */
  apply(index: number, command: Command): CommandResult {
    this.index = index;
    this.pendingChanges = [];
    const handle = this.handlers[command.kind] as (
      index: number,
      command: Command,
    ) => CommandResult;
    const result = handle(index, command);
    this.history.add(index, this.pendingChanges);
    return result;
  }

  /** Marks an entry as applied whose command could not be decoded. */
  skipEntry(index: number): void {
    this.index = index;
  }

  /** Returns the directory changes after `index`, or `undefined` when a snapshot is needed. */
  changesSince(index: number): DirectoryChange[] | undefined {
    return this.history.since(index);
  }

  directorySnapshot(): DirectorySnapshot {
    return {
      documents: this.services().map((service) => {
        const {revision} = this.currentRevision(service)!;
        return {revision, document: this.documents.get(service)!};
      }),
      sessions: [...this.sessions.values()],
      assignments: this.assignmentList(),
      poison: this.poison.map(({reportedAtMs, report}) => ({reportedAtMs, report})),
    };
  }

  snapshot(): Uint8Array {
    const snapshot: StateSnapshot = {
      index: this.index,
      teams: [...this.teams].map(([team, publicKeyPem]) => ({team, publicKeyPem})),
      documents: [...this.revisions].map(([service, revisions]) => ({service, revisions})),
      sessions: [...this.sessions.values()],
      assignments: this.assignmentList(),
      changes: this.changeDeduplicator.all(),
      poison: this.poison,
    };
    return encodeValue(snapshot);
  }

  restore(payload: Uint8Array): void {
    const snapshot = decodeValue(stateSnapshotSchema, payload);
    this.index = snapshot.index;
    this.teams = new Map(snapshot.teams.map(({team, publicKeyPem}) => [team, publicKeyPem]));
    this.revisions = new Map(
      snapshot.documents.map(({service, revisions}) => [service, revisions]),
    );
    this.documents = new Map(
      this.services().map((service) => [service, this.parseCurrent(service)]),
    );
    this.sessions = new Map(snapshot.sessions.map((session) => [session.sessionId, session]));
    this.assignments = new Map(
      snapshot.assignments.map(({service, ranges}) => [service, new RangeTable(ranges)]),
    );
    this.changeDeduplicator = new ChangeDeduplicator(snapshot.changes);
    this.poison = snapshot.poison;
    this.history = new ChangeHistory(snapshot.index);
  }

  services(): string[] {
    return [...this.revisions.keys()];
  }

  currentRevision(service: string): DocumentRevision | undefined {
    return this.revisions.get(service)?.at(-1);
  }

  document(service: string): ServiceDocument | undefined {
    return this.documents.get(service);
  }

  /** Returns the retained revisions of a service, oldest first. */
  revisionsOf(service: string): readonly DocumentRevision[] {
    return this.revisions.get(service) ?? [];
  }

  session(sessionId: number): Session | undefined {
    return this.sessions.get(sessionId);
  }

  allSessions(): Session[] {
    return [...this.sessions.values()];
  }

  sessionsOf(service: string): Session[] {
    return this.allSessions().filter((session) => session.service === service);
  }

  ranges(service: string): RangeTable | undefined {
    return this.assignments.get(service);
  }

  /** Returns the latest crash reports, oldest first. */
  poisonReports(): readonly ServicePoisonReport[] {
    return this.poison;
  }

  private claimTeam(index: number, command: CommandOf<'claimTeam'>): CommandResult {
    const {changeId, team, publicKeyPem} = command;
    return this.changeDeduplicator.applyOnce(changeId, fingerprintOf(command), () => {
      if (!isTeamPublicKey(publicKeyPem)) {
        return failure('REQUEST_INVALID', 'Key is not an Ed25519 public key');
      }
      const owner = this.teams.get(team);
      if (owner !== undefined && owner !== publicKeyPem) {
        return failure('TEAM_TAKEN', `Team ${team} is claimed by another key`);
      }
      this.teams.set(team, publicKeyPem);
      return {ok: true, index};
    });
  }

  private applyDocument(index: number, command: CommandOf<'applyDocument'>): CommandResult {
    const {changeId, service} = command;
    const publicKeyPem = this.teams.get(teamOf(service));
    if (publicKeyPem === undefined) {
      return failure('TEAM_UNKNOWN', `Team ${teamOf(service)} is not claimed`);
    }
    // The signature is checked first, so that only the team can use its change ids.
    const signatureFailure = checkSignature(command, publicKeyPem);
    if (signatureFailure) return signatureFailure;
    return this.changeDeduplicator.applyOnce(changeId, fingerprintOf(command), () =>
      this.commitDocument(index, command),
    );
  }

  private commitDocument(index: number, command: CommandOf<'applyDocument'>): CommandResult {
    const {service, baseRevision, changeId, proposedAtMs, documentJson, signature} = command;
    const parsed = parseDocument(command);
    if (!parsed.ok) return parsed;
    const {document} = parsed;
    const currentRevision = this.currentRevision(service)?.revision ?? 0;
    if (baseRevision !== currentRevision) {
      return failure('REVISION_CONFLICT', `Current revision is ${currentRevision}`, {
        currentRevision,
      });
    }
    const conflictingHost = document.hosts.find((host) => this.isHostTaken(host, service));
    if (conflictingHost !== undefined) {
      return failure('DOCUMENT_INVALID', `Host ${conflictingHost} belongs to another service`);
    }
    const revision = currentRevision + 1;
    const entry: DocumentRevision = {
      revision,
      index,
      changeId,
      baseRevision,
      proposedAtMs,
      documentJson,
      signature,
    };
    this.documents.set(service, document);
    this.revisions.set(service, [...this.revisionsOf(service), entry].slice(-MAX_KEPT_REVISIONS));
    this.pendingChanges.push({kind: 'document', revision, document});
    this.createAssignment(index, document);
    return {ok: true, index, revision};
  }

  private parseCurrent(service: string): ServiceDocument {
    const {documentJson} = this.currentRevision(service)!;
    return serviceDocumentSchema.parse(JSON.parse(documentJson));
  }

  private isHostTaken(host: string, service: string): boolean {
    return this.services().some(
      (other) => other !== service && this.documents.get(other)!.hosts.includes(host),
    );
  }

  /**
   * Creates the ranges of a new service, also when it is not split by key: there the Idempotency-Key of
   * a non-repeatable request is its key, so that a resend reaches the owner that has its record.
   */
  private createAssignment(index: number, {service}: ServiceDocument): void {
    if (this.assignments.has(service)) return;
    const table = new RangeTable(evenRanges(INITIAL_RANGES));
    this.assignments.set(service, table);
    this.pendingChanges.push({
      kind: 'ranges',
      service,
      fromPosition: 0,
      toPosition: table.endOf(INITIAL_RANGES - 1),
      ranges: [...table.all],
    });
    this.assignUnowned(index, service);
  }

  private registerSession(index: number, registration: Registration): CommandResult {
    const existing = this.allSessions().find(
      ({incarnation}) => incarnation === registration.incarnation,
    );
    if (existing) return {ok: true, index, sessionId: existing.sessionId};
    const session: Session = {...registration, sessionId: index, draining: false};
    this.sessions.set(index, session);
    this.pendingChanges.push({kind: 'session', session});
    if (session.service !== undefined) this.assignUnowned(index, session.service);
    return {ok: true, index, sessionId: index};
  }

  private endSession(index: number, sessionId: number): CommandResult {
    const session = this.sessions.get(sessionId);
    if (!session) return failure('SESSION_ENDED', `Session ${sessionId} has ended`);
    this.sessions.delete(sessionId);
    const {service} = session;
    if (service !== undefined) {
      this.updateRanges(service, (range) => withoutSession(range, sessionId, index));
      this.assignUnowned(index, service);
    }
    // Published after the ranges, so that a watcher never sees a range owned by an unknown session.
    this.pendingChanges.push({kind: 'sessionEnded', sessionId});
    return {ok: true, index, sessionId};
  }

  private drainSession(index: number, sessionId: number): CommandResult {
    const session = this.sessions.get(sessionId);
    if (!session) return failure('SESSION_ENDED', `Session ${sessionId} has ended`);
    if (!session.draining) {
      const draining = {...session, draining: true};
      this.sessions.set(sessionId, draining);
      this.pendingChanges.push({kind: 'session', session: draining});
    }
    return {ok: true, index, sessionId};
  }

  private startMoves(index: number, {service, moves}: CommandOf<'startMoves'>): CommandResult {
    const table = this.assignments.get(service);
    if (!table) return failure('SERVICE_UNKNOWN', `Service ${service} is not split by key`);
    const valid = moves
      .filter((move) => this.isValidMove(service, move))
      .sort((a, b) => a.fromPosition - b.fromPosition);
    if (valid.length === 0) return {ok: true, index};
    table.splitAt(...valid.flatMap(({fromPosition, toPosition}) => [fromPosition, toPosition]));
    let next = 0;
    table.update((range) => {
      while (next < valid.length && valid[next]!.toPosition <= range.startPosition) next += 1;
      const move = valid[next];
      if (!move || move.fromPosition > range.startPosition) return range;
      const movable = range.ownerSessionId === move.fromSessionId && range.nextSessionId === 0;
      return movable ? {...range, nextSessionId: move.toSessionId} : range;
    });
    for (const move of valid) this.publishMovedRanges(service, move.fromPosition, move.toPosition);
    return {ok: true, index};
  }

  private isValidMove(service: string, move: Move): boolean {
    const {fromPosition, toPosition, fromSessionId, toSessionId} = move;
    const destination = this.sessions.get(toSessionId);
    if (!destination || destination.draining || destination.service !== service) return false;
    return toSessionId !== fromSessionId && fromPosition < toPosition;
  }

  /** Publishes the ranges of a move and their neighbours, whose bounds a split may have changed. */
  private publishMovedRanges(service: string, fromPosition: number, toPosition: number): void {
    const table = this.assignments.get(service)!;
    const first = Math.max(0, table.indexOf(fromPosition) - 1);
    const last = Math.min(table.all.length - 1, table.indexOf(toPosition - 1) + 1);
    this.pendingChanges.push({
      kind: 'ranges',
      service,
      fromPosition: table.all[first]!.startPosition,
      toPosition: table.endOf(last),
      ranges: table.all.slice(first, last + 1),
    });
  }

  private finishMoves(index: number, {service, ranges}: CommandOf<'finishMoves'>): CommandResult {
    const epochByStart = new Map(ranges.map(({startPosition, epoch}) => [startPosition, epoch]));
    this.updateRanges(service, (range) => {
      const released = epochByStart.get(range.startPosition) === range.epoch;
      if (!released || range.nextSessionId === 0) return range;
      return {...range, ownerSessionId: range.nextSessionId, nextSessionId: 0, epoch: index};
    });
    this.compact(service);
    return {ok: true, index};
  }

  /** Merges ranges left over from splits for hot keys. Runs only at twice the limit, so that merges are rare. */
  private compact(service: string): void {
    const table = this.assignments.get(service);
    const maxRanges = INITIAL_RANGES + RANGES_PER_SESSION * this.sessionsOf(service).length;
    if (!table || table.all.length <= 2 * maxRanges) return;
    const before = table.all;
    const merged = new RangeTable(mergeRanges(before, {maxRanges}));
    this.assignments.set(service, merged);
    const starts = new Set(merged.all.map(({startPosition}) => startPosition));
    merged.all.forEach((range, index) => {
      const toPosition = merged.endOf(index);
      const replacesRanges = before.some(
        ({startPosition}) =>
          startPosition > range.startPosition &&
          startPosition < toPosition &&
          !starts.has(startPosition),
      );
      if (!replacesRanges) return;
      const fromPosition = range.startPosition;
      this.pendingChanges.push({
        kind: 'ranges',
        service,
        fromPosition,
        toPosition,
        ranges: [range],
      });
    });
  }

  /** Assigns unowned ranges to the sessions of the service that are not draining. */
  private assignUnowned(index: number, service: string): void {
    const table = this.assignments.get(service);
    const sessions = this.sessionsOf(service).filter(({draining}) => !draining);
    if (!table || sessions.length === 0) return;
    const unownedIndexes = table.all.flatMap(({ownerSessionId}, position) =>
      ownerSessionId === 0 ? [position] : [],
    );
    if (unownedIndexes.length === 0) return;
    const owners = assignUnownedRanges(table.all, unownedIndexes, sessions);
    const ownerByIndex = new Map(
      unownedIndexes.map((unownedIndex, order) => [unownedIndex, owners[order]!]),
    );
    this.updateRanges(service, (range, position) => {
      const ownerSessionId = ownerByIndex.get(position);
      return ownerSessionId === undefined ? range : {...range, ownerSessionId, epoch: index};
    });
  }

  private updateRanges(service: string, transform: (range: Range, index: number) => Range): void {
    const changes: RangeChange[] = this.assignments.get(service)?.update(transform) ?? [];
    for (const change of changes) this.pendingChanges.push({kind: 'ranges', service, ...change});
  }

  private assignmentList(): Array<{service: string; ranges: Range[]}> {
    return [...this.assignments].map(([service, table]) => ({service, ranges: [...table.all]}));
  }
}

/** Removes a session from a range. A moving range whose owner ends goes to its destination at once. */
function withoutSession(range: Range, sessionId: number, index: number): Range {
  if (range.ownerSessionId === sessionId) {
    return {...range, ownerSessionId: range.nextSessionId, nextSessionId: 0, epoch: index};
  }
  if (range.nextSessionId === sessionId) return {...range, nextSessionId: 0};
  return range;
}

/** Hashes the content of a change, without the time at which the leader proposed it. */
function fingerprintOf(command: CommandOf<'claimTeam'> | CommandOf<'applyDocument'>): string {
  const content = JSON.stringify({...command, proposedAtMs: 0});
  return createHash('sha256').update(content).digest('base64');
}
