import {z} from 'zod';

/** Fields that this version does not know; they are kept and handed back as they came. */
const extrasSchema = z.record(z.string(), z.unknown());

const routeShareSchema = z.object({service: z.string(), weight: z.number()});

/** `safe` requests may run more than once, the others at most once. */
const requestKindSchema = z.enum(['safe', 'unsafe', 'upload']);

export const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Begins and ends with a slash. */
  pathPrefix: z.string(),
  kind: requestKindSchema,
  /** Longest time for which a caller is kept waiting. */
  timeoutMs: z.number(),
  /** Within this time an answer is worth most. */
  targetLatencyMs: z.number(),
  /** 0 is the most urgent. */
  priority: z.number(),
  /** Targets on which one request may run. */
  maxAttempts: z.number(),
  /** Services that share the requests, by weight. */
  shares: z.array(routeShareSchema),
  extras: extrasSchema,
});

export const serviceSchema = z.object({
  name: z.string(),
  /** Connections that one target accepts from all callers together. */
  maxConnections: z.number(),
  /** Whether each target owns a part of the keys. */
  keyed: z.boolean(),
  extras: extrasSchema,
});

/** Bounds of what a caller may send, and how long it may take. */
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

/** A change that an operator asks for, on top of `baseVersion`. */
export const configurationChangeSchema = z.object({
  baseVersion: z.int(),
  version: z.int(),
  /** Digest of the operator's message; a resend has the same one. */
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
export type WeightedService = z.infer<typeof routeShareSchema>;
export type Route = z.infer<typeof routeSchema>;
export type SiteService = z.infer<typeof serviceSchema>;
export type RequestLimits = z.infer<typeof limitsSchema>;
export type SiteConfiguration = z.infer<typeof siteConfigurationSchema>;
export type ConfigurationChange = z.infer<typeof configurationChangeSchema>;

/** What is in force before the first configuration. */
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
