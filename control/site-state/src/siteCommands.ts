import {decode, encode} from '@msgpack/msgpack';
import {z} from 'zod';
import {configurationChangeSchema} from '@medlarlane/site-config';
import {evacuationChangeSchema} from './zoneEvacuations.js';

const keyAssignmentSchema = z.object({
  fromKey: z.int(),
  toKey: z.int(),
  /** Incarnation of the new owner; empty leaves the range unowned. */
  ownerLife: z.string(),
  handover: z.string(),
  /** The assignment is skipped when any of its keys has a different owner by the time it is applied. */
  previousOwnerLife: z.string(),
  /**
   * The same when any of its keys was assigned after this epoch: a release that is reported twice must not
   * take away keys that its owner was assigned again.
   */
  maxPreviousEpoch: z.int().optional(),
});

const siteCommandSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('changeConfiguration'), change: configurationChangeSchema}),
  z.object({
    kind: z.literal('assignKeys'),
    service: z.string(),
    assignments: z.array(keyAssignmentSchema),
    /** Addresses of the daemons of the new owners, by target incarnation. */
    homes: z.record(z.string(), z.string()).default({}),
  }),
  z.object({kind: z.literal('setEvacuation'), ...evacuationChangeSchema.shape}),
]);

export type KeyAssignment = z.infer<typeof keyAssignmentSchema>;
/** A command in the replicated log. */
export type SiteCommand = z.input<typeof siteCommandSchema>;
export type DecodedSiteCommand = z.output<typeof siteCommandSchema>;

export function encodeCommand(command: SiteCommand): Uint8Array {
  return encode(command, {ignoreUndefined: true});
}

export function decodeCommand(payload: Uint8Array): DecodedSiteCommand {
  return siteCommandSchema.parse(decode(payload));
}
