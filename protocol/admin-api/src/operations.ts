import {z} from 'zod';
import {
  applyDocumentCommandSchema,
  claimTeamCommandSchema,
  hostPortSchema,
  serviceNameSchema,
  sessionSchema,
} from '@medlarlane/model';

const revisionSchema = z.int().positive();
const logIndexSchema = z.int().min(0);
const positionSchema = z.number().min(0);
const replicaIdSchema = z.string().min(1).max(128);
const instanceIdSchema = z.string().min(1).max(128);
const changeIdSchema = applyDocumentCommandSchema.shape.changeId;

const memberSchema = z.object({
  replicaId: z.string(),
  address: hostPortSchema,
  role: z.enum(['leader', 'follower', 'learner']),
  /** Highest log index known to be stored by the member. */
  matchIndex: logIndexSchema,
  /** `unknown` when the leader has received no recent response from the member. */
  disk: z.enum(['ok', 'failed', 'unknown']),
  reachable: z.boolean(),
});
export type ControlMember = z.infer<typeof memberSchema>;

const liveSessionSchema = sessionSchema.extend({
  /** Last log index that the daemon confirmed as applied. */
  appliedIndex: logIndexSchema,
});
export type LiveSession = z.infer<typeof liveSessionSchema>;

const serviceStatusSchema = z.object({
  service: serviceNameSchema,
  revision: revisionSchema,
  splitByKey: z.boolean(),
  /** Live sessions of the service. */
  sessionCount: z.int().min(0),
  rangeCount: z.int().min(0),
  /** Ranges that no live session owns. */
  unownedRangeCount: z.int().min(0),
  /** Ranges that are being moved. */
  movingRangeCount: z.int().min(0),
});
export type ServiceStatus = z.infer<typeof serviceStatusSchema>;

const poisonEntrySchema = z.object({
  service: serviceNameSchema,
  /** Idempotency key or digest of the request. */
  fingerprint: z.string(),
  crashes: z.int().min(0),
  /** Time until the entry expires. */
  remainingMs: z.number().min(0),
});
export type PoisonEntry = z.infer<typeof poisonEntrySchema>;

const revisionEntrySchema = z.object({
  revision: revisionSchema,
  /** Index of the log entry that committed the revision. */
  index: logIndexSchema,
  changeId: z.string(),
  baseRevision: z.int().min(0),
  /** SHA-256 of the document's JSON text, lower-case hex. */
  documentSha256: z.string(),
});
export type RevisionEntry = z.infer<typeof revisionEntrySchema>;

const targetSchema = z.object({
  sessionId: z.int().positive(),
  instanceId: z.string(),
  region: z.string(),
  availabilityZone: z.string(),
  callerAddress: hostPortSchema,
  draining: z.boolean(),
  rangesOwned: z.int().min(0),
  appliedIndex: logIndexSchema,
  load: z.object({rateRps: z.number().min(0), inFlight: z.int().min(0)}),
});
export type TargetStatus = z.infer<typeof targetSchema>;

const appliedIndexSchema = z.object({
  instanceId: z.string(),
  availabilityZone: z.string(),
  appliedIndex: logIndexSchema,
});
export type InstanceProgress = z.infer<typeof appliedIndexSchema>;

const membersResponseSchema = z.object({members: z.array(memberSchema)});

/**
 * All operations of the admin API. A request that changes state needs the operator token.
 * `applyDocument` and `claimTeam` are idempotent: a request that is sent again with the same change
 * id returns the first response.
 */
