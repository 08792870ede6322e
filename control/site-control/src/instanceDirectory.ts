import type {DirectoryInstance} from './reports.js';

interface Entry {
  readonly instance: DirectoryInstance;
  readonly revision: number;
}

export interface DirectoryChanges {
  readonly full: boolean;
  readonly instances: DirectoryInstance[];
  readonly removed: string[];
}

/** Number of removals kept. A reader that is further behind gets the whole directory. */
const MAX_KEPT_REMOVALS = 256;
const MAX_SIMILAR_LIMIT_DIFFERENCE = 0.1;

/** Directory of the instances that reported to the leader. Each change increments the revision. */
export class InstanceDirectory {
  revision = 1;
  private readonly entries = new Map<string, Entry>();
  private removals: Array<{forwardAddress: string; revision: number}> = [];

  get instances(): DirectoryInstance[] {
    return [...this.entries.values()].map(({instance}) => instance);
  }

  get(forwardAddress: string): DirectoryInstance | undefined {
    return this.entries.get(forwardAddress)?.instance;
  }

  /** Adds or replaces an instance. Returns whether the entry changed. */
  put(instance: DirectoryInstance): boolean {
    const existing = this.entries.get(instance.forwardAddress);
    if (existing && isSameInstance(existing.instance, instance)) return false;
    this.revision += 1;
    this.entries.set(instance.forwardAddress, {instance, revision: this.revision});
    return true;
  }

  remove(forwardAddress: string): boolean {
    if (!this.entries.delete(forwardAddress)) return false;
    this.revision += 1;
    this.removals.push({forwardAddress, revision: this.revision});
    this.removals = this.removals.slice(-MAX_KEPT_REMOVALS);
    return true;
  }

  /** Records a change that does not concern an instance, so that readers fetch an update. */
  incrementRevision(): void {
    this.revision += 1;
  }

  /** Returns the changes since a revision, or the whole directory when the removals do not reach back that far. */
  changesSince(knownRevision: number): DirectoryChanges {
    const oldestRemoval = this.removals[0]?.revision ?? 0;
    const isHistoryTruncated =
      this.removals.length === MAX_KEPT_REMOVALS && knownRevision < oldestRemoval;
    const full = knownRevision === 0 || isHistoryTruncated;
    const instances = [...this.entries.values()]
      .filter(({revision}) => full || revision > knownRevision)
      .map(({instance}) => instance);
    const removed = full
      ? []
      : this.removals
          .filter((removal) => removal.revision > knownRevision)
          .map(({forwardAddress}) => forwardAddress)
          .filter((forwardAddress) => !this.entries.has(forwardAddress));
    return {full, instances, removed};
  }
}

/** Ignores `coldLeftMs`, which counts down without reports; only a new incarnation resets it. */
function isSameInstance(a: DirectoryInstance, b: DirectoryInstance): boolean {
  return (
    a.life === b.life &&
    a.state === b.state &&
    a.service === b.service &&
    a.slots === b.slots &&
    a.stopping === b.stopping &&
    a.availabilityZone === b.availabilityZone &&
    isSimilarLimit(a.rateLimitRps, b.rateLimitRps)
  );
}

/** Ignores small changes of a limit, which all daemons would be told. */
function isSimilarLimit(aRps: number | undefined, bRps: number | undefined): boolean {
  if (aRps === undefined || bRps === undefined) return aRps === bRps;
  return Math.abs(aRps - bRps) <= MAX_SIMILAR_LIMIT_DIFFERENCE * Math.max(aRps, bRps);
}
