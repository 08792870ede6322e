import type {CommandDef} from 'citty';
import {v7 as createUuid} from 'uuid';
import type {AdminResponse, InstanceProgress} from '@medlarlane/admin-api';
import {MedlarlaneError} from '@medlarlane/errors';
import {signDocumentChange} from '@medlarlane/signatures';
import type {AdminClient} from '../adminClient.js';
import type {CliIo} from '../cliIo.js';
import {defineRemoteCommand, parseWholeNumber, readFileArgument} from '../operatorCommand.js';
import {readDocument} from '../readDocument.js';
import {addResendDetails, validateChangeId} from '../resend.js';

// A daemon that does not confirm a change for 8 s rejects callers, so 10 s covers all live daemons.
const DEFAULT_WAIT_MS = 10_000;
const MAX_WAIT_MS = 3_600_000;
const POLL_INTERVAL_MS = 200;
// Maximum limit that the history operation accepts.
const MAX_HISTORY_LIMIT = 1_000;

export function applyCommand(io: CliIo): CommandDef {
  return defineRemoteCommand(
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
          description: 'Id of the change, which is applied at most once (default: a new id)',
        },
      },
    },
    async ({args, client, out}) => {
      const document = await readDocument(io, args.file);
      const privateKeyPem = await readFileArgument('--key', args.key);
      const waitMs = parseWholeNumber('--wait-timeout-ms', args['wait-timeout-ms'], {
        min: 1,
        max: MAX_WAIT_MS,
      });
      const givenChangeId = args['change-id'];
      const changeId = givenChangeId === undefined ? createUuid() : validateChangeId(givenChangeId);
      const baseRevision =
        parseWholeNumber('--base-revision', args['base-revision'], {min: 0}) ??
        (await findBaseRevision(client, document.service, givenChangeId));
      const change = {
        service: document.service,
        baseRevision,
        changeId,
        documentJson: JSON.stringify(document),
      };
      const signature = signDocumentChange(change, privateKeyPem);
      const applied = await addResendDetails(client.call('applyDocument', {...change, signature}), {
        changeId,
        baseRevision,
        resendCommand:
          `medlarlane apply -f ${args.file} --key ${args.key} ` +
          `--base-revision ${baseRevision} --change-id ${changeId}`,
      });
      if (args.wait) await waitUntilInForce(io, client, applied, waitMs ?? DEFAULT_WAIT_MS);
      out.writeResult({...applied, changeId, baseRevision, inForce: args.wait === true}, () => {
        const state = args.wait ? 'in force in every live daemon' : 'accepted';
        return `${applied.service}: revision ${applied.revision} ${state} (change ${changeId})`;
      });
    },
  );
}

/**
 * Returns the base revision of a change. A new change is based on the current revision. A change id
 * that was already accepted keeps its base revision, so that sending it again is the same change.
 */
async function findBaseRevision(
  client: AdminClient,
  service: string,
  givenChangeId: string | undefined,
): Promise<number> {
  try {
    const {revisions} = await client.call('history', {
      service,
      limit: givenChangeId === undefined ? 1 : MAX_HISTORY_LIMIT,
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
  const deadlineMs = io.clock.nowMs() + waitMs;
  for (;;) {
    const {notApplied} = await client.call('inForce', {service, index});
    if (notApplied.length === 0) return;
    if (io.signal.aborted || io.clock.nowMs() + POLL_INTERVAL_MS >= deadlineMs) {
      throw notInForceError(`${service} revision ${revision}`, index, notApplied, waitMs);
    }
    await io.clock.sleep(POLL_INTERVAL_MS, {signal: io.signal}).catch(() => undefined);
  }
}

function notInForceError(
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
