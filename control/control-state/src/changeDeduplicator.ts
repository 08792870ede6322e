import type {CommandResult, DeduplicatedChange} from './stateSnapshot.js';

// Covers a week of resends at 1,200 changes per day.
const MAX_KEPT_CHANGES = 10_000;

/** Deduplicates changes: keeps the results of the latest changes by change id, so that a resend gets the first result. */
export class ChangeDeduplicator {
  private readonly changes: Map<string, DeduplicatedChange>;

  constructor(changes: readonly DeduplicatedChange[] = []) {
    this.changes = new Map(changes.map((change) => [change.changeId, change]));
  }

  /** Returns the recorded result of a change with this id, or runs `change` and records its result. */
  applyOnce(changeId: string, fingerprint: string, change: () => CommandResult): CommandResult {
    const recorded = this.changes.get(changeId);
    if (recorded && recorded.fingerprint === fingerprint) return recorded.result;
    if (recorded) {
      return {
        ok: false,
        code: 'CHANGE_ID_REUSED',
        message: `Change id ${changeId} was already used for another change`,
      };
    }
    const result = change();
    this.changes.set(changeId, {changeId, fingerprint, result});
    if (this.changes.size > MAX_KEPT_CHANGES) {
      const oldest = this.changes.keys().next();
      if (!oldest.done) this.changes.delete(oldest.value);
    }
    return result;
  }

  all(): DeduplicatedChange[] {
    return [...this.changes.values()];
  }
}
