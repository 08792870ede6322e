import {readFile} from 'node:fs/promises';
import {parseArgs} from 'node:util';
import {defineCommand} from 'citty';
import type {ArgDef, ArgsDef, CommandDef, ParsedArgs} from 'citty';
import {MedlarlaneError} from '@medlarlane/errors';
import {AdminClient, parseEndpoint} from './adminClient.js';
import type {CliIo} from './cliIo.js';
import {Output} from './output.js';

const COMMON_ARGS = {
  json: {type: 'boolean', description: 'Print JSON for programs'},
} as const satisfies ArgsDef;

const REMOTE_ARGS = {
  endpoint: {
    type: 'string',
    valueHint: 'ip:port',
    description:
      'Admin listener of a daemon; repeatable. Variable MEDLARLANE_ENDPOINT (comma list)',
  },
  'token-file': {
    type: 'string',
    valueHint: 'file',
    description: 'File with the operator token. Variable MEDLARLANE_TOKEN_FILE',
  },
  'ca-file': {
    type: 'string',
    valueHint: 'file',
    description: 'Authority of https endpoints, PEM. Variable MEDLARLANE_CA_FILE',
  },
  'timeout-ms': {
    type: 'string',
    valueHint: 'ms',
    description: 'Time for one operation with all attempts (default 15000)',
  },
} as const satisfies ArgsDef;

// Enough for an election (below 1 s), a commit and several attempts at slow endpoints.
const DEFAULT_TIMEOUT_MS = 15_000;
const MAX_TIMEOUT_MS = 3_600_000;
const REPEATABLE_FLAGS: ReadonlySet<string> = new Set(['endpoint']);

/** Argument of a command's `run` function. */
export interface CommandContext<A extends ArgsDef> {
  readonly args: ParsedArgs<A & typeof COMMON_ARGS>;
  /** Arguments that are not flags. */
  readonly positionals: readonly string[];
  readonly io: CliIo;
  readonly out: Output;
}

export interface RemoteCommandContext<A extends ArgsDef> extends CommandContext<A> {
  readonly client: AdminClient;
}

export interface CommandOptions<A extends ArgsDef> {
  readonly name: string;
  readonly description: string;
  readonly args: A;
  /** Whether more positional arguments may follow the last named one. */
  readonly isVariadic?: boolean;
}

/** Defines a command that needs no daemon. Unknown flags and extra arguments are errors. */
export function defineLocalCommand<const A extends ArgsDef>(
  io: CliIo,
  opts: CommandOptions<A>,
  run: (context: CommandContext<A>) => Promise<void> | void,
): CommandDef {
  return defineStrictCommand(io, opts, {...opts.args, ...COMMON_ARGS}, async (context) => {
    await run(context as unknown as CommandContext<A>);
  });
}

/** Defines a command that calls a daemon. */
export function defineRemoteCommand<const A extends ArgsDef>(
  io: CliIo,
  opts: CommandOptions<A>,
  run: (context: RemoteCommandContext<A>) => Promise<void>,
): CommandDef {
  const args = {...opts.args, ...REMOTE_ARGS, ...COMMON_ARGS};
  return defineStrictCommand(io, opts, args, async (context, rawArgs) => {
    const client = await openClient(io, context.args, flagValues('endpoint', rawArgs, args));
    try {
      await run({...(context as unknown as CommandContext<A>), client});
    } finally {
      await client.close();
    }
  });
}

/** Parses the value of an integer flag; returns `undefined` when the flag is absent. */
export function parseWholeNumber(
  flag: string,
  text: string | undefined,
  {min, max = Number.MAX_SAFE_INTEGER}: {min: number; max?: number},
): number | undefined {
  if (text === undefined) return undefined;
  const value = /^\d{1,15}$/.test(text) ? Number(text) : NaN;
  if (value >= min && value <= max) return value;
  throw usageError(flag, `a whole number from ${min} to ${max}`, text);
}

/** Creates a command-line error: `REQUEST_INVALID` with the flag's name. */
export function usageError(flag: string, expected: string, found: string): MedlarlaneError {
  return new MedlarlaneError('REQUEST_INVALID', `${flag}: expected ${expected}, found ${found}`, {
    details: {problems: [{flag, expected, found}]},
  });
}

/** Reads the file whose path a flag specifies. */
export async function readFileArgument(flag: string, path: string): Promise<string> {
  try {
    return await readFile(path, 'utf8');
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    throw new MedlarlaneError('REQUEST_INVALID', `${flag}: cannot read ${path}: ${reason}`, {
      cause,
      details: {problems: [{flag, expected: 'a readable file', found: path}]},
    });
  }
}

