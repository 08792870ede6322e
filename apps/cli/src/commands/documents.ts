import type {CommandDef} from 'citty';
import {stringify} from 'yaml';
import {parseServiceDocument} from '@medlarlane/admin-api';
import {MedlarlaneError} from '@medlarlane/errors';
import type {ServiceDocument} from '@medlarlane/model';
import type {AdminClient} from '../adminClient.js';
import type {CliIo} from '../cliIo.js';
import {diffValues} from '../diffValues.js';
import {
  defineLocalCommand,
  defineRemoteCommand,
  parseWholeNumber,
  usageError,
} from '../operatorCommand.js';
import {readDocument} from '../readDocument.js';

const DEFAULT_HISTORY_LIMIT = 20;
const MAX_HISTORY_LIMIT = 1_000;
const SHORT_HASH_CHARS = 12;

const SERVICE_ARG = {
  type: 'positional',
  required: true,
  description: '<team>/<service>',
} as const;

export function getCommand(io: CliIo): CommandDef {
  return defineRemoteCommand(
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
      const revision = parseWholeNumber('--revision', args.revision, {min: 1});
      const found = await client.call('getDocument', {
        service: args.service,
        ...(revision === undefined ? {} : {revision}),
      });
      const {documentJson, ...metadata} = found;
      const document: unknown = JSON.parse(documentJson);
      out.writeResult({...metadata, document}, () =>
        `# revision ${found.revision}, change ${found.changeId}\n${stringify(document)}`.trimEnd(),
      );
    },
  );
}

export function diffCommand(io: CliIo): CommandDef {
  return defineRemoteCommand(
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
      const from = parseWholeNumber('--from', args.from, {min: 1});
      const to = parseWholeNumber('--to', args.to, {min: 1});
      const {before, after} = await loadDiffSides(io, client, {
        service: args.service,
        file: args.file,
        from,
        to,
      });
      const differences = diffValues(before.document ?? {}, after.document);
      const value = {from: before.label, to: after.label, differences};
      out.writeResult(value, () => {
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
  return defineRemoteCommand(
    io,
    {
      name: 'history',
      description: "List the retained revisions of a service's document",
      args: {
        service: SERVICE_ARG,
        limit: {
          type: 'string',
          valueHint: 'n',
          description: 'Maximum number of revisions (default 20)',
        },
      },
    },
    async ({args, client, out}) => {
      const limit = parseWholeNumber('--limit', args.limit, {min: 1, max: MAX_HISTORY_LIMIT});
      const response = await client.call('history', {
        service: args.service,
        limit: limit ?? DEFAULT_HISTORY_LIMIT,
      });
      out.writeResult(response, () =>
        out.table(
          ['REVISION', 'BASE', 'INDEX', 'SHA256', 'CHANGE'],
          response.revisions.map(({revision, baseRevision, index, documentSha256, changeId}) => [
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
  return defineLocalCommand(
    io,
    {
      name: 'validate',
      description: 'Check documents without a daemon',
      args: {file: {type: 'positional', required: true, description: 'Documents, YAML or JSON'}},
      isVariadic: true,
    },
    async ({positionals, out}) => {
      const results = await Promise.all(positionals.map((path) => validateFile(io, path)));
      const failed = results.filter(({error}) => error !== undefined);
      const valid = results.filter(({error}) => error === undefined);
      if (failed.length > 0) {
        for (const {path} of valid) out.writeNote(`${path}: valid`);
        throw combineErrors(failed);
      }
      out.writeResult(
        valid.map(({path, service}) => ({path, service})),
        () => valid.map(({path, service}) => `${path}: valid (${service})`).join('\n'),
      );
    },
  );
}

interface DiffSide {
  readonly label: string;
  readonly document?: ServiceDocument;
}

interface DiffArguments {
  readonly service: string | undefined;
  readonly file: string | undefined;
  readonly from: number | undefined;
  readonly to: number | undefined;
}

async function loadDiffSides(
  io: CliIo,
  client: AdminClient,
  {service, file, from, to}: DiffArguments,
): Promise<{before: DiffSide; after: DiffSide}> {
  if (file !== undefined) {
    if (service !== undefined) throw usageError('--file', 'no service with a file', service);
    if (to !== undefined) throw usageError('--to', 'no --to with a file', String(to));
    const document = await readDocument(io, file);
    return {
      before: await fetchDiffSide(client, document.service, from),
      after: {label: file, document},
    };
  }
  if (service === undefined) throw usageError('--file', 'a file or a service', '(missing)');
  if (from === undefined) throw usageError('--from', 'a revision', '(missing)');
  return {
    before: await fetchDiffSide(client, service, from),
    after: await fetchDiffSide(client, service, to),
  };
}

/** Fetches a document. Without a revision, a service that has no document is compared as empty. */
async function fetchDiffSide(
  client: AdminClient,
  service: string,
  revision: number | undefined,
): Promise<DiffSide> {
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

async function validateFile(io: CliIo, path: string): Promise<CheckedFile> {
  try {
    return {path, service: (await readDocument(io, path)).service};
  } catch (error) {
    if (error instanceof MedlarlaneError) return {path, error};
    throw error;
  }
}

/** Combines the errors of all files into one, with the code of the first. */
function combineErrors(failed: readonly CheckedFile[]): MedlarlaneError {
  const [first] = failed;
  const message = failed.map(({path, error}) => `${path}: ${error?.message}`).join('\n');
  const problems = failed.flatMap(({path: file, error}) =>
    ((error?.details['problems'] ?? []) as object[]).map((problem) => ({file, ...problem})),
  );
  return new MedlarlaneError(first?.error?.code ?? 'DOCUMENT_INVALID', message, {
    details: {problems},
  });
}
