import {decode, encode} from '@msgpack/msgpack';
import {z} from 'zod';
import {MAX_REPORTED_PRIORITIES, MAX_REPORTED_SERVICES} from '@medlarlane/admission';
import {poisonExportSchema} from '@medlarlane/poison';
import {siteConfigurationSchema} from '@medlarlane/site-config';
import type {SiteConfiguration} from '@medlarlane/site-config';
import {keyRangeSchema} from '@medlarlane/site-state';

/**
 * `ready` accepts requests, `draining` finishes its requests and releases its keys, `silent` has missed
 * heartbeats, `ended` has certainly stopped.
 */
const targetStateSchema = z.enum(['ready', 'draining', 'silent', 'ended']);

const reportedTargetSchema = z.object({
  targetId: z.string(),
  /** Incarnation of the target process: its id and its start time. */
  life: z.string(),
  service: z.string(),
  state: targetStateSchema,
  slots: z.int(),
  /** Remaining duration of the cold start. */
  coldLeftMs: z.number(),
  /** Whether a grant from this daemon may still be in force at the target. */
  mayHoldKeys: z.boolean(),
  /** Requests per second for the target's keys, whether admitted or not. */
  offeredRps: z.number(),
  /** Smoothed mean duration of a request at the target. */
  meanMs: z.number(),
  /** The rate limit that the target names, and how long ago it first named one; absent without a limit. */
  rateLimit: z.object({rps: z.number(), ageMs: z.number()}).optional(),
  /** False until the daemon has heard from the target whether it names a limit. */
  isRateLimitKnown: z.boolean().optional(),
  /** Whether the daemon refuses requests for the target because of an evacuation of its zone. */
  isEvacuated: z.boolean().optional(),
});

const releasedRangeSchema = z.object({
  life: z.string(),
  fromKey: z.int(),
  toKey: z.int(),
  handover: z.string(),
  /** The transfer for which the keys were released; 0 for none. */
  transferId: z.int(),
  /** Fencing token of the assignment that the keys were released from; absent in earlier versions. */
  epoch: z.int().optional(),
});

/** Priority and two rates of its requests. */
const ratesSchema = z
  .array(z.tuple([z.int(), z.number(), z.number()]))
  .max(MAX_REPORTED_PRIORITIES);

const demandSchema = z.object({
  /** Mean number of slots in use at the target, and slots that its rate limit permits to use. */
  busySlots: z.number(),
  usableSlots: z.number(),
  /** By priority: completed per second, mean number of slots that those held, refused per second. */
  gate: z
    .array(z.tuple([z.int(), z.number(), z.number(), z.number()]))
    .max(MAX_REPORTED_PRIORITIES),
  /** Requests of callers at this daemon by service: new and returned after a refusal, per second. */
  entries: z.array(z.tuple([z.string(), ratesSchema])).max(MAX_REPORTED_SERVICES),
});

/** Sums over all daemons for a service near its capacity, in hundredths. */
const serviceSumsSchema = z.tuple([
  z.string(),
  z.object({
    usableSlots: z.int(),
    busySlots: z.int(),
    /** Priority, new, returned and completed requests/s, slots held by completed ones, refused requests/s. */
    byPriority: z.array(z.tuple([z.int(), z.int(), z.int(), z.int(), z.int(), z.int()])),
  }),
]);

