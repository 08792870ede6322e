import {z} from 'zod';
import {poisonReportSchema} from './poisonReport.js';
import {sessionSchema} from './registration.js';
import {serviceDocumentSchema, serviceNameSchema} from './serviceDocument.js';

/** Key positions are in [0, POSITION_END). They have 53 bits, so that each is a safe integer. */
export const POSITION_END = 2 ** 53;

/** A range of key positions. It ends where the next range starts. */
export const rangeSchema = z.object({
  startPosition: z.number().min(0).max(POSITION_END),
  /** Session that owns the range, or 0 when no session does. */
  ownerSessionId: z.int().min(0),
  /** Session to which the range is being moved, or 0 when it is not being moved. */
  nextSessionId: z.int().min(0),
  /** Index of the log entry that assigned the range to its owner; increases monotonically. */
  epoch: z.int().min(0),
});
export type Range = z.infer<typeof rangeSchema>;

/** A change to the directory. `ranges` replaces all ranges in [fromPosition, toPosition). */
export const directoryChangeSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('document'),
    revision: z.int().positive(),
    document: serviceDocumentSchema,
  }),
  z.object({kind: z.literal('session'), session: sessionSchema}),
  z.object({kind: z.literal('sessionEnded'), sessionId: z.int().positive()}),
  z.object({
    kind: z.literal('poison'),
    reportedAtMs: z.int().min(0),
    report: poisonReportSchema,
  }),
  z.object({
    kind: z.literal('ranges'),
    service: serviceNameSchema,
    fromPosition: z.number(),
    toPosition: z.number(),
    ranges: z.array(rangeSchema),
  }),
]);
export type DirectoryChange = z.infer<typeof directoryChangeSchema>;

/** The whole directory as of one log index. */
export const directorySnapshotSchema = z.object({
  documents: z.array(z.object({revision: z.int().positive(), document: serviceDocumentSchema})),
  sessions: z.array(sessionSchema),
  assignments: z.array(z.object({service: serviceNameSchema, ranges: z.array(rangeSchema)})),
  poison: z.array(z.object({reportedAtMs: z.int().min(0), report: poisonReportSchema})),
});
export type DirectorySnapshot = z.infer<typeof directorySnapshotSchema>;
