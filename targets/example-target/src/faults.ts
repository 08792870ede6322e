import {z} from 'zod';

/** A fault that a test injects. */
export type Fault =
  | {kind: 'delay'; durationMs: number}
  /** The whole target stops responding and announcing. */
  | {kind: 'freeze'; durationMs: number}
  /** The connection is closed after half of the response body. */
  | {kind: 'cut'}
  | {kind: 'crash'}
  /** The response is not valid HTTP. */
  | {kind: 'garbage'};

const durationSchema = z.coerce.number().min(0).max(3_600_000);

/**
 * Parses `delay=<ms>`, `freeze=<ms>`, `cut`, `crash` or `garbage`.
 * Returns `undefined` for anything else.
 */
export function parseFault(text: string): Fault | undefined {
  const [kind = '', value = ''] = text.split('=');
  switch (kind) {
    case 'delay':
    case 'freeze': {
      const durationMs = durationSchema.safeParse(value);
      return durationMs.success ? {kind, durationMs: durationMs.data} : undefined;
    }
    case 'cut':
    case 'crash':
    case 'garbage':
      return {kind};
    default:
      return undefined;
  }
}
