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

const timeoutMs = z.int().min(1).max(MAX_TIMEOUT_MS);

/** Where the key stands in a request. */
const keySchema = z.discriminatedUnion('from', [
  z.strictObject({from: z.literal('path'), segment: z.int().min(0).max(31)}),
  z.strictObject({from: z.literal('header'), name: z.string().regex(HEADER_NAME_PATTERN)}),
  z.strictObject({from: z.literal('query'), name: z.string().min(1).max(64)}),
]);

const probeSchema = z.strictObject({
  path: z.string().startsWith('/').default('/healthz'),
  intervalMs: timeoutMs.default(500),
  timeoutMs: timeoutMs.default(250),
  /** Probes in a row that must fail before the target counts as failed. */
  failures: z.int().min(1).max(100).default(3),
});

const targetsSchema = z.strictObject({
  /** Requests that one target runs at the same time. */
  slots: z.int().min(1).max(100_000),
  /** Connections that one daemon may open to its target. */
  connections: z.int().min(1).max(100_000),
  connectTimeoutMs: timeoutMs.default(250),
  requestTimeoutMs: timeoutMs.default(10_000),
  /** Time during which a new target receives a growing share of its load. */
  coldStartMs: z.int().min(0).max(MAX_TIMEOUT_MS).default(0),
  probe: probeSchema.prefault({}),
  /** Path of the load report, when targets have one. */
  loadPath: z.string().startsWith('/').optional(),
  /** Whether targets refuse work without a valid grant of the current epoch. */
  checksGrants: z.boolean().default(false),
});

const stopSchema = z.strictObject({
  /** Longest time that a planned stop waits for requests in flight. */
  drainMs: timeoutMs.default(30_000),
  /** Whether targets accept the cancellation of a running request. */
  cancellation: z.boolean().default(false),
  /** Whether targets want to be told that they are draining. */
  notifyDrain: z.boolean().default(false),
});

const requestsSchema = z.strictObject({
  /** Methods whose requests may run more than once. */
  repeatableMethods: z
    .array(z.enum(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'POST', 'PATCH']))
    .default(['GET', 'HEAD', 'OPTIONS']),
  /** Whether other requests are refused without an Idempotency-Key. */
  requireIdempotencyKey: z.boolean().default(true),
  defaultDeadlineMs: timeoutMs.default(10_000),
});

/** A team's document for one service. Unknown fields are errors. */
export const serviceDocumentSchema = z
  .strictObject({
    service: serviceNameSchema,
    /** Control group in which the service is homed. */
    group: nameSchema.default('default'),
    /** Values of the Host header that name the service. */
    hosts: z.array(z.string().min(1).max(253)).max(64).default([]),
    /** The measure that placement spares most. */
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

/** The team part of a service name. */
export function teamOf(service: string): string {
  return service.slice(0, service.indexOf('/'));
}