export const ADMIN_OPERATIONS = {
  claimTeam: {
    changesState: true,
    request: z.strictObject(claimTeamCommandSchema.omit({kind: true}).shape),
    response: z.object({team: z.string(), index: logIndexSchema}),
  },
  applyDocument: {
    changesState: true,
    request: z.strictObject(
      applyDocumentCommandSchema.omit({kind: true, proposedAtMs: true}).shape,
    ),
    response: z.object({
      service: serviceNameSchema,
      revision: revisionSchema,
      /** Index of the log entry, to be passed to `inForce`. */
      index: logIndexSchema,
    }),
  },
  /**
   * Returns the current revision unless `revision` is set. Errors: SERVICE_UNKNOWN,
   * REVISION_UNKNOWN.
   */
  getDocument: {
    changesState: false,
    request: z.strictObject({service: serviceNameSchema, revision: revisionSchema.optional()}),
    response: revisionEntrySchema.extend({
      service: serviceNameSchema,
      /** The document's JSON text, exactly as signed. */
      documentJson: z.string(),
      signature: z.string(),
    }),
  },
  /** Returns the retained revisions, newest first. */
  history: {
    changesState: false,
    request: z.strictObject({
      service: serviceNameSchema,
      limit: z.int().min(1).max(1_000).optional(),
    }),
    response: z.object({service: serviceNameSchema, revisions: z.array(revisionEntrySchema)}),
  },
  status: {
    changesState: false,
    request: z.strictObject({}),
    response: z.object({
      group: z.string(),
      leaderId: z.string(),
      term: z.int().min(0),
      commitIndex: logIndexSchema,
      /** Number of further members that may fail now without loss of the majority. */
      lossesToleratedNow: z.int().min(0),
      members: z.array(memberSchema),
      sessions: z.array(liveSessionSchema),
      services: z.array(serviceStatusSchema),
      poison: z.array(poisonEntrySchema),
    }),
  },
  /**
   * Finds the owner of a key. Errors: SERVICE_UNKNOWN; REQUEST_INVALID for a service not split by
   * key.
   */
  locateKey: {
    changesState: false,
    request: z.strictObject({service: serviceNameSchema, key: z.string().min(1).max(4_096)}),
    response: z.object({
      service: serviceNameSchema,
      key: z.string(),
      position: positionSchema,
      /** Session that owns the key; absent while no live session does. */
      owner: z
        .object({
          sessionId: z.int().positive(),
          instanceId: z.string(),
          availabilityZone: z.string(),
          callerAddress: hostPortSchema,
        })
        .optional(),
      /** Instance to which the key's range is being moved, if any. */
      nextInstanceId: z.string().optional(),
      epoch: logIndexSchema,
    }),
  },
  listTargets: {
    changesState: false,
    request: z.strictObject({service: serviceNameSchema}),
    response: z.object({service: serviceNameSchema, targets: z.array(targetSchema)}),
  },
  /**
   * Moves the ranges of the instance's session to other sessions. Idempotent; the response is sent
   * once the command is committed.
   */
  drain: {
    changesState: true,
    request: z.strictObject({instanceId: instanceIdSchema}),
    response: z.object({instanceId: z.string(), sessionId: z.int().positive()}),
  },
  addLearner: {
    changesState: true,
    request: z.strictObject({replicaId: replicaIdSchema, address: hostPortSchema}),
    response: membersResponseSchema,
  },
  /** Makes a learner a voter. Errors: MEMBER_UNKNOWN, REPLICA_BEHIND, MEMBER_CHANGE_PENDING. */
  promote: {
    changesState: true,
    request: z.strictObject({replicaId: replicaIdSchema}),
    response: membersResponseSchema,
  },
  removeMember: {
    changesState: true,
    request: z.strictObject({replicaId: replicaIdSchema}),
    response: membersResponseSchema,
  },
  /** Lists the live daemons that have applied a log index and those that have not. */
  inForce: {
    changesState: false,
    request: z.strictObject({service: serviceNameSchema, index: logIndexSchema}),
    response: z.object({
      index: logIndexSchema,
      applied: z.array(appliedIndexSchema),
      notApplied: z.array(appliedIndexSchema),
    }),
  },
} as const satisfies Record<string, AdminOperationDefinition>;

export interface AdminOperationDefinition {
  readonly changesState: boolean;
  readonly request: z.ZodType;
  readonly response: z.ZodType;
}

export type AdminOperation = keyof typeof ADMIN_OPERATIONS;
export type AdminRequest<O extends AdminOperation> = z.output<
  (typeof ADMIN_OPERATIONS)[O]['request']
>;
export type AdminResponse<O extends AdminOperation> = z.output<
  (typeof ADMIN_OPERATIONS)[O]['response']
>;

/** Schema of the change ids that operators pass. */
export const adminChangeIdSchema = changeIdSchema;

/** Whether `name` is an operation of the admin API. */
export function isAdminOperation(name: string): name is AdminOperation {
  return Object.hasOwn(ADMIN_OPERATIONS, name);
}

/** Returns the path of an operation on the admin listener. */
export function adminOperationPath(operation: AdminOperation): string {
  return `${ADMIN_PATH_PREFIX}${operation}`;
}

/** Path prefix of all operations on the admin listener. */
export const ADMIN_PATH_PREFIX = '/v1/';
