import Table from 'cli-table3';
import pc from 'picocolors';
import {toProblemDocument} from '@medlarlane/errors';
import type {MedlarlaneError} from '@medlarlane/errors';
import type {CliIo} from './cliIo.js';

/** A table cell; `undefined` is shown as a hyphen. */
export type TableCell = string | number | boolean | undefined;

/** Writes results as JSON with `--json`, else as text. */
export class Output {
  private readonly colors: ReturnType<typeof pc.createColors>;

  constructor(
    private readonly io: CliIo,
    readonly json: boolean,
  ) {
    this.colors = pc.createColors(io.isTerminal && !io.env['NO_COLOR']);
  }

  /** Writes one result. `formatText` is only called for text output. */
  writeResult(value: unknown, formatText: () => string): void {
    this.io.write(this.json ? `${JSON.stringify(value)}\n` : `${formatText()}\n`);
  }

  /** Writes a note to standard error; omitted in JSON output. */
  writeNote(text: string): void {
    if (!this.json) this.io.writeError(`${text}\n`);
  }

  /** Clears the screen of a terminal. */
  clearScreen(): void {
    if (!this.json && this.io.isTerminal) this.io.write('\u001b[2J\u001b[H');
  }

  /** Writes an error and its next step to standard error; a problem document in JSON output. */
  writeError(error: MedlarlaneError): void {
    if (this.json) {
      this.io.writeError(`${JSON.stringify(toProblemDocument(error))}\n`);
      return;
    }
    const {resendCommand, nextStep} = error.details;
    const lines = [
      `${this.colors.red('error')} ${error.code}: ${error.message}`,
      `next step: ${typeof nextStep === 'string' ? nextStep : error.errorKind.nextStep}`,
      ...(typeof resendCommand === 'string' ? [`  ${resendCommand}`] : []),
    ];
    this.io.writeError(`${lines.join('\n')}\n`);
  }

  /** Formats rows without borders, so that tools such as cut and grep can process the lines. */
  table(head: readonly string[], rows: ReadonlyArray<readonly TableCell[]>): string {
    const table = new Table({
      head: head.map((title) => this.colors.bold(title)),
      chars: BORDERLESS,
      style: {'padding-left': 0, 'padding-right': 2, head: [], border: []},
    });
    table.push(...rows.map((row) => row.map((cell) => String(cell ?? '-'))));
    return table
      .toString()
      .split('\n')
      .map((line) => line.trimEnd())
      .join('\n');
  }

  heading(text: string): string {
    return this.colors.bold(text);
  }

  added(text: string): string {
    return this.colors.green(text);
  }

  removed(text: string): string {
    return this.colors.red(text);
  }
}

const BORDERLESS = {
  top: '',
  'top-mid': '',
  'top-left': '',
  'top-right': '',
  bottom: '',
  'bottom-mid': '',
  'bottom-left': '',
  'bottom-right': '',
  left: '',
  'left-mid': '',
  mid: '',
  'mid-mid': '',
  right: '',
  'right-mid': '',
  middle: '',
};
