import {stripVTControlCharacters} from 'node:util';
import {renderUsage, runCommand} from 'citty';
import type {CommandDef} from 'citty';
import {MedlarlaneError, toMedlarlaneError} from '@medlarlane/errors';
import type {CliIo} from './cliIo.js';
import {commandTree} from './commandTree.js';
import {Output} from './output.js';

/**
 * Runs the tool and returns its exit code: 0, or that of the error in `ERROR_KINDS`. Results go
 * to standard output, errors and notes to standard error.
 * @param argv arguments without the interpreter and the script
 */
export async function runCli(argv: readonly string[], io: CliIo): Promise<number> {
  const root = commandTree(io);
  try {
    if (argv.length === 1 && argv[0] === '--version') {
      io.write(`${(root.meta as {version: string}).version}\n`);
    } else if (argv.length === 0 || argv.some((word) => word === '--help' || word === '-h')) {
      await writeUsage(io, root, argv);
    } else {
      await runCommand(root, {rawArgs: [...argv]});
    }
    return 0;
  } catch (thrown) {
    const error = fromCommandLineError(thrown) ?? toMedlarlaneError(thrown);
    new Output(io, argv.includes('--json')).writeError(error);
    return error.errorKind.exitCode;
  }
}

async function writeUsage(io: CliIo, root: CommandDef, argv: readonly string[]): Promise<void> {
  let command = root;
  let parent: CommandDef | undefined;
  for (const word of argv) {
    const children = (command.subCommands ?? {}) as Record<string, CommandDef>;
    const child = Object.hasOwn(children, word) ? children[word] : undefined;
    if (!child) break;
    const {name} = command.meta as {name: string};
    // The usage line shows the whole command path, so the parent's name includes its own parents.
    parent = {meta: {name: parent ? `${(parent.meta as {name: string}).name} ${name}` : name}};
    command = child;
  }
  const usage = await renderUsage(command, parent);
  io.write(`${io.isTerminal ? usage : stripVTControlCharacters(usage)}\n`);
}

/** Converts errors of the command-line library, which does not export its error class. */
function fromCommandLineError(thrown: unknown): MedlarlaneError | undefined {
  if (!(thrown instanceof Error) || thrown.name !== 'CLIError') return undefined;
  const message = `${stripVTControlCharacters(thrown.message)}; see medlarlane --help`;
  return new MedlarlaneError('REQUEST_INVALID', message, {cause: thrown});
}
