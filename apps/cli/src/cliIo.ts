import type {Clock} from '@medlarlane/lifecycle';

/** The process environment of the commands; tests replace it. */
export interface CliIo {
  /** Writes to standard output. */
  readonly write: (text: string) => void;
  /** Writes to standard error. */
  readonly writeError: (text: string) => void;
  /** Whether standard output is a terminal. */
  readonly isTerminal: boolean;
  readonly env: Readonly<Record<string, string | undefined>>;
  readonly clock: Clock;
  readonly readStandardInput: () => Promise<string>;
  /** Aborts when the user interrupts the tool. */
  readonly signal: AbortSignal;
}