/** Report that a daemon sends to the control leader a few times per second. */
export const reportRequestSchema = z.object({
  /** Address at which the daemon accepts forwarded requests; identifies the daemon. */
  forwardAddress: z.string(),
  /** Random identity of the daemon process; absent in reports of earlier versions. */
  processId: z.string().optional(),
  /** Number of the report, which increases within a process; absent in reports of earlier versions. */
  sequence: z.int().optional(),
  availabilityZone: z.string(),
  configVersion: z.int(),
  /** Term of the leader that `directoryRevision` came from. */
  leaderTerm: z.int(),
  directoryRevision: z.int(),
  /** Log index up to which the daemon knows the key assignments. */
  rangesIndex: z.int(),
  /** Log index up to which the daemon knows the evacuated zones; absent in reports of earlier versions. */
  evacuationIndex: z.int().optional(),
  /** Longest time for which the leader may hold the response until there is an update. */
  waitMs: z.number(),
  target: reportedTargetSchema.optional(),
  /** Earlier incarnations of this daemon's targets that have certainly ended. */
  endedLives: z.array(z.string()),
  released: z.array(releasedRangeSchema),
  /** Requests in flight at target crashes; present when there are new ones. */
  poison: poisonExportSchema.optional(),
  /** Present while the target is near its capacity or the leader wants it. */
  demand: demandSchema.optional(),
  /** Whether the daemon is shutting down and accepts no new requests. */
  stopping: z.boolean(),
});

const directoryInstanceSchema = z.object({
  forwardAddress: z.string(),
  availabilityZone: z.string(),
  targetId: z.string(),
  life: z.string(),
  service: z.string(),
  state: targetStateSchema,
  slots: z.int(),
  coldLeftMs: z.number(),
  stopping: z.boolean(),
  /** Requests per second that the target accepts; absent if it names no limit. */
  rateLimitRps: z.number().optional(),
});

const transferRequestSchema = z.object({
  transferId: z.int(),
  /** Fraction of the requests for the target's keys to move; the daemon selects keys that carry it. */
  share: z.number(),
});

export const reportResponseSchema = z.object({
  leaderTerm: z.int(),
  /** Lease duration, which the daemon counts from the time it sent the report. */
  leaseMs: z.number(),
  /** Control addresses of all replicas, for later reports. */
  controlAddresses: z.array(z.string()),
  daemonCount: z.int(),
  /** The current configuration, when the daemon has an older one; encoded once for all daemons. */
  configuration: z.instanceof(Uint8Array).optional(),
  directoryRevision: z.int(),
  /** Whether `instances` is the whole directory. */
  full: z.boolean(),
  instances: z.array(directoryInstanceSchema),
  /** Forward addresses that are no longer in the directory. */
  removed: z.array(z.string()),
  rangesIndex: z.int(),
  /** Ranges that changed after the daemon's `rangesIndex`, by service. */
  ranges: z.array(z.tuple([z.string(), z.array(keyRangeSchema)])),
  poison: poisonExportSchema.optional(),
  /** The evacuated availability zones, when the daemon knows those of an earlier log index. */
  evacuation: z.object({index: z.int(), zones: z.array(z.string())}).optional(),
  /** Key transfers requested from the daemon's target. */
  transfers: z.array(transferRequestSchema),
  /** True while a gate is near its capacity: the next reports should contain the demand. */
  isDemandWanted: z.boolean().optional(),
  /** Sums of the services near their capacity; absent if there are none. */
  demand: z.array(serviceSumsSchema).optional(),
});

export function encodeConfiguration(configuration: SiteConfiguration): Uint8Array<ArrayBuffer> {
  return encode(configuration, {ignoreUndefined: true});
}

/** @throws Error when the bytes do not encode a valid configuration. */
export function decodeConfiguration(bytes: Uint8Array): SiteConfiguration {
  return siteConfigurationSchema.parse(decode(bytes));
}

export type ServiceSums = z.infer<typeof serviceSumsSchema>;

/** Demand and completed work of one priority of a service, summed over all daemons. */
export interface PrioritySum {
  readonly priority: number;
  newRps: number;
  returnedRps: number;
  completedRps: number;
  busySlots: number;
  refusedRps: number;
}

export type TargetState = z.infer<typeof targetStateSchema>;
export type ReportedTarget = z.infer<typeof reportedTargetSchema>;
export type ReportRequest = z.infer<typeof reportRequestSchema>;
export type ReportResponse = z.infer<typeof reportResponseSchema>;
export type TransferRequest = z.infer<typeof transferRequestSchema>;
export type DirectoryInstance = z.infer<typeof directoryInstanceSchema>;
