import {z} from 'zod';

const NAME_PATTERN = /^[a-z][a-z0-9-]{0,62}$/;
const SERVICE_PATTERN = /^[a-z][a-z0-9-]{0,62}\/[a-z][a-z0-9-]{0,62}$/;
const HEADER_NAME_PATTERN = /^[A-Za-z0-9-]{1,64}$/;
const MAX_TIMEOUT_MS = 3_600_000;

/** The name of a team, a region, an availability zone or a control group. */
export const nameSchema = z.string().regex(NAME_PATTERN, 'expected a lower-case name');

/** `<team>/<service>`. */
export const serviceNameSchema = z
  .string()
  .regex(SERVICE_PATTERN, 'expected "<team>/<service>" in lower case');

const timeoutMsSchema = z.int().min(1).max(MAX_TIMEOUT_MS);

/** Location of the key in a request. */
const keySchema = z.discriminatedUnion('from', [
  z.strictObject({from: z.literal('path'), segment: z.int().min(0).max(31)}),
  z.strictObject({from: z.literal('header'), name: z.string().regex(HEADER_NAME_PATTERN)}),
  z.strictObject({from: z.literal('query'), name: z.string().min(1).max(64)}),
]);

const probeSchema = z.strictObject({
  path: z.string().startsWith('/').default('/healthz'),
  intervalMs: timeoutMsSchema.default(500),
  timeoutMs: timeoutMsSchema.default(250),
  /** Number of consecutive failed probes after which the target counts as failed. */
  failures: z.int().min(1).max(100).default(3),
});

const targetsSchema = z.strictObject({
  /** Maximum number of requests that one target runs concurrently. */
  slots: z.int().min(1).max(100_000),
  /** Maximum number of connections that one daemon opens to its target. */
  connections: z.int().min(1).max(100_000),
  connectTimeoutMs: timeoutMsSchema.default(250),
  requestTimeoutMs: timeoutMsSchema.default(10_000),
  /** Slow start: time during which the load of a new target is increased gradually. */
  coldStartMs: z.int().min(0).max(MAX_TIMEOUT_MS).default(0),
  probe: probeSchema.prefault({}),
  /** Path of the load report, if targets provide one. */
  loadPath: z.string().startsWith('/').optional(),
  /** Whether targets reject requests without a valid grant for the current epoch. */
  checksGrants: z.boolean().default(false),
});

const stopSchema = z.strictObject({
  /** Maximum time that a planned stop waits for requests in flight. */
  drainMs: timeoutMsSchema.default(30_000),
  /** Whether targets support cancellation of a running request. */
  cancellation: z.boolean().default(false),
  /** Whether targets are notified when they start draining. */
  notifyDrain: z.boolean().default(false),
});

const requestsSchema = z.strictObject({
  /** Methods whose requests may be executed more than once. */
  repeatableMethods: z
    .array(z.enum(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'POST', 'PATCH']))
    .default(['GET', 'HEAD', 'OPTIONS']),
  /** Whether requests with other methods are rejected when they have no Idempotency-Key. */
  requireIdempotencyKey: z.boolean().default(true),
  defaultDeadlineMs: timeoutMsSchema.default(10_000),
});

/** A team's configuration document for one service. Unknown fields are errors. */
export const serviceDocumentSchema = z
  .strictObject({
    service: serviceNameSchema,
    /** Control group that manages the service. */
    group: nameSchema.default('default'),
    /** Values of the Host header that select the service. */
    hosts: z.array(z.string().min(1).max(253)).max(64).default([]),
    /** Metric that placement gives priority to keeping low. */
    weighsMost: z.enum(['churn', 'unavailable-time']).default('churn'),
    splitByKey: z.boolean(),
    key: keySchema.optional(),
    targets: targetsSchema,
    stop: stopSchema.prefault({}),
    requests: requestsSchema.prefault({}),
  })
  .superRefine((document, context) => {
    if (document.splitByKey && !document.key) {
      context.addIssue({
        code: 'custom',
        path: ['key'],
        message: 'expected a key rule because splitByKey is true',
      });
    }
    if (!document.splitByKey && document.key) {
      context.addIssue({
        code: 'custom',
        path: ['key'],
        message: 'expected no key rule because splitByKey is false',
      });
    }
  });

export type ServiceDocument = z.infer<typeof serviceDocumentSchema>;
export type KeyRule = NonNullable<ServiceDocument['key']>;

/** Returns the team of a service name. */
export function teamOf(service: string): string {
  return service.slice(0, service.indexOf('/'));
}
