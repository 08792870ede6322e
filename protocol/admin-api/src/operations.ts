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
  /** `unknown` when the leader has heard nothing from the member recently. */
  disk: z.enum(['ok', 'failed', 'unknown']),
  reachable: z.boolean(),
});
export type ControlMember = z.infer<typeof memberSchema>;

const liveSessionSchema = sessionSchema.extend({
  /** Log index that the daemon last confirmed. */
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
  /** Time until the entry is forgotten. */
  remainingMs: z.number().min(0),
});
export type PoisonEntry = z.infer<typeof poisonEntrySchema>;

const revisionEntrySchema = z.object({
  revision: revisionSchema,
  /** Index of the log entry that accepted the revision. */
  index: logIndexSchema,
  changeId: z.string(),
  baseRevision: z.int().min(0),
  /** Lower-case hex. */
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
 * Every operator operation. A request that changes state needs the operator token. `applyDocument` and
 * `claimTeam` may be resent with the same change id and then return the first response.
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
      /** Index of the log entry, for `inForce`. */
      index: logIndexSchema,
    }),
  },
  /** Without `revision` the current one. Errors: SERVICE_UNKNOWN, REVISION_UNKNOWN. */
  getDocument: {
    changesState: false,
    request: z.strictObject({service: serviceNameSchema, revision: revisionSchema.optional()}),
    response: revisionEntrySchema.extend({
      service: serviceNameSchema,
      /** Exactly as signed. */
      documentJson: z.string(),
      signature: z.string(),
    }),
  },
  /** The kept revisions, newest first. */
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
      /** Members that may fail now, beyond those that already have, without loss of a majority. */
      lossesToleratedNow: z.int().min(0),
      members: z.array(memberSchema),
      sessions: z.array(liveSessionSchema),
      services: z.array(serviceStatusSchema),
      poison: z.array(poisonEntrySchema),
    }),
  },
  /** Errors: SERVICE_UNKNOWN; REQUEST_INVALID for a service that is not split by key. */
  locateKey: {
    changesState: false,
    request: z.strictObject({service: serviceNameSchema, key: z.string().min(1).max(4_096)}),
    response: z.object({
      service: serviceNameSchema,
      key: z.string(),
      position: positionSchema,
      /** Absent while no live session owns the key. */
      owner: z
        .object({
          sessionId: z.int().positive(),
          instanceId: z.string(),
          availabilityZone: z.string(),
          callerAddress: hostPortSchema,
        })
        .optional(),
      /** Instance to which the key's range is being moved. */
      nextInstanceId: z.string().optional(),
      epoch: logIndexSchema,
    }),
  },
  listTargets: {
    changesState: false,
    request: z.strictObject({service: serviceNameSchema}),
    response: z.object({service: serviceNameSchema, targets: z.array(targetSchema)}),
  },
  /** Moves the ranges of the instance's session away; answers at commit. Twice has the effect of once. */
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
  /** Errors: MEMBER_UNKNOWN, REPLICA_BEHIND, MEMBER_CHANGE_PENDING. */
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
  /** Which live daemons have applied a log index. */
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

/** Checks a change id that an operator gave. */
export const adminChangeIdSchema = changeIdSchema;

/** Tells whether `name` is an operation. */
export function isAdminOperation(name: string): name is AdminOperation {
  return Object.hasOwn(ADMIN_OPERATIONS, name);
}

/** Path of an operation on the admin listener. */
export function adminOperationPath(operation: AdminOperation): string {
  return `${ADMIN_PATH_PREFIX}${operation}`;
}

/** What stands before the operation name in the path. */
export const ADMIN_PATH_PREFIX = '/v1/';
