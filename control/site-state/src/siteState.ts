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
import {KEY_COUNT, keyRangeSchema, replaceRange} from './keyRanges.js';
import type {KeyRange} from './keyRanges.js';
import {decodeCommand} from './siteCommands.js';
import type {DecodedSiteCommand, KeyAssignment} from './siteCommands.js';
import {evacuationSnapshotSchema, ZoneEvacuations} from './zoneEvacuations.js';

/** Result of a configuration change. Concurrent changes are decided by their order in the log. */
export type ChangeOutcome =
  | {readonly kind: 'accepted'; readonly version: number}
  | {readonly kind: 'conflict'; readonly currentVersion: number}
  | {readonly kind: 'invalid'; readonly reason: string};

/** Number of accepted changes kept to recognise resends. Hundreds of changes are made per day. */
const MAX_KEPT_CHANGES = 4_096;

const snapshotSchema = z.object({
  configuration: siteConfigurationSchema,
  accepted: z.array(z.tuple([z.string(), z.int()])),
  keys: z.array(z.tuple([z.string(), z.array(keyRangeSchema)])),
  homes: z.array(z.tuple([z.string(), z.string()])).default([]),
  evacuations: evacuationSnapshotSchema,
});

/** Replicated state machine: the state that every control replica derives from the log. */
export class SiteState implements StateMachine {
  configuration: SiteConfiguration = INITIAL_CONFIGURATION;
  private accepted = new Map<string, number>();
  private ranges = new Map<string, readonly KeyRange[]>();
  private addressByOwner = new Map<string, string>();
  private latestEpoch = 0;
  private readonly evacuations = new ZoneEvacuations();
  private readonly listeners = new Set<() => void>();

  /** Returns the ranges of a service, which cover all keys. */
  rangesOf(service: string): readonly KeyRange[] {
    return this.ranges.get(service) ?? [unownedRange()];
  }

  /** Log index of the newest assignment; 0 before the first one. */
  get rangesIndex(): number {
    return this.latestEpoch;
  }

  /** Returns the ranges assigned after the log index, by service. The epoch of a range is the index of its assignment. */
  rangesAssignedSince(index: number): Array<[string, KeyRange[]]> {
    if (index >= this.latestEpoch) return [];
    return [...this.ranges]
      .map(([service, ranges]): [string, KeyRange[]] => [
        service,
        ranges.filter(({epoch}) => epoch > index),
      ])
      .filter(([, ranges]) => ranges.length > 0);
  }

  /** Whether any key of the service has ever been assigned. */
  hasBeenAssigned(service: string): boolean {
    return this.ranges.has(service);
  }

  /** Addresses of the daemons of the targets that own keys, by target incarnation. */
  get ownerAddresses(): ReadonlyMap<string, string> {
    return this.addressByOwner;
  }

  /** Evacuated availability zones, with the log index of their evacuation. */
  get evacuatedZones(): ReadonlyMap<string, number> {
    return this.evacuations.zones;
  }

  /** Log index of the latest change of the evacuated zones; 0 before the first one. */
  get evacuationIndex(): number {
    return this.evacuations.index;
  }

  /** Log index of the latest accepted evacuation call; 0 before the first one. */
  get evacuationCallIndex(): number {
    return this.evacuations.callIndex;
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
    const {configuration, accepted, ranges, addressByOwner, evacuations} = this;
    return encode(
      {
        configuration,
        accepted: [...accepted],
        keys: [...ranges],
        homes: [...addressByOwner],
        evacuations: evacuations.snapshot(),
      },
      {ignoreUndefined: true},
    );
  }

  restore(payload: Uint8Array): void {
    const {configuration, accepted, keys, homes, evacuations} = snapshotSchema.parse(
      decode(payload),
    );
    this.configuration = configuration;
    this.accepted = new Map(accepted);
    this.ranges = new Map(keys);
    this.latestEpoch = 0;
    for (const [, ranges] of keys) {
      for (const {epoch} of ranges) this.latestEpoch = Math.max(this.latestEpoch, epoch);
    }
    this.addressByOwner = new Map(homes);
    this.evacuations.restore(evacuations);
    for (const listener of this.listeners) listener();
  }

  private applyCommand(command: DecodedSiteCommand, index: number): unknown {
    switch (command.kind) {
      case 'changeConfiguration':
        return this.changeConfiguration(command.change);
      case 'assignKeys':
        for (const [incarnation, daemonAddress] of Object.entries(command.homes))
          this.addressByOwner.set(incarnation, daemonAddress);
        return this.assignKeys(command.service, command.assignments, index);
      case 'setEvacuation':
        return this.evacuations.apply(command, index);
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
    this.recordAccepted(change);
    return {kind: 'accepted', version: next.version};
  }

  private recordAccepted({digest, version}: ConfigurationChange): void {
    this.accepted.set(digest, version);
    if (this.accepted.size <= MAX_KEPT_CHANGES) return;
    const [oldest] = this.accepted.keys();
    if (oldest !== undefined) this.accepted.delete(oldest);
  }

  private pruneOwnerAddresses(): void {
    const owners = new Set(
      [...this.ranges.values()].flatMap((ranges) => ranges.map(({ownerLife}) => ownerLife)),
    );
    for (const incarnation of this.addressByOwner.keys())
      if (!owners.has(incarnation)) this.addressByOwner.delete(incarnation);
  }

  /** Returns the number of assignments that were applied. */
  private assignKeys(
    service: string,
    assignments: readonly KeyAssignment[],
    index: number,
  ): number {
    let ranges = this.rangesOf(service);
    let changed = 0;
    for (const assignment of assignments) {
      const {fromKey, toKey, ownerLife, handover, previousOwnerLife} = assignment;
      const maxPreviousEpoch = assignment.maxPreviousEpoch ?? Infinity;
      const affected = ranges.filter((range) => range.fromKey <= toKey && range.toKey >= fromKey);
      const hasChanged = affected.some(
        (range) => range.ownerLife !== previousOwnerLife || range.epoch > maxPreviousEpoch,
      );
      if (hasChanged) continue;
      ranges = replaceRange(ranges, {fromKey, toKey, ownerLife, epoch: index, handover});
      changed += 1;
      this.latestEpoch = index;
    }
    this.ranges.set(service, ranges);
    this.pruneOwnerAddresses();
    return changed;
  }
}

function unownedRange(): KeyRange {
  return {fromKey: 0, toKey: KEY_COUNT - 1, ownerLife: '', epoch: 0, handover: ''};
}
