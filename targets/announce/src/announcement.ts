import {z} from 'zod';
import {serviceNameSchema} from '@medlarlane/model';

const incarnationSchema = z.string().min(1).max(64);

/** Body of `PUT /v1/target`. */
export const announcementSchema = z.object({
  service: serviceNameSchema,
  /** Port on the loopback address at which the target listens. */
  port: z.int().min(1).max(65_535),
  /** Unique for each start of the target process. */
  incarnation: incarnationSchema,
});
export type Announcement = z.infer<typeof announcementSchema>;

/** Body of `DELETE /v1/target`; further fields are ignored. */
export const withdrawalSchema = z.object({incarnation: incarnationSchema});
