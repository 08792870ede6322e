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

/** Removals that are remembered; a reader that is further behind gets the whole directory. */
const REMEMBERED_REMOVALS = 256;

/** The instances that the leader knows, with a revision for each change. */
export class InstanceDirectory {
  revision = 1;
  private readonly entries = new Map<string, Entry>();
  private removals: Array<{forwardAddress: string; revision: number}> = [];

  get instances(): DirectoryInstance[] {
    return [...this.entries.values()].map(({instance}) => instance);
  }

  /** Returns whether the entry changed. */
  put(instance: DirectoryInstance): boolean {
    const known = this.entries.get(instance.forwardAddress);
    if (known && sameInstance(known.instance, instance)) return false;
    this.revision += 1;
    this.entries.set(instance.forwardAddress, {instance, revision: this.revision});
    return true;
  }

  remove(forwardAddress: string): boolean {
    if (!this.entries.delete(forwardAddress)) return false;
    this.revision += 1;
    this.removals.push({forwardAddress, revision: this.revision});
    this.removals = this.removals.slice(-REMEMBERED_REMOVALS);
    return true;
  }

  /** Counts a change that is not about an instance. */
  touch(): void {
    this.revision += 1;
  }

  /** What a reader of revision `known` lacks. */
  since(known: number): DirectoryChanges {
    const oldest = this.removals[0]?.revision ?? 0;
    const forgot = this.removals.length === REMEMBERED_REMOVALS && known < oldest;
    const full = known === 0 || forgot;
    const instances = [...this.entries.values()]
      .filter(({revision}) => full || revision > known)
      .map(({instance}) => instance);
    const removed = full
      ? []
      : this.removals
          .filter((removal) => removal.revision > known)
          .map(({forwardAddress}) => forwardAddress)
          .filter((forwardAddress) => !this.entries.has(forwardAddress));
    return {full, instances, removed};
  }
}

/** The cold time runs down by itself, so only a new life changes it. */
function sameInstance(a: DirectoryInstance, b: DirectoryInstance): boolean {
  return (
    a.life === b.life &&
    a.state === b.state &&
    a.service === b.service &&
    a.slots === b.slots &&
    a.stopping === b.stopping &&
    a.availabilityZone === b.availabilityZone
  );
}
