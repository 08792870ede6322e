import type {ArgsDef, CommandDef} from 'citty';
import type {CliIo} from '../cliIo.js';
import {defineLocalCommand, usageError} from '../operatorCommand.js';

/** A command with the subcommands and flags that may follow it. */
interface CommandWords {
  /** Command path without the tool's name, for example `members add`. */
  readonly path: string;
  readonly subCommands: readonly string[];
  readonly flags: readonly string[];
}

type Shell = (words: readonly CommandWords[]) => string;

const SHELLS: Readonly<Record<string, Shell>> = {
  bash: bashScript,
  zsh: (words) => ['autoload -Uz bashcompinit && bashcompinit', bashScript(words)].join('\n'),
  fish: fishScript,
};

export function completionCommand(io: CliIo, root: () => CommandDef): CommandDef {
  return defineLocalCommand(
    io,
    {
      name: 'completion',
      description: 'Print a completion script',
      args: {shell: {type: 'positional', required: true, description: 'bash, zsh or fish'}},
    },
    ({args}) => {
      const shell = Object.hasOwn(SHELLS, args.shell) ? SHELLS[args.shell] : undefined;
      if (!shell) throw usageError('completion', 'bash, zsh or fish', args.shell);
      io.write(`${shell(collectWords(root(), ''))}\n`);
    },
  );
}

/** Collects all commands. Command definitions are plain values here, so they are not awaited. */
function collectWords(command: CommandDef, path: string): CommandWords[] {
  const subCommands = (command.subCommands ?? {}) as Record<string, CommandDef>;
  const args = (command.args ?? {}) as ArgsDef;
  const flags = Object.entries(args)
    .filter(([, {type}]) => type !== 'positional')
    .map(([name]) => `--${name}`);
  const ownWords = {path, subCommands: Object.keys(subCommands), flags: [...flags, '--help']};
  const subCommandWords = Object.entries(subCommands).flatMap(([name, child]) =>
    collectWords(child, path === '' ? name : `${path} ${name}`),
  );
  return [ownWords, ...subCommandWords];
}

function bashScript(words: readonly CommandWords[]): string {
  const cases = words.map(
    ({path, subCommands, flags}) =>
      `    "${path}") candidates="${[...subCommands, ...flags].join(' ')}" ;;`,
  );
  return [
    '_medlarlane() {',
    '  local current="${COMP_WORDS[COMP_CWORD]}" path="" word candidates=""',
    '  for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do',
    '    case "$path $word" in',
    ...nextPaths(words).map(({from, word, to}) => `      "${from} ${word}") path="${to}" ;;`),
    '    esac',
    '  done',
    '  case "$path" in',
    ...cases,
    '  esac',
    '  COMPREPLY=($(compgen -W "$candidates" -- "$current"))',
    '}',
    'complete -o default -F _medlarlane medlarlane',
  ].join('\n');
}

function nextPaths(
  words: readonly CommandWords[],
): Array<{from: string; word: string; to: string}> {
  return words.flatMap(({path, subCommands}) =>
    subCommands.map((word) => ({from: path, word, to: path === '' ? word : `${path} ${word}`})),
  );
}

function fishScript(words: readonly CommandWords[]): string {
  return words
    .flatMap(({path, subCommands, flags}) => {
      const condition = fishCondition(path, subCommands);
      return [
        ...subCommands.map((name) => `complete -c medlarlane -f -n "${condition}" -a ${name}`),
        ...flags.map((flag) => `complete -c medlarlane -n "${condition}" -l ${flag.slice(2)}`),
      ];
    })
    .join('\n');
}

function fishCondition(path: string, subCommands: readonly string[]): string {
  if (path === '') return '__fish_use_subcommand';
  const seen = path
    .split(' ')
    .map((word) => `__fish_seen_subcommand_from ${word}`)
    .join('; and ');
  if (subCommands.length === 0) return seen;
  return `${seen}; and not __fish_seen_subcommand_from ${subCommands.join(' ')}`;
}
