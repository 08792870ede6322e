import {z} from 'zod';
import {nameSchema, serviceNameSchema} from './serviceDocument.js';

/** `<ip>:<port>`; IPv6 addresses are in brackets. */
export const hostPortSchema = z
  .string()
  .regex(/^(\[[0-9a-fA-F:]+\]|[0-9A-Za-z.-]+):\d{1,5}$/, 'expected "<ip>:<port>"');

/** Data that a daemon sends when it opens a session. */
export const registrationSchema = z.object({
  instanceId: z.string().min(1).max(128),
  /** Unique for each session attempt of a process; not disclosed to other processes. */
  incarnation: z.string().min(1).max(64),
  /** Service of the local target; absent while no target has announced itself. */
  service: serviceNameSchema.optional(),
  region: nameSchema,
  availabilityZone: nameSchema,
  callerAddress: hostPortSchema,
  peerAddress: hostPortSchema,
  adminAddress: hostPortSchema,
});
export type Registration = z.infer<typeof registrationSchema>;

/** A registered session in the control state. */
export const sessionSchema = registrationSchema.extend({
  /** Index of the log entry that registered the session; unique and increasing. */
  sessionId: z.int().positive(),
  draining: z.boolean(),
});
export type Session = z.infer<typeof sessionSchema>;
