import type {CommandDef} from 'citty';
import {v7 as createUuid} from 'uuid';
import type {AdminResponse, InstanceProgress} from '@medlarlane/admin-api';
import {MedlarlaneError} from '@medlarlane/errors';
import {signDocumentChange} from '@medlarlane/signatures';
import type {AdminClient} from '../adminClient.js';
import type {CliIo} from '../cliIo.js';
import {readNamedFile, remoteCommand, wholeNumber} from '../operatorCommand.js';
import {readDocument} from '../readDocument.js';
import {checkChangeId, explainLostAnswer} from '../resend.js';

// A daemon that has not confirmed a change for 8 s refuses callers, so 10 s covers every live daemon.
const DEFAULT_WAIT_MS = 10_000;
const MAX_WAIT_MS = 3_600_000;
const POLL_INTERVAL_MS = 200;
// Largest limit that the history operation accepts.
const MAX_HISTORY = 1_000;

export function applyCommand(io: CliIo): CommandDef {
  return remoteCommand(
    io,
    {
      name: 'apply',
      description: 'Put a service document in force',
      args: {
        file: {
          type: 'string',
          alias: 'f',
          required: true,
          valueHint: 'file',
          description: 'Document, YAML or JSON; - reads standard input',
        },
        key: {
          type: 'string',
          required: true,
          valueHint: 'file',
          description: 'Private key of the team, PEM',
        },
        wait: {
          type: 'boolean',
          description: 'Return when every live daemon has applied the change',
        },
        'wait-timeout-ms': {
          type: 'string',
          valueHint: 'ms',
          description: 'Longest time of --wait (default 10000)',
        },
        'base-revision': {
          type: 'string',
          valueHint: 'revision',
          description: 'Revision that the change is based on (default: the current one)',
        },
        'change-id': {
          type: 'string',
          valueHint: 'id',
          description: 'Id of the change; the same id again never changes twice (default: new)',
        },
      },
    },
    async ({args, client, out}) => {
      const document = await readDocument(io, args.file);
      const privateKeyPem = await readNamedFile('--key', args.key);
      const waitMs = wholeNumber('--wait-timeout-ms', args['wait-timeout-ms'], {
        min: 1,
        max: MAX_WAIT_MS,
      });
      const givenChangeId = args['change-id'];
      const changeId = givenChangeId === undefined ? createUuid() : checkChangeId(givenChangeId);
      const baseRevision =
        wholeNumber('--base-revision', args['base-revision'], {min: 0}) ??
        (await findBaseRevision(client, document.service, givenChangeId));
      const change = {
        service: document.service,
        baseRevision,
        changeId,
        documentJson: JSON.stringify(document),
      };
      const signature = signDocumentChange(change, privateKeyPem);
      const applied = await explainLostAnswer(
        client.call('applyDocument', {...change, signature}),
        {
          changeId,
          baseRevision,
          resendCommand:
            `medlarlane apply -f ${args.file} --key ${args.key} ` +
            `--base-revision ${baseRevision} --change-id ${changeId}`,
        },
      );
      if (args.wait) await waitUntilInForce(io, client, applied, waitMs ?? DEFAULT_WAIT_MS);
      out.result({...applied, changeId, baseRevision, inForce: args.wait === true}, () => {
        const state = args.wait ? 'in force in every live daemon' : 'accepted';
        return `${applied.service}: revision ${applied.revision} ${state} (change ${changeId})`;
      });
    },
  );
}

/**
 * The base of a new change is the current revision. A change id that was accepted before keeps its base;
 * otherwise its own success would make the resend a different change.
 */
async function findBaseRevision(
  client: AdminClient,
  service: string,
  givenChangeId: string | undefined,
): Promise<number> {
  try {
    const {revisions} = await client.call('history', {
      service,
      limit: givenChangeId === undefined ? 1 : MAX_HISTORY,
    });
    const earlier = revisions.find(({changeId}) => changeId === givenChangeId);
    return earlier?.baseRevision ?? revisions[0]?.revision ?? 0;
  } catch (error) {
    if (error instanceof MedlarlaneError && error.code === 'SERVICE_UNKNOWN') return 0;
    throw error;
  }
}

async function waitUntilInForce(
  io: CliIo,
  client: AdminClient,
  {service, revision, index}: AdminResponse<'applyDocument'>,
  waitMs: number,
): Promise<void> {
  const endMs = io.clock.nowMs() + waitMs;
  for (;;) {
    const {notApplied} = await client.call('inForce', {service, index});
    if (notApplied.length === 0) return;
    if (io.signal.aborted || io.clock.nowMs() + POLL_INTERVAL_MS >= endMs) {
      throw notInForce(`${service} revision ${revision}`, index, notApplied, waitMs);
    }
    await io.clock.sleep(POLL_INTERVAL_MS, {signal: io.signal}).catch(() => undefined);
  }
}

function notInForce(
  subject: string,
  index: number,
  notApplied: readonly InstanceProgress[],
  waitMs: number,
): MedlarlaneError {
  const names = notApplied.map(
    ({instanceId, appliedIndex}) => `  ${instanceId} (at index ${appliedIndex} of ${index})`,
  );
  const message = `${subject} is not confirmed after ${waitMs} ms by:\n${names.join('\n')}`;
  return new MedlarlaneError('NOT_IN_FORCE', message, {details: {index, notApplied}});
}
