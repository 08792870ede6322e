import {writeFile} from 'node:fs/promises';
import type {CommandDef} from 'citty';
import {v7 as createUuid} from 'uuid';
import {MedlarlaneError} from '@medlarlane/errors';
import {derivePublicKey, generateTeamKey} from '@medlarlane/signatures';
import type {CliIo} from '../cliIo.js';
import {defineLocalCommand, defineRemoteCommand, readFileArgument} from '../operatorCommand.js';
import {addResendDetails, validateChangeId} from '../resend.js';

const PRIVATE_FILE_MODE = 0o600;
const PUBLIC_FILE_MODE = 0o644;

export function keygenCommand(io: CliIo): CommandDef {
  return defineLocalCommand(
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
      out.writeResult({privateKeyFile: args.out, publicKeyFile: publicFile}, () =>
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
  return defineRemoteCommand(
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
          description: 'Id of the change, which is applied at most once (default: a new id)',
        },
      },
    },
    async ({args, client, out}) => {
      const publicKeyPem = derivePublicKey(await readFileArgument('--key', args.key));
      const givenChangeId = args['change-id'];
      const changeId = givenChangeId === undefined ? createUuid() : validateChangeId(givenChangeId);
      const claim = client.call('claimTeam', {changeId, team: args.team, publicKeyPem});
      const response = await addResendDetails(claim, {
        changeId,
        resendCommand: `medlarlane claim ${args.team} --key ${args.key} --change-id ${changeId}`,
      });
      out.writeResult(response, () => `team ${response.team} is claimed by the key ${args.key}`);
    },
  );
}

/**
 * Creates a file. Never overwrites one, because a team that loses its private key is locked out.
 */
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
