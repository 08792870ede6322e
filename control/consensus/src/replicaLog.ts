import {decode, encode} from '@msgpack/msgpack';
import {memberSetSchema} from '@medlarlane/log-store';
import type {LogEntry, MemberSet, Snapshot} from '@medlarlane/log-store';

interface MemberSetVersion {
  readonly index: number;
  readonly members: MemberSet;
}

const NO_MEMBERS: MemberSet = {voters: [], learners: [], addresses: {}};

/** The log entries in memory and the member sets that they contain. */
export class ReplicaLog {
  /** Snapshot that covers all entries up to its index. */
  snapshot: Snapshot | undefined;
  private entries: LogEntry[] = [];
  /** Index and term of the entry before the first one in memory. */
  private baseIndex = 0;
  private baseTerm = 0;
  private memberHistory: MemberSetVersion[] = [];

  constructor(snapshot: Snapshot | undefined, entries: readonly LogEntry[]) {
    if (snapshot) this.reset(snapshot, []);
    this.append(entries);
  }

  get lastIndex(): number {
    return this.baseIndex + this.entries.length;
  }

  get lastTerm(): number {
    return this.entries.at(-1)?.term ?? this.baseTerm;
  }

  /** The newest member set in the log, whether committed or not. */
  get members(): MemberSet {
    return this.memberHistory.at(-1)?.members ?? NO_MEMBERS;
  }

  get membersIndex(): number {
    return this.memberHistory.at(-1)?.index ?? 0;
  }

  membersAt(index: number): MemberSet {
    return this.memberHistory.findLast((entry) => entry.index <= index)?.members ?? NO_MEMBERS;
  }

  /** Returns the term of an entry, or `undefined` when the entry is not in memory. */
  termAt(index: number): number | undefined {
    return index === this.baseIndex ? this.baseTerm : this.entryAt(index)?.term;
  }

  entryAt(index: number): LogEntry | undefined {
    return this.entries[index - this.baseIndex - 1];
  }

  /**
   * Returns the entries from `index` on, limited by count and by bytes. The first entry is returned
   * even if it exceeds `maxBytes`.
   */
  entriesFrom(index: number, maxEntries: number, maxBytes: number): LogEntry[] {
    const start = index - this.baseIndex - 1;
    const result: LogEntry[] = [];
    let bytes = 0;
    for (const entry of this.entries.slice(start, start + maxEntries)) {
      bytes += entry.payload.length;
      if (result.length > 0 && bytes > maxBytes) break;
      result.push(entry);
    }
    return result;
  }

  entriesAfter(index: number): LogEntry[] {
    return this.entries.slice(Math.max(0, index - this.baseIndex));
  }

  append(entries: readonly LogEntry[]): void {
    for (const entry of entries) {
      this.entries.push(entry);
      if (entry.kind !== 'members') continue;
      this.memberHistory.push({index: entry.index, members: decodeMembers(entry.payload)});
    }
  }

  truncateFrom(index: number): void {
    this.entries.length = index - this.baseIndex - 1;
    this.memberHistory = this.memberHistory.filter((entry) => entry.index < index);
  }

  /** Replaces the whole log with a snapshot and the entries that follow it. */
  reset(snapshot: Snapshot, entries: readonly LogEntry[]): void {
    this.snapshot = snapshot;
    this.baseIndex = snapshot.index;
    this.baseTerm = snapshot.term;
    this.entries = [];
    this.memberHistory = [{index: snapshot.index, members: snapshot.members}];
    this.append(entries);
  }

  /** Size of the entries in memory. */
  get sizeBytes(): number {
    return this.entries.reduce((sum, {payload}) => sum + payload.length, 0);
  }

  /** Drops entries that the snapshot covers, except the last ones within both limits. */
  compact(snapshot: Snapshot, retained: {maxEntries: number; maxBytes: number}): void {
    this.snapshot = snapshot;
    const newBaseIndex = this.lastDroppedIndex(snapshot.index, retained);
    const baseTerm = this.termAt(newBaseIndex);
    if (baseTerm === undefined || newBaseIndex <= this.baseIndex) return;
    const members = this.membersAt(newBaseIndex);
    this.entries = this.entries.slice(newBaseIndex - this.baseIndex);
    this.baseIndex = newBaseIndex;
    this.baseTerm = baseTerm;
    this.memberHistory = [
      {index: newBaseIndex, members},
      ...this.memberHistory.filter(({index}) => index > newBaseIndex),
    ];
  }

  /** Index of the last entry up to `index` that exceeds the limits, counted backwards from `index`. */
  private lastDroppedIndex(
    index: number,
    {maxEntries, maxBytes}: {maxEntries: number; maxBytes: number},
  ): number {
    const firstCounted = Math.max(this.baseIndex, index - maxEntries);
    let bytes = 0;
    let dropped = index;
    while (dropped > firstCounted) {
      bytes += this.entryAt(dropped)?.payload.length ?? 0;
      if (bytes > maxBytes) break;
      dropped -= 1;
    }
    return dropped;
  }
}

export function encodeMembers(members: MemberSet): Uint8Array {
  return encode(members);
}

export function decodeMembers(payload: Uint8Array): MemberSet {
  return memberSetSchema.parse(decode(payload));
}
