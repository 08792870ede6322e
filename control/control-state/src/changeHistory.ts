import type {DirectoryChange} from '@medlarlane/model';

const MIN_KEPT_ENTRIES = 4096;

interface HistoryEntry {
  readonly index: number;
  readonly changes: readonly DirectoryChange[];
}

/** The latest directory changes by log index, for watchers that resume from an index. */
export class ChangeHistory {
  private entries: HistoryEntry[] = [];
  /** The history holds every change after this index. */
  private completeAfterIndex: number;

  constructor(index: number) {
    this.completeAfterIndex = index;
  }

  add(index: number, changes: readonly DirectoryChange[]): void {
    if (changes.length === 0) return;
    this.entries.push({index, changes});
    if (this.entries.length <= MIN_KEPT_ENTRIES * 2) return;
    const dropped = this.entries.length - MIN_KEPT_ENTRIES;
    this.completeAfterIndex = this.entries[dropped - 1]!.index;
    this.entries = this.entries.slice(dropped);
  }

  /** Returns the changes after `index`, or `undefined` when the history does not reach back that far. */
  since(index: number): DirectoryChange[] | undefined {
    if (index < this.completeAfterIndex) return undefined;
    let first = this.entries.length;
    while (first > 0 && this.entries[first - 1]!.index > index) first--;
    return this.entries.slice(first).flatMap(({changes}) => changes);
  }
}
