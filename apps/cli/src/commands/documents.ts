import type {CommandDef} from 'citty';
import {stringify} from 'yaml';
import {parseServiceDocument} from '@medlarlane/admin-api';
import {MedlarlaneError} from '@medlarlane/errors';
import type {ServiceDocument} from '@medlarlane/model';
import type {AdminClient} from '../adminClient.js';
import type {CliIo} from '../cliIo.js';
import {diffValues} from '../diffValues.js';
import {localCommand, remoteCommand, usageError, wholeNumber} from '../operatorCommand.js';
import {readDocument} from '../readDocument.js';

const DEFAULT_HISTORY = 20;
const MAX_HISTORY = 1_000;
const SHORT_HASH_CHARS = 12;

const SERVICE_ARG = {
  type: 'positional',
  required: true,
  description: '<team>/<service>',
} as const;

export function getCommand(io: CliIo): CommandDef {
  return remoteCommand(
    io,
    {
      name: 'get',
      description: "Print a service's document as YAML",
      args: {
        service: SERVICE_ARG,
        revision: {type: 'string', valueHint: 'revision', description: 'An earlier revision'},
      },
    },
    async ({args, client, out}) => {
      const revision = wholeNumber('--revision', args.revision, {min: 1});
      const found = await client.call('getDocument', {
        service: args.service,
        ...(revision === undefined ? {} : {revision}),
      });
      const {documentJson, ...facts} = found;
      const document: unknown = JSON.parse(documentJson);
      out.result({...facts, document}, () =>
        `# revision ${found.revision}, change ${found.changeId}\n${stringify(document)}`.trimEnd(),
      );
    },
  );
}

export function diffCommand(io: CliIo): CommandDef {
  return remoteCommand(
    io,
    {
      name: 'diff',
      description: 'Compare a file with the current document, or two revisions',
      args: {
        service: {
          type: 'positional',
          required: false,
          description: '<team>/<service>, to compare two revisions',
        },
        file: {
          type: 'string',
          alias: 'f',
          valueHint: 'file',
          description: 'Document to compare with the current one',
        },
        from: {type: 'string', valueHint: 'revision', description: 'Older revision'},
        to: {
          type: 'string',
          valueHint: 'revision',
          description: 'Newer revision (default: the current one)',
        },
      },
    },
    async ({args, client, out}) => {
      const from = wholeNumber('--from', args.from, {min: 1});
      const to = wholeNumber('--to', args.to, {min: 1});
      const {before, after} = await findPair(io, client, {
        service: args.service,
        file: args.file,
        from,
        to,
      });
      const differences = diffValues(before.document ?? {}, after.document);
      const value = {from: before.label, to: after.label, differences};
      out.result(value, () => {
        if (differences.length === 0) return `no difference between ${value.from} and ${value.to}`;
        const lines = differences.flatMap(({path, before: old, after: now}) => [
          ...(old === undefined ? [] : [out.removed(`- ${path}: ${JSON.stringify(old)}`)]),
          ...(now === undefined ? [] : [out.added(`+ ${path}: ${JSON.stringify(now)}`)]),
        ]);
        return [`--- ${value.from}`, `+++ ${value.to}`, ...lines].join('\n');
      });
    },
  );
}

export function historyCommand(io: CliIo): CommandDef {
  return remoteCommand(
    io,
    {
      name: 'history',
      description: "List the kept revisions of a service's document",
      args: {
        service: SERVICE_ARG,
        limit: {type: 'string', valueHint: 'n', description: 'Most revisions (default 20)'},
      },
    },
    async ({args, client, out}) => {
      const limit = wholeNumber('--limit', args.limit, {min: 1, max: MAX_HISTORY});
      const answer = await client.call('history', {
        service: args.service,
        limit: limit ?? DEFAULT_HISTORY,
      });
      out.result(answer, () =>
        out.table(
          ['REVISION', 'BASE', 'INDEX', 'SHA256', 'CHANGE'],
          answer.revisions.map(({revision, baseRevision, index, documentSha256, changeId}) => [
            revision,
            baseRevision,
            index,
            documentSha256.slice(0, SHORT_HASH_CHARS),
            changeId,
          ]),
        ),
      );
    },
  );
}

export function validateCommand(io: CliIo): CommandDef {
  return localCommand(
    io,
    {
      name: 'validate',
      description: 'Check documents without a daemon',
      args: {file: {type: 'positional', required: true, description: 'Documents, YAML or JSON'}},
      takesMoreArguments: true,
    },
    async ({positionals, out}) => {
      const results = await Promise.all(positionals.map((path) => check(io, path)));
      const failed = results.filter(({error}) => error !== undefined);
      const valid = results.filter(({error}) => error === undefined);
      if (failed.length > 0) {
        for (const {path} of valid) out.remark(`${path}: valid`);
        throw combine(failed);
      }
      out.result(
        valid.map(({path, service}) => ({path, service})),
        () => valid.map(({path, service}) => `${path}: valid (${service})`).join('\n'),
      );
    },
  );
}

interface Side {
  readonly label: string;
  readonly document?: ServiceDocument;
}

interface DiffArguments {
  readonly service: string | undefined;
  readonly file: string | undefined;
  readonly from: number | undefined;
  readonly to: number | undefined;
}

async function findPair(
  io: CliIo,
  client: AdminClient,
  {service, file, from, to}: DiffArguments,
): Promise<{before: Side; after: Side}> {
  if (file !== undefined) {
    if (service !== undefined) throw usageError('--file', 'no service with a file', service);
    if (to !== undefined) throw usageError('--to', 'no --to with a file', String(to));
    const document = await readDocument(io, file);
    return {
      before: await fetchSide(client, document.service, from),
      after: {label: file, document},
    };
  }
  if (service === undefined) throw usageError('--file', 'a file or a service', '(missing)');
  if (from === undefined) throw usageError('--from', 'a revision', '(missing)');
  return {
    before: await fetchSide(client, service, from),
    after: await fetchSide(client, service, to),
  };
}

/** Without a revision, a service that has no document yet compares as empty. */
async function fetchSide(
  client: AdminClient,
  service: string,
  revision: number | undefined,
): Promise<Side> {
  try {
    const found = await client.call('getDocument', {
      service,
      ...(revision === undefined ? {} : {revision}),
    });
    return {
      label: `${service} revision ${found.revision}`,
      document: parseServiceDocument(JSON.parse(found.documentJson)),
    };
  } catch (error) {
    const isNew = error instanceof MedlarlaneError && error.code === 'SERVICE_UNKNOWN';
    if (isNew && revision === undefined) return {label: `${service} (no document)`};
    throw error;
  }
}

interface CheckedFile {
  readonly path: string;
  readonly service?: string;
  readonly error?: MedlarlaneError;
}

async function check(io: CliIo, path: string): Promise<CheckedFile> {
  try {
    return {path, service: (await readDocument(io, path)).service};
  } catch (error) {
    if (error instanceof MedlarlaneError) return {path, error};
    throw error;
  }
}

/** One error for all files; its code is that of the first file. */
function combine(failed: readonly CheckedFile[]): MedlarlaneError {
  const [first] = failed;
  const message = failed.map(({path, error}) => `${path}: ${error?.message}`).join('\n');
  const problems = failed.flatMap(({path: file, error}) =>
    ((error?.details['problems'] ?? []) as object[]).map((problem) => ({file, ...problem})),
  );
  return new MedlarlaneError(first?.error?.code ?? 'DOCUMENT_INVALID', message, {
    details: {problems},
  });
}
