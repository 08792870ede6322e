import {z} from 'zod';

const MAX_ENTRIES = 1024;
const MAX_CRASHES = 8;

/**
 * Requests that one daemon suspects of crashing targets. Ages are relative to the time of the
 * report.
 */
export const poisonReportSchema = z
  .array(
    z.object({
      fingerprint: z.string().min(1).max(64),
      quarantinedForMs: z.number().min(0).optional(),
      crashes: z
        .array(z.object({id: z.string().max(128), ageMs: z.number().min(0), cleared: z.boolean()}))
        .max(MAX_CRASHES),
    }),
  )
  .max(MAX_ENTRIES);
export type PoisonReport = z.infer<typeof poisonReportSchema>;
