import {writeFile} from 'node:fs/promises';
import type {CommandDef} from 'citty';
import {v7 as createUuid} from 'uuid';
import {MedlarlaneError} from '@medlarlane/errors';
import {generateTeamKey, derivePublicKey} from '@medlarlane/signatures';
import type {CliIo} from '../cliIo.js';
import {localCommand, readNamedFile, remoteCommand} from '../operatorCommand.js';
import {checkChangeId, explainLostAnswer} from '../resend.js';

const PRIVATE_FILE_MODE = 0o600;
const PUBLIC_FILE_MODE = 0o644;

export function keygenCommand(io: CliIo): CommandDef {
  return localCommand(
    io,
    {
      name: 'keygen',
      description: "Create a team's key",
      args: {
        out: {
          type: 'string',
          required: true,
          valueHint: 'file',
          description: 'File of the private key; the public key goes to <file>.pub',
        },
      },
    },
    async ({args, out}) => {
      const key = generateTeamKey();
      const publicFile = `${args.out}.pub`;
      await writeNewFile(args.out, key.privateKeyPem, PRIVATE_FILE_MODE);
      await writeNewFile(publicFile, key.publicKeyPem, PUBLIC_FILE_MODE);
      out.result({privateKeyFile: args.out, publicKeyFile: publicFile}, () =>
        [
          `private key: ${args.out} (keep it secret)`,
          `public key:  ${publicFile}`,
          `next: medlarlane claim <team> --key ${args.out}`,
        ].join('\n'),
      );
    },
  );
}

export function claimCommand(io: CliIo): CommandDef {
  return remoteCommand(
    io,
    {
      name: 'claim',
      description: 'Claim a team name with a key',
      args: {
        team: {type: 'positional', required: true, description: 'Name of the team'},
        key: {
          type: 'string',
          required: true,
          valueHint: 'file',
          description: 'Private key of the team, PEM; only the public key is sent',
        },
        'change-id': {
          type: 'string',
          valueHint: 'id',
          description: 'Id of the change; the same id again never changes twice (default: new)',
        },
      },
    },
    async ({args, client, out}) => {
      const publicKeyPem = derivePublicKey(await readNamedFile('--key', args.key));
      const givenChangeId = args['change-id'];
      const changeId = givenChangeId === undefined ? createUuid() : checkChangeId(givenChangeId);
      const claim = client.call('claimTeam', {changeId, team: args.team, publicKeyPem});
      const answer = await explainLostAnswer(claim, {
        changeId,
        resendCommand: `medlarlane claim ${args.team} --key ${args.key} --change-id ${changeId}`,
      });
      out.result(answer, () => `team ${answer.team} is claimed by the key ${args.key}`);
    },
  );
}

/** Never replaces a file: an overwritten private key would lock the team out. */
async function writeNewFile(path: string, text: string, mode: number): Promise<void> {
  try {
    await writeFile(path, text, {flag: 'wx', mode});
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    throw new MedlarlaneError('REQUEST_INVALID', `--out: cannot create ${path}: ${reason}`, {
      cause,
      details: {problems: [{flag: '--out', expected: 'a new file', found: path}]},
    });
  }
}
