import {decode, encode} from '@msgpack/msgpack';
import {z} from 'zod';
import {poisonExportSchema} from '@medlarlane/poison';
import {siteConfigurationSchema} from '@medlarlane/site-config';
import type {SiteConfiguration} from '@medlarlane/site-config';
import {keyRangeSchema} from '@medlarlane/site-state';

/**
 * `ready` takes work, `draining` finishes what it has and gives up its keys, `silent` sent no
 * heartbeat for a while, `ended` is certain to run no more.
 */
const targetStateSchema = z.enum(['ready', 'draining', 'silent', 'ended']);

const reportedTargetSchema = z.object({
  targetId: z.string(),
  /** One life of the target process: its id and its start. */
  life: z.string(),
  service: z.string(),
  state: targetStateSchema,
  slots: z.int(),
  /** How long the target stays slow after its start. */
  coldLeftMs: z.number(),
  /** Whether a grant that this daemon gave may still be in force at the target. */
  mayHoldKeys: z.boolean(),
  /** Requests for the target's keys per second, whether admitted or not. */
  offeredRps: z.number(),
  /** Smoothed duration of one request at the target. */
  meanMs: z.number(),
});

const releasedStretchSchema = z.object({
  life: z.string(),
  fromKey: z.int(),
  toKey: z.int(),
  handover: z.string(),
  /** The transfer for which the keys were given back; 0 for none. */
  transferId: z.int(),
});

/** What a daemon tells the control leader, a few times a second. */
export const reportRequestSchema = z.object({
  /** Listener to which other daemons forward requests; identifies the daemon. */
  forwardAddress: z.string(),
  availabilityZone: z.string(),
  configVersion: z.int(),
  /** Term of the leader that `directoryRevision` came from. */
  leaderTerm: z.int(),
  directoryRevision: z.int(),
  /** Log index up to which the daemon knows who owns which keys. */
  rangesIndex: z.int(),
  /** The answer may wait this long for news. */
  waitMs: z.number(),
  target: reportedTargetSchema.optional(),
  /** Earlier lives of targets beside this daemon that are certain to have ended. */
  endedLives: z.array(z.string()),
  released: z.array(releasedStretchSchema),
  /** Requests that were in flight when targets crashed, when some are new. */
  poison: poisonExportSchema.optional(),
  /** The process stops soon and takes no new work. */
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
});

const transferRequestSchema = z.object({
  transferId: z.int(),
  /** Part of the requests for the target's keys; the daemon picks the keys that carry it. */
  share: z.number(),
});

export const reportResponseSchema = z.object({
  leaderTerm: z.int(),
  /** Counted by the daemon from when it sent the report. */
  leaseMs: z.number(),
  /** Control addresses of the replicas for later reports. */
  controlAddresses: z.array(z.string()),
  daemonCount: z.int(),
  /** The newest configuration, when the daemon has an older one; encoded once for all daemons. */
  configuration: z.instanceof(Uint8Array).optional(),
  directoryRevision: z.int(),
  /** Whether `instances` is the whole directory. */
  full: z.boolean(),
  instances: z.array(directoryInstanceSchema),
  /** Forward addresses that are no longer in the directory. */
  removed: z.array(z.string()),
  rangesIndex: z.int(),
  /** Ranges that changed after the index that the daemon knows, by service. */
  ranges: z.array(z.tuple([z.string(), z.array(keyRangeSchema)])),
  poison: poisonExportSchema.optional(),
  /** Keys that the daemon's target is to give away. */
  transfers: z.array(transferRequestSchema),
});

export function encodeConfiguration(configuration: SiteConfiguration): Uint8Array<ArrayBuffer> {
  return encode(configuration, {ignoreUndefined: true});
}

/** @throws Error when the bytes are no configuration. */
export function decodeConfiguration(bytes: Uint8Array): SiteConfiguration {
  return siteConfigurationSchema.parse(decode(bytes));
}

export type TargetState = z.infer<typeof targetStateSchema>;
export type ReportedTarget = z.infer<typeof reportedTargetSchema>;
export type ReportRequest = z.infer<typeof reportRequestSchema>;
export type ReportResponse = z.infer<typeof reportResponseSchema>;
export type TransferRequest = z.infer<typeof transferRequestSchema>;
export type DirectoryInstance = z.infer<typeof directoryInstanceSchema>;
