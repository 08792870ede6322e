import {z} from 'zod';
import {isErrorCode} from '@medlarlane/errors';
import type {ErrorCode} from '@medlarlane/errors';
import {
  nameSchema,
  poisonReportSchema,
  rangeSchema,
  serviceNameSchema,
  sessionSchema,
} from '@medlarlane/model';

const errorCodeSchema = z.custom<ErrorCode>(
  (value) => typeof value === 'string' && isErrorCode(value),
);

/** Result of a command. The results of changes with a change id are kept for deduplication. */
export const commandResultSchema = z.discriminatedUnion('ok', [
  z.object({
    ok: z.literal(true),
    /** Index of the log entry that made the change. */
    index: z.int(),
    revision: z.int().optional(),
    sessionId: z.int().optional(),
  }),
  z.object({
    ok: z.literal(false),
    code: errorCodeSchema,
    message: z.string(),
    details: z.record(z.string(), z.unknown()).optional(),
  }),
]);
export type CommandResult = z.infer<typeof commandResultSchema>;

export const documentRevisionSchema = z.object({
  revision: z.int().positive(),
  index: z.int(),
  changeId: z.string(),
  baseRevision: z.int().min(0),
  proposedAtMs: z.int(),
  /** The document text exactly as signed. */
  documentJson: z.string(),
  signature: z.string(),
});
export type DocumentRevision = z.infer<typeof documentRevisionSchema>;

const deduplicatedChangeSchema = z.object({
  changeId: z.string(),
  fingerprint: z.string(),
  result: commandResultSchema,
});
export type DeduplicatedChange = z.infer<typeof deduplicatedChangeSchema>;

/** The complete control state at a log index. */
export const stateSnapshotSchema = z.object({
  index: z.int(),
  teams: z.array(z.object({team: nameSchema, publicKeyPem: z.string()})),
  documents: z.array(
    z.object({service: serviceNameSchema, revisions: z.array(documentRevisionSchema)}),
  ),
  sessions: z.array(sessionSchema),
  assignments: z.array(z.object({service: serviceNameSchema, ranges: z.array(rangeSchema)})),
  changes: z.array(deduplicatedChangeSchema),
  poison: z.array(
    z.object({service: serviceNameSchema, reportedAtMs: z.int(), report: poisonReportSchema}),
  ),
});
export type StateSnapshot = z.infer<typeof stateSnapshotSchema>;
