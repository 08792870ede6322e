import type {CommandResult, RememberedChange} from './stateSnapshot.js';

// At 1,200 changes a day this covers a week of resends.
const CAPACITY_CHANGES = 10_000;

/** Results of the latest changes by change id, so that a resend gets the first result. */
export class ChangeMemory {
  private readonly changes: Map<string, RememberedChange>;

  constructor(changes: readonly RememberedChange[] = []) {
    this.changes = new Map(changes.map((change) => [change.changeId, change]));
  }

  /** Returns the result of an earlier change with this id, or runs and remembers `change`. */
  once(changeId: string, fingerprint: string, change: () => CommandResult): CommandResult {
    const known = this.changes.get(changeId);
    if (known && known.fingerprint === fingerprint) return known.result;
    if (known) {
      return {
        ok: false,
        code: 'CHANGE_ID_REUSED',
        message: `Change id ${changeId} was used before`,
      };
    }
    const result = change();
    this.changes.set(changeId, {changeId, fingerprint, result});
    if (this.changes.size > CAPACITY_CHANGES) {
      const oldest = this.changes.keys().next();
      if (!oldest.done) this.changes.delete(oldest.value);
    }
    return result;
  }

  all(): RememberedChange[] {
    return [...this.changes.values()];
  }
}
