import Table from 'cli-table3';
import pc from 'picocolors';
import {toProblemDocument} from '@medlarlane/errors';
import type {MedlarlaneError} from '@medlarlane/errors';
import type {CliIo} from './cliIo.js';

/** A cell of a table; `undefined` is shown as a hyphen. */
export type Cell = string | number | boolean | undefined;

/** Writes results: JSON for programs, else text for people. */
export class Output {
  private readonly colors: ReturnType<typeof pc.createColors>;

  constructor(
    private readonly io: CliIo,
    readonly json: boolean,
  ) {
    this.colors = pc.createColors(io.isTerminal && !io.env['NO_COLOR']);
  }

  /** Writes one result. `text` is only called when people read it. */
  result(value: unknown, text: () => string): void {
    this.io.write(this.json ? `${JSON.stringify(value)}\n` : `${text()}\n`);
  }

  /** Writes a remark to standard error; programs do not get it. */
  remark(text: string): void {
    if (!this.json) this.io.writeError(`${text}\n`);
  }

  /** Empties the screen of a terminal. */
  clearScreen(): void {
    if (!this.json && this.io.isTerminal) this.io.write('\u001b[2J\u001b[H');
  }

  /** Writes an error with its next step to standard error; as a problem document for programs. */
  error(error: MedlarlaneError): void {
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

  /** Lays out rows without borders, so that lines can be cut and searched. */
  table(head: readonly string[], rows: ReadonlyArray<readonly Cell[]>): string {
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
