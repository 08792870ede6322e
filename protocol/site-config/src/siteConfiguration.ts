import {z} from 'zod';

/** Fields that this version does not know; they are retained and returned unchanged. */
const extrasSchema = z.record(z.string(), z.unknown());

const weightedServiceSchema = z.object({service: z.string(), weight: z.number()});

/**
 * `safe` requests and `download` requests, which have large responses, may be executed more than once, all
 * others at most once.
 */
const requestKindSchema = z.enum(['safe', 'unsafe', 'upload', 'download']);

export const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Starts and ends with a slash. */
  pathPrefix: z.string(),
  kind: requestKindSchema,
  /** Maximum time until the caller gets a response. */
  timeoutMs: z.number(),
  /** Time within which a response has its full value to the caller. */
  targetLatencyMs: z.number(),
  /** 0 is the highest priority. */
  priority: z.number(),
  /** Maximum number of targets on which one request may be executed. */
  maxAttempts: z.number(),
  /** Services among which the requests are split by weight. */
  shares: z.array(weightedServiceSchema),
  extras: extrasSchema,
});

const warmUpSchema = z.object({
  /** Time for which a target is cold. */
  durationMs: z.number(),
  /** Requests per second that a cold target tolerates. */
  permittedRps: z.number(),
});

export const serviceSchema = z.object({
  name: z.string(),
  /** Maximum number of connections that one target accepts from all callers together. */
  maxConnections: z.number(),
  /** Whether the keys are partitioned among the targets. */
  keyed: z.boolean(),
  /** Path of the targets' health check. */
  healthPath: z.string().optional(),
  /** What a target tolerates for some time after its start; absent if the service has no such bound. */
  warmUp: warmUpSchema.optional(),
  extras: extrasSchema,
});

/** Limits on the size of a caller's request and on the time to receive it. */
export const limitsSchema = z.object({
  maxHeaderBytes: z.number(),
  maxBodyBytes: z.number(),
  headerTimeoutMs: z.number(),
  idleTimeoutMs: z.number(),
  extras: extrasSchema,
});

export const siteConfigurationSchema = z.object({
  version: z.int(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  limits: limitsSchema,
});

/** A configuration change requested by an operator, based on version `baseVersion`. */
export const configurationChangeSchema = z.object({
  baseVersion: z.int(),
  version: z.int(),
  /** Digest of the operator's message; the same when the message is sent again. */
  digest: z.string(),
  change: z.discriminatedUnion('kind', [
    z.object({kind: z.literal('replace'), configuration: siteConfigurationSchema}),
    z.object({
      kind: z.literal('patch'),
      upsertRoutes: z.array(routeSchema),
      upsertServices: z.array(serviceSchema),
      removeRoutes: z.array(z.string()),
      removeServices: z.array(z.string()),
      limits: limitsSchema.optional(),
    }),
  ]),
});

export type RequestKind = z.infer<typeof requestKindSchema>;
export type WarmUp = z.infer<typeof warmUpSchema>;
export type WeightedService = z.infer<typeof weightedServiceSchema>;
export type Route = z.infer<typeof routeSchema>;
export type SiteService = z.infer<typeof serviceSchema>;
export type RequestLimits = z.infer<typeof limitsSchema>;
export type SiteConfiguration = z.infer<typeof siteConfigurationSchema>;
export type ConfigurationChange = z.infer<typeof configurationChangeSchema>;

/** Configuration in force until the first one is applied. */
export const INITIAL_CONFIGURATION: SiteConfiguration = {
  version: 0,
  routes: [],
  services: [],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_048_576,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
    extras: {},
  },
};

const IDEMPOTENT_KINDS: ReadonlySet<RequestKind> = new Set(['safe', 'download']);

/** Whether requests of this kind may be executed more than once. */
export function isIdempotent(kind: RequestKind): boolean {
  return IDEMPOTENT_KINDS.has(kind);
}
