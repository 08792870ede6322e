import {readFile} from 'node:fs/promises';
import {parseArgs} from 'node:util';
import {defineCommand} from 'citty';
import type {ArgDef, ArgsDef, CommandDef, ParsedArgs} from 'citty';
import {MedlarlaneError} from '@medlarlane/errors';
import {AdminClient, urlOf} from './adminClient.js';
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

// Covers an election (below 1 s), a commit and several attempts at slow endpoints.
const DEFAULT_TIMEOUT_MS = 15_000;
const MAX_TIMEOUT_MS = 3_600_000;
const REPEATABLE_FLAGS: ReadonlySet<string> = new Set(['endpoint']);

/** What a command's `run` gets. */
export interface CommandRun<A extends ArgsDef> {
  readonly args: ParsedArgs<A & typeof COMMON_ARGS>;
  /** Arguments that are not flags. */
  readonly positionals: readonly string[];
  readonly io: CliIo;
  readonly out: Output;
}

export interface RemoteCommandRun<A extends ArgsDef> extends CommandRun<A> {
  readonly client: AdminClient;
}

export interface CommandFacts<A extends ArgsDef> {
  readonly name: string;
  readonly description: string;
  readonly args: A;
  /** Whether more arguments may follow the last named one. */
  readonly takesMoreArguments?: boolean;
}

/** Defines a command that needs no daemon. Unknown flags and surplus arguments are errors. */
export function localCommand<const A extends ArgsDef>(
  io: CliIo,
  facts: CommandFacts<A>,
  run: (run: CommandRun<A>) => Promise<void> | void,
): CommandDef {
  return strictCommand(io, facts, {...facts.args, ...COMMON_ARGS}, async (common) => {
    await run(common as unknown as CommandRun<A>);
  });
}

/** Defines a command that calls a daemon. */
export function remoteCommand<const A extends ArgsDef>(
  io: CliIo,
  facts: CommandFacts<A>,
  run: (run: RemoteCommandRun<A>) => Promise<void>,
): CommandDef {
  const args = {...facts.args, ...REMOTE_ARGS, ...COMMON_ARGS};
  return strictCommand(io, facts, args, async (common, rawArgs) => {
    const client = await openClient(io, common.args, valuesOf('endpoint', rawArgs, args));
    try {
      await run({...(common as unknown as CommandRun<A>), client});
    } finally {
      await client.close();
    }
  });
}

/** Reads a flag that is a whole number; `undefined` when it is not given. */
export function wholeNumber(
  flag: string,
  text: string | undefined,
  {min, max = Number.MAX_SAFE_INTEGER}: {min: number; max?: number},
): number | undefined {
  if (text === undefined) return undefined;
  const value = /^\d{1,15}$/.test(text) ? Number(text) : NaN;
  if (value >= min && value <= max) return value;
  throw usageError(flag, `a whole number from ${min} to ${max}`, text);
}

/** An error of the command line: `REQUEST_INVALID` with the flag's name. */
export function usageError(flag: string, expected: string, found: string): MedlarlaneError {
  return new MedlarlaneError('REQUEST_INVALID', `${flag}: expected ${expected}, found ${found}`, {
    details: {problems: [{flag, expected, found}]},
  });
}

/** Reads a file that a flag names. */
export async function readNamedFile(flag: string, path: string): Promise<string> {
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

function strictCommand<A extends ArgsDef>(
  io: CliIo,
  facts: CommandFacts<ArgsDef>,
  args: A,
  run: (run: CommandRun<A>, rawArgs: readonly string[]) => Promise<void>,
): CommandDef {
  const {name, description, takesMoreArguments = false} = facts;
  return defineCommand({
    meta: {name, description},
    args,
    run: async (context) => {
      const {rawArgs} = context;
      checkArguments(rawArgs, args, takesMoreArguments);
      const out = new Output(io, rawArgs.includes('--json'));
      const parsed = context.args as unknown as CommandRun<A>['args'];
      await run({args: parsed, positionals: context.args._, io, out}, rawArgs);
    },
  }) as unknown as CommandDef;
}

/** The command-line library ignores unknown flags, and the last of several equal flags wins. */
function checkArguments(
  rawArgs: readonly string[],
  args: ArgsDef,
  takesMoreArguments: boolean,
): void {
  const seen = new Set<string>();
  const allowed = Object.values(args).filter(({type}) => type === 'positional').length;
  let positionals = 0;
  for (const token of tokensOf(rawArgs, args)) {
    if (token.kind === 'positional') {
      positionals += 1;
      if (positionals > allowed && !takesMoreArguments) {
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

function valuesOf(flag: string, rawArgs: readonly string[], args: ArgsDef): string[] {
  return tokensOf(rawArgs, args).flatMap((token) =>
    token.kind === 'option' && token.name === flag && token.value !== undefined
      ? [token.value]
      : [],
  );
}

function tokensOf(
  rawArgs: readonly string[],
  args: ArgsDef,
): ReturnType<typeof parseArgs<{tokens: true; strict: false}>>['tokens'] {
  const options = Object.entries(args)
    .filter(([, {type}]) => type !== 'positional')
    .map(([name, definition]) => [name, optionOf(definition)] as const);
  return parseArgs({
    args: [...rawArgs],
    options: Object.fromEntries(options),
    strict: false,
    allowPositionals: true,
    tokens: true,
  }).tokens;
}

function optionOf(definition: ArgDef): {type: 'boolean' | 'string'; short?: string} {
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
  for (const endpoint of endpoints) urlOf(endpoint);
  const tokenFile = textOf(args['token-file']) ?? io.env['MEDLARLANE_TOKEN_FILE'];
  const caFile = textOf(args['ca-file']) ?? io.env['MEDLARLANE_CA_FILE'];
  const timeoutMs =
    wholeNumber('--timeout-ms', textOf(args['timeout-ms']), {min: 1, max: MAX_TIMEOUT_MS}) ??
    DEFAULT_TIMEOUT_MS;
  return new AdminClient({
    endpoints,
    timeoutMs,
    clock: io.clock,
    signal: io.signal,
    ...(tokenFile ? {token: await readToken(tokenFile)} : {}),
    ...(caFile ? {caPem: await readNamedFile('--ca-file', caFile)} : {}),
  });
}

/** A token of several lines cannot be sent and would look like a lost answer. */
async function readToken(file: string): Promise<string> {
  const token = (await readNamedFile('--token-file', file)).trim();
  if (/^[\x21-\x7e]+$/.test(token)) return token;
  throw usageError('--token-file', 'a file with one word of ASCII characters', file);
}

function textOf(value: unknown): string | undefined {
  return typeof value === 'string' ? value : undefined;
}