function defineStrictCommand<A extends ArgsDef>(
  io: CliIo,
  opts: CommandOptions<ArgsDef>,
  args: A,
  run: (context: CommandContext<A>, rawArgs: readonly string[]) => Promise<void>,
): CommandDef {
  const {name, description, isVariadic = false} = opts;
  return defineCommand({
    meta: {name, description},
    args,
    run: async (context) => {
      const {rawArgs} = context;
      checkArguments(rawArgs, args, isVariadic);
      const out = new Output(io, rawArgs.includes('--json'));
      const parsed = context.args as unknown as CommandContext<A>['args'];
      await run({args: parsed, positionals: context.args._, io, out}, rawArgs);
    },
  }) as unknown as CommandDef;
}

/**
 * Validates the arguments. The command-line library ignores unknown flags and uses the last of
 * several equal flags; here both are errors.
 */
function checkArguments(rawArgs: readonly string[], args: ArgsDef, isVariadic: boolean): void {
  const seen = new Set<string>();
  const allowed = Object.values(args).filter(({type}) => type === 'positional').length;
  let positionals = 0;
  for (const token of tokenize(rawArgs, args)) {
    if (token.kind === 'positional') {
      positionals += 1;
      if (positionals > allowed && !isVariadic) {
        throw usageError(token.value, 'no further argument', token.value);
      }
    } else if (token.kind === 'option') {
      const {name, rawName, value} = token;
      const definition = args[name];
      if (!definition || definition.type === 'positional') {
        throw usageError(rawName, 'a flag that --help lists', rawName);
      }
      if (definition.type === 'boolean' && value !== undefined) {
        throw usageError(rawName, 'the flag without value', value);
      }
      const isFlag = value?.startsWith('-') && value !== '-' && !token.inlineValue;
      if (definition.type !== 'boolean' && (!value || isFlag)) {
        throw usageError(rawName, 'a value', value ?? '(no value)');
      }
      if (seen.has(name) && !REPEATABLE_FLAGS.has(name)) {
        throw usageError(rawName, 'the flag once', 'the flag more than once');
      }
      seen.add(name);
    }
  }
}

function flagValues(flag: string, rawArgs: readonly string[], args: ArgsDef): string[] {
  return tokenize(rawArgs, args).flatMap((token) =>
    token.kind === 'option' && token.name === flag && token.value !== undefined
      ? [token.value]
      : [],
  );
}

function tokenize(
  rawArgs: readonly string[],
  args: ArgsDef,
): ReturnType<typeof parseArgs<{tokens: true; strict: false}>>['tokens'] {
  const options = Object.entries(args)
    .filter(([, {type}]) => type !== 'positional')
    .map(([name, definition]) => [name, toParseOption(definition)] as const);
  return parseArgs({
    args: [...rawArgs],
    options: Object.fromEntries(options),
    strict: false,
    allowPositionals: true,
    tokens: true,
  }).tokens;
}

function toParseOption(definition: ArgDef): {type: 'boolean' | 'string'; short?: string} {
  const type = definition.type === 'boolean' ? 'boolean' : 'string';
  const alias = 'alias' in definition ? definition.alias : undefined;
  return typeof alias === 'string' ? {type, short: alias} : {type};
}

async function openClient(
  io: CliIo,
  args: Readonly<Record<string, unknown>>,
  endpointFlags: readonly string[],
): Promise<AdminClient> {
  const given =
    endpointFlags.length > 0 ? endpointFlags : (io.env['MEDLARLANE_ENDPOINT'] ?? '').split(',');
  const endpoints = given
    .flatMap((part) => part.split(','))
    .map((part) => part.trim())
    .filter((part) => part !== '');
  if (endpoints.length === 0) {
    throw usageError('--endpoint', 'the admin address of a daemon', '(missing)');
  }
  for (const endpoint of endpoints) parseEndpoint(endpoint);
  const tokenFile = asString(args['token-file']) ?? io.env['MEDLARLANE_TOKEN_FILE'];
  const caFile = asString(args['ca-file']) ?? io.env['MEDLARLANE_CA_FILE'];
  const timeoutMs =
    parseWholeNumber('--timeout-ms', asString(args['timeout-ms']), {min: 1, max: MAX_TIMEOUT_MS}) ??
    DEFAULT_TIMEOUT_MS;
  return new AdminClient({
    endpoints,
    timeoutMs,
    clock: io.clock,
    signal: io.signal,
    ...(tokenFile ? {token: await readToken(tokenFile)} : {}),
    ...(caFile ? {caPem: await readFileArgument('--ca-file', caFile)} : {}),
  });
}

/**
 * Reads the operator token. A token with line breaks cannot be sent; the failure would look like a
 * lost response.
 */
async function readToken(file: string): Promise<string> {
  const token = (await readFileArgument('--token-file', file)).trim();
  if (/^[\x21-\x7e]+$/.test(token)) return token;
  throw usageError('--token-file', 'a file with one word of ASCII characters', file);
}

function asString(value: unknown): string | undefined {
  return typeof value === 'string' ? value : undefined;
}
