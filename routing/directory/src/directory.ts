import {EventEmitter, once} from 'node:events';
import type {
  DirectoryChange,
  PoisonReport,
  DirectorySnapshot,
  Range,
  ServiceDocument,
  Session,
} from '@medlarlane/model';
import {RangeTable} from '@medlarlane/key-space';

export interface DocumentEntry {
  readonly revision: number;
  readonly document: ServiceDocument;
}

type ChangeHandlers = {
  readonly [K in DirectoryChange['kind']]: (change: Extract<DirectoryChange, {kind: K}>) => void;
};

/** A daemon's copy of the documents, sessions and ranges. Its log index never decreases. */
export class Directory {
  private index = 0;
  private documents = new Map<string, DocumentEntry>();
  private serviceByHost = new Map<string, string>();
  private sessions = new Map<number, Session>();
  private readonly sessionsByService = new Map<string, Session[]>();
  private assignments = new Map<string, RangeTable>();
  private readonly events = new EventEmitter().setMaxListeners(0);

  private readonly handlers: ChangeHandlers = {
    document: ({revision, document}) => this.setDocument({revision, document}),
    session: ({session}) => this.setSession(session),
    poison: ({reportedAtMs, report}) => this.events.emit('poison', report, reportedAtMs),
    sessionEnded: ({sessionId}) => this.removeSession(sessionId),
    ranges: ({service, fromPosition, toPosition, ranges}) => {
      const table = this.assignments.get(service);
      if (table) table.replace(fromPosition, toPosition, ranges);
      else this.assignments.set(service, new RangeTable(ranges));
    },
  };

  /** Log index as of which this copy is current. */
  get appliedIndex(): number {
    return this.index;
  }

  get services(): Iterable<[string, DocumentEntry]> {
    return this.documents;
  }

  /** Replaces the whole copy, unless it is newer than the snapshot. */
  applySnapshot(index: number, snapshot: DirectorySnapshot): void {
    if (index < this.index) return;
    this.documents = new Map();
    this.serviceByHost = new Map();
    this.sessions = new Map();
    this.sessionsByService.clear();
    this.assignments = new Map();
    for (const entry of snapshot.documents) this.setDocument(entry);
    for (const session of snapshot.sessions) this.setSession(session);
    for (const {reportedAtMs, report} of snapshot.poison) {
      this.events.emit('poison', report, reportedAtMs);
    }
    for (const {service, ranges} of snapshot.assignments) {
      this.assignments.set(service, new RangeTable(ranges));
    }
    this.advance(index);
  }

  /** Applies changes that follow the applied index; older ones are ignored. */
  applyChanges(index: number, changes: readonly DirectoryChange[]): void {
    if (index <= this.index) return;
    for (const change of changes) {
      (this.handlers[change.kind] as (change: DirectoryChange) => void)(change);
    }
    this.advance(index);
  }

  document(service: string): DocumentEntry | undefined {
    return this.documents.get(service);
  }

  serviceOfHost(host: string): string | undefined {
    return this.serviceByHost.get(host);
  }

  session(sessionId: number): Session | undefined {
    return this.sessions.get(sessionId);
  }

  sessionsOf(service: string): readonly Session[] {
    return this.sessionsByService.get(service) ?? [];
  }

  /** Addresses at which the daemons with a session accept forwarded requests. */
  peerAddresses(): Set<string> {
    return new Set([...this.sessions.values()].map(({peerAddress}) => peerAddress));
  }

  range(service: string, position: number): Range | undefined {
    return this.assignments.get(service)?.find(position);
  }

  ranges(service: string): RangeTable | undefined {
    return this.assignments.get(service);
  }

  /** Calls `listener` after each change. Returns a function that unsubscribes it. */
  onChange(listener: () => void): () => void {
    this.events.on('change', listener);
    return () => this.events.off('change', listener);
  }

  /** Calls `listener` for each report of requests that may crash targets. */
  onPoison(listener: (report: PoisonReport, reportedAtMs: number) => void): void {
    this.events.on('poison', listener);
  }

  /** Resolves at the next change; rejects when `signal` aborts. */
  async waitForChange(signal: AbortSignal): Promise<void> {
    await once(this.events, 'change', {signal});
  }

  /** Resolves once the copy is current as of `index`; rejects when `signal` aborts. */
  async waitForIndex(index: number, signal: AbortSignal): Promise<void> {
    while (this.index < index) await this.waitForChange(signal);
  }

  private advance(index: number): void {
    this.index = index;
    this.events.emit('change');
  }

  private setDocument(entry: DocumentEntry): void {
    const {service, hosts} = entry.document;
    for (const host of this.documents.get(service)?.document.hosts ?? []) {
      this.serviceByHost.delete(host);
    }
    this.documents.set(service, entry);
    for (const host of hosts) this.serviceByHost.set(host, service);
  }

  private setSession(session: Session): void {
    this.removeSession(session.sessionId);
    this.sessions.set(session.sessionId, session);
    if (session.service === undefined) return;
    this.sessionsByService.set(session.service, [...this.sessionsOf(session.service), session]);
  }

  private removeSession(sessionId: number): void {
    const service = this.sessions.get(sessionId)?.service;
    this.sessions.delete(sessionId);
    if (service === undefined) return;
    const others = this.sessionsOf(service).filter((session) => session.sessionId !== sessionId);
    this.sessionsByService.set(service, others);
  }
}
