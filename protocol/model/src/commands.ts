import {z} from 'zod';
import {POSITION_END} from './directoryState.js';
import {poisonReportSchema} from './poisonReport.js';
import {registrationSchema} from './registration.js';
import {nameSchema, serviceNameSchema} from './serviceDocument.js';

const changeIdSchema = z.string().min(8).max(128);

export const claimTeamCommandSchema = z.object({
  kind: z.literal('claimTeam'),
  changeId: changeIdSchema,
  team: nameSchema,
  /** Ed25519 public key, SPKI PEM. */
  publicKeyPem: z.string().max(1024),
});

export const applyDocumentCommandSchema = z.object({
  kind: z.literal('applyDocument'),
  changeId: changeIdSchema,
  service: serviceNameSchema,
  /** Revision on which the change is based; 0 for the first document. */
  baseRevision: z.int().min(0),
  /** The document as JSON text, exactly as signed. */
  documentJson: z.string().max(262_144),
  /** Ed25519 signature, base64, over `signedText`. */
  signature: z.string().max(256),
  /** Wall-clock time at which the leader proposed the change, for the history. */
  proposedAtMs: z.int().min(0),
});

export const moveSchema = z.object({
  fromPosition: z.number().min(0).max(POSITION_END),
  toPosition: z.number().min(0).max(POSITION_END),
  fromSessionId: z.int().positive(),
  toSessionId: z.int().positive(),
});
export type Move = z.infer<typeof moveSchema>;

const rangeKeySchema = z.object({startPosition: z.number(), epoch: z.int()});

/** A command in the replicated log. */
export const commandSchema = z.discriminatedUnion('kind', [
  claimTeamCommandSchema,
  applyDocumentCommandSchema,
  z.object({kind: z.literal('registerSession'), registration: registrationSchema}),
  z.object({
    kind: z.literal('endSession'),
    sessionId: z.int().positive(),
    reason: z.string().max(256),
  }),
  z.object({kind: z.literal('drainSession'), sessionId: z.int().positive()}),
  z.object({
    kind: z.literal('startMoves'),
    service: serviceNameSchema,
    moves: z.array(moveSchema),
  }),
  z.object({
    kind: z.literal('reportPoison'),
    /** Service of the target that crashed. */
    service: serviceNameSchema,
    /** Wall-clock time at which the leader received the report. */
    reportedAtMs: z.int().min(0),
    report: poisonReportSchema,
  }),
  z.object({
    kind: z.literal('finishMoves'),
    service: serviceNameSchema,
    ranges: z.array(rangeKeySchema),
  }),
]);
export type Command = z.infer<typeof commandSchema>;
export type CommandOf<K extends Command['kind']> = Extract<Command, {kind: K}>;

/** Returns the text that a team signs for a document change. */
export function signedText(change: {
  service: string;
  baseRevision: number;
  changeId: string;
  documentSha256: string;
}): string {
  const {service, baseRevision, changeId, documentSha256} = change;
  return ['medlarlane-document-v1', service, baseRevision, changeId, documentSha256].join('\n');
}
