import {readFileSync} from 'node:fs';
import {defineCommand} from 'citty';
import type {CommandDef} from 'citty';
import type {CliIo} from './cliIo.js';
import {applyCommand} from './commands/apply.js';
import {
  drainCommand,
  membersCommands,
  ownersCommand,
  statusCommand,
  targetsCommand,
  watchCommand,
} from './commands/cluster.js';
import {completionCommand} from './commands/completion.js';
import {diffCommand, getCommand, historyCommand, validateCommand} from './commands/documents.js';
import {claimCommand, keygenCommand} from './commands/keys.js';

/** Creates the root command with all subcommands. */
export function commandTree(io: CliIo): CommandDef {
  const root: CommandDef = defineCommand({
    meta: {
      name: 'medlarlane',
      version: packageVersion(),
      description: 'Operate services whose servers own keys exclusively',
    },
    subCommands: {
      keygen: keygenCommand(io),
      claim: claimCommand(io),
      validate: validateCommand(io),
      apply: applyCommand(io),
      get: getCommand(io),
      diff: diffCommand(io),
      history: historyCommand(io),
      status: statusCommand(io),
      owners: ownersCommand(io),
      targets: targetsCommand(io),
      drain: drainCommand(io),
      watch: watchCommand(io),
      members: defineCommand({
        meta: {name: 'members', description: 'Show and change the control members'},
        subCommands: membersCommands(io),
      }),
      completion: completionCommand(io, () => root),
    },
  });
  return root;
}

function packageVersion(): string {
  const manifest = new URL('../../package.json', import.meta.url);
  return (JSON.parse(readFileSync(manifest, 'utf8')) as {version: string}).version;
}
