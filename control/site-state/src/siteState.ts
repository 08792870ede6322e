import {decode, encode} from '@msgpack/msgpack';
import {z} from 'zod';
import type {StateMachine} from '@medlarlane/consensus';
import type {LogEntry} from '@medlarlane/log-store';
import {
  validateConfiguration,
  INITIAL_CONFIGURATION,
  applyConfigurationChange,
  siteConfigurationSchema,
} from '@medlarlane/site-config';
import type {ConfigurationChange, SiteConfiguration} from '@medlarlane/site-config';
import {KEY_COUNT, keyRangeSchema, replaceStretch} from './keyRanges.js';
import type {KeyRange} from './keyRanges.js';
import {decodeCommand} from './siteCommands.js';
import type {DecodedSiteCommand, KeyAssignment} from './siteCommands.js';

/** The answer to a configuration change; the log order decides it. */
export type ChangeOutcome =
  | {readonly kind: 'accepted'; readonly version: number}
  | {readonly kind: 'conflict'; readonly currentVersion: number}
  | {readonly kind: 'invalid'; readonly reason: string};

/** Accepted changes that are remembered to answer resends; a day has hundreds. */
const REMEMBERED_CHANGES = 4_096;

const snapshotSchema = z.object({
  configuration: siteConfigurationSchema,
  accepted: z.array(z.tuple([z.string(), z.int()])),
  keys: z.array(z.tuple([z.string(), z.array(keyRangeSchema)])),
  homes: z.array(z.tuple([z.string(), z.string()])).default([]),
});

/** The state that every control replica derives from the log. */
export class SiteState implements StateMachine {
  configuration: SiteConfiguration = INITIAL_CONFIGURATION;
  private accepted = new Map<string, number>();
  private ranges = new Map<string, readonly KeyRange[]>();
  private homes = new Map<string, string>();
  private newestEpoch = 0;
  private readonly listeners = new Set<() => void>();

  /** The ranges of a service. They cover all keys. */
  rangesOf(service: string): readonly KeyRange[] {
    return this.ranges.get(service) ?? [unowned()];
  }

  /** Log index of the newest assignment; 0 before the first one. */
  get rangesIndex(): number {
    return this.newestEpoch;
  }

  /** What changed after the log index, by service. The epoch of a range is the index of its assignment. */
  rangesSince(index: number): Array<[string, KeyRange[]]> {
    if (index >= this.newestEpoch) return [];
    return [...this.ranges]
      .map(([service, ranges]): [string, KeyRange[]] => [
        service,
        ranges.filter(({epoch}) => epoch > index),
      ])
      .filter(([, ranges]) => ranges.length > 0);
  }

  /** Whether any key of the service ever had an owner. */
  hasBeenAssigned(service: string): boolean {
    return this.ranges.has(service);
  }

  /** Lives that own keys, with the address of the daemon beside each. */
  get ownerAddresses(): ReadonlyMap<string, string> {
    return this.homes;
  }

  /** Calls the listener after each applied command. */
  onChange(listener: () => void): void {
    this.listeners.add(listener);
  }

  apply(entry: LogEntry): unknown {
    const command = decodeCommand(entry.payload);
    const result = this.applyCommand(command, entry.index);
    for (const listener of this.listeners) listener();
    return result;
  }

  snapshot(): Uint8Array {
    const {configuration, accepted, ranges, homes} = this;
    return encode(
      {configuration, accepted: [...accepted], keys: [...ranges], homes: [...homes]},
      {ignoreUndefined: true},
    );
  }

  restore(payload: Uint8Array): void {
    const {configuration, accepted, keys, homes} = snapshotSchema.parse(decode(payload));
    this.configuration = configuration;
    this.accepted = new Map(accepted);
    this.ranges = new Map(keys);
    this.newestEpoch = 0;
    for (const [, ranges] of keys) {
      for (const {epoch} of ranges) this.newestEpoch = Math.max(this.newestEpoch, epoch);
    }
    this.homes = new Map(homes);
    for (const listener of this.listeners) listener();
  }

  private applyCommand(command: DecodedSiteCommand, index: number): unknown {
    switch (command.kind) {
      case 'changeConfiguration':
        return this.changeConfiguration(command.change);
      case 'assignKeys':
        for (const [life, home] of Object.entries(command.homes)) this.homes.set(life, home);
        return this.assignKeys(command.service, command.assignments, index);
    }
  }

  private changeConfiguration(change: ConfigurationChange): ChangeOutcome {
    const acceptedVersion = this.accepted.get(change.digest);
    if (acceptedVersion !== undefined) return {kind: 'accepted', version: acceptedVersion};
    const currentVersion = this.configuration.version;
    if (change.baseVersion !== currentVersion) return {kind: 'conflict', currentVersion};
    if (change.version <= currentVersion) {
      return {kind: 'invalid', reason: `version is not above ${currentVersion}`};
    }
    const next = applyConfigurationChange(this.configuration, change);
    const reason = validateConfiguration(next);
    if (reason) return {kind: 'invalid', reason};
    this.configuration = next;
    this.remember(change);
    return {kind: 'accepted', version: next.version};
  }

  private remember({digest, version}: ConfigurationChange): void {
    this.accepted.set(digest, version);
    if (this.accepted.size <= REMEMBERED_CHANGES) return;
    const [oldest] = this.accepted.keys();
    if (oldest !== undefined) this.accepted.delete(oldest);
  }

  private forgetHomes(): void {
    const owners = new Set(
      [...this.ranges.values()].flatMap((ranges) => ranges.map(({ownerLife}) => ownerLife)),
    );
    for (const life of this.homes.keys()) if (!owners.has(life)) this.homes.delete(life);
  }

  /** Returns the number of stretches that changed hands. */
  private assignKeys(
    service: string,
    assignments: readonly KeyAssignment[],
    index: number,
  ): number {
    let ranges = this.rangesOf(service);
    let changed = 0;
    for (const {fromKey, toKey, ownerLife, handover, previousOwnerLife} of assignments) {
      const affected = ranges.filter((range) => range.fromKey <= toKey && range.toKey >= fromKey);
      if (affected.some((range) => range.ownerLife !== previousOwnerLife)) continue;
      ranges = replaceStretch(ranges, {fromKey, toKey, ownerLife, epoch: index, handover});
      changed += 1;
      this.newestEpoch = index;
    }
    this.ranges.set(service, ranges);
    this.forgetHomes();
    return changed;
  }
}

function unowned(): KeyRange {
  return {fromKey: 0, toKey: KEY_COUNT - 1, ownerLife: '', epoch: 0, handover: ''};
}
