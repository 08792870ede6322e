import {parseArgs} from 'node:util';
import {MedlarlaneError} from '@medlarlane/errors';
import {formatHostPort, isLoopback, isUnspecified} from './hostPort.js';
import type {HostPort} from './hostPort.js';
import {maskUrl} from './maskSettings.js';
import {flagNameOf, SETTINGS, environmentVariableOf} from './settingTable.js';
import type {DaemonSettings, Setting, SettingField} from './settingTable.js';

/** One thing that is wrong with the settings. */
export interface SettingsProblem {
  /** The flag with its hyphens, also when the value came from the environment. */
  readonly flag: string;
  readonly expected: string;
  readonly found: string;
}

type Environment = Readonly<Record<string, string | undefined>>;

interface Given {
  readonly text: string;
  readonly source: 'flag' | 'variable';
}

const FIELDS = Object.keys(SETTINGS) as SettingField[];
const FIELD_BY_FLAG = new Map(FIELDS.map((field) => [flagNameOf(field), field]));
const MISSING = '(missing)';

/**
 * Reads the settings of the daemon. A flag wins over its environment variable; an empty variable
 * counts as not set.
 * @param argv arguments without the interpreter and the script
 * @throws MedlarlaneError `SETTINGS_INVALID` with every problem in `details.problems`.
 */
export function parseSettings(argv: readonly string[], env: Environment): DaemonSettings {
  const problems: SettingsProblem[] = [];
  const given = readFlags(argv, problems);
  addVariables(given, env);
  const values = readValues(given, problems);
  for (const check of CHECKS) problems.push(...check(values));
  if (problems.length === 0) return values as DaemonSettings;
  throw new MedlarlaneError('SETTINGS_INVALID', describe(problems), {details: {problems}});
}

function readFlags(argv: readonly string[], problems: SettingsProblem[]): Map<SettingField, Given> {
  const given = new Map<SettingField, Given>();
  const options = Object.fromEntries(
    FIELDS.map((field) => [
      flagNameOf(field),
      {type: SETTINGS[field].isSwitch ? ('boolean' as const) : ('string' as const)},
    ]),
  );
  const {tokens} = parseArgs({
    args: [...argv],
    options,
    strict: false,
    allowPositionals: true,
    tokens: true,
  });
  for (const token of tokens) {
    if (token.kind === 'option-terminator') continue;
    if (token.kind === 'positional') {
      problems.push({flag: token.value, expected: 'flags only', found: token.value});
      continue;
    }
    const {rawName: flag, value} = token;
    const field = FIELD_BY_FLAG.get(token.name);
    if (!field || !flag.startsWith('--')) {
      problems.push({flag, expected: 'a flag that --help lists', found: flag});
    } else if (given.has(field)) {
      problems.push({flag, expected: 'the flag once', found: 'the flag more than once'});
    } else if (SETTINGS[field].isSwitch) {
      given.set(field, {text: value ?? 'true', source: 'flag'});
    } else if (value === undefined || (!token.inlineValue && value.startsWith('--'))) {
      problems.push({flag, expected: SETTINGS[field].expected, found: value ?? '(no value)'});
      given.set(field, {text: '', source: 'flag'});
    } else {
      given.set(field, {text: value, source: 'flag'});
    }
  }
  return given;
}

function addVariables(given: Map<SettingField, Given>, env: Environment): void {
  for (const field of FIELDS) {
    const text = env[environmentVariableOf(field)];
    if (text && !given.has(field)) given.set(field, {text, source: 'variable'});
  }
}

function readValues(
  given: ReadonlyMap<SettingField, Given>,
  problems: SettingsProblem[],
): Partial<DaemonSettings> {
  const values: Partial<Record<SettingField, unknown>> = {};
  for (const field of FIELDS) {
    const row: Setting<unknown> = SETTINGS[field];
    const flag = `--${flagNameOf(field)}`;
    const text = given.get(field)?.text ?? row.defaultText();
    if (text === undefined) {
      if (row.required) problems.push({flag, expected: row.expected, found: MISSING});
      values[field] = undefined;
      continue;
    }
    const parsed = row.schema.safeParse(text);
    if (parsed.success) values[field] = parsed.data;
    else if (!problems.some((problem) => problem.flag === flag)) {
      problems.push({flag, expected: row.expected, found: describeFound(field, given.get(field))});
    }
  }
  return values as Partial<DaemonSettings>;
}

function describeFound(field: SettingField, given: Given | undefined): string {
  const text = given?.text ?? '';
  const shown = field === 'otlpUrl' ? maskUrl(text) : text;
  const quoted = shown === '' ? '(empty)' : shown;
  return given?.source === 'variable' ? `${quoted} (from ${environmentVariableOf(field)})` : quoted;
}

type Check = (values: Partial<DaemonSettings>) => SettingsProblem[];

/** Rules between settings. Each one is silent when a setting that it needs is itself invalid. */
const CHECKS: readonly Check[] = [
  checkListeners,
  checkAdvertised,
  checkTls,
  checkReplica,
  checkTimings,
];

function checkListeners(values: Partial<DaemonSettings>): SettingsProblem[] {
  const fields = values.insecureDev ? LISTENERS : (['targetListen'] as const);
  return fields.flatMap((field) => {
    const address = values[field];
    if (!address || isLoopback(address.host)) return [];
    const reason = field === 'targetListen' ? '' : ' because of --insecure-dev';
    return [problem(field, `a loopback address${reason}`, formatHostPort(address))];
  });
}

const LISTENERS = [
  'callerListen',
  'peerListen',
  'controlListen',
  'adminListen',
  'targetListen',
] as const;

function checkAdvertised(values: Partial<DaemonSettings>): SettingsProblem[] {
  const {advertiseIp} = values;
  if (advertiseIp !== undefined) {
    if (!isUnspecified(advertiseIp)) return [];
    return [problem('advertiseIp', 'an address that others can connect to', advertiseIp)];
  }
  const open = LISTENERS.find((field) => isUnspecified(values[field]?.host ?? ''));
  if (!open) return [];
  const expected = `an IP address, because --${flagNameOf(open)} listens on every interface`;
  return [problem('advertiseIp', expected, MISSING)];
}

function checkTls(values: Partial<DaemonSettings>): SettingsProblem[] {
  const {insecureDev} = values;
  if (insecureDev === undefined) return [];
  if (insecureDev) {
    return TLS_FILES.filter((field) => values[field] !== undefined).map((field) =>
      problem(field, 'no value together with --insecure-dev', values[field] ?? ''),
    );
  }
  return [...TLS_FILES, 'adminTokenFile' as const]
    .filter((field) => values[field] === undefined)
    .map((field) => problem(field, 'a path, unless --insecure-dev is given', MISSING));
}

const TLS_FILES = ['tlsCert', 'tlsKey', 'tlsCa'] as const;

function checkReplica(values: Partial<DaemonSettings>): SettingsProblem[] {
  const {dataFolder, replicaId, controlListen, controlReplicas, bootstrap} = values;
  const problems: SettingsProblem[] = [];
  if (dataFolder !== undefined) {
    if ('replicaId' in values && replicaId === undefined) {
      problems.push(problem('replicaId', 'an id, because of --data-folder', MISSING));
    }
    if ('controlListen' in values && controlListen === undefined) {
      problems.push(problem('controlListen', 'an address, because of --data-folder', MISSING));
    }
  } else if ('dataFolder' in values && replicaId !== undefined) {
    problems.push(problem('dataFolder', 'a path, because of --replica-id', MISSING));
  } else if ('dataFolder' in values && bootstrap) {
    problems.push(problem('dataFolder', 'a path, because of --bootstrap', MISSING));
  }
  if (bootstrap && replicaId !== undefined && controlReplicas) {
    const ids = controlReplicas.map(({id}) => id);
    if (!ids.includes(replicaId)) {
      const expected = `one of the first members ${ids.join(', ')}`;
      problems.push(problem('replicaId', expected, replicaId));
    }
  }
  return problems;
}

function checkTimings(values: Partial<DaemonSettings>): SettingsProblem[] {
  const {leaseTtlMs, renewIntervalMs, heartbeatIntervalMs, leaderLeaseMs} = values;
  const {electionTimeoutMinMs, electionTimeoutMaxMs} = values;
  const problems: SettingsProblem[] = [];
  // Two lost renewals in a row must not end a healthy session.
  if (isAbove(renewIntervalMs, leaseTtlMs, 1 / 3)) {
    const expected = `at most a third of --lease-ttl-ms (${leaseTtlMs})`;
    problems.push(problem('renewIntervalMs', expected, String(renewIntervalMs)));
  }
  // A new leader may be elected after the shortest election timeout; the old one must be silent.
  if (isAtLeast(leaderLeaseMs, electionTimeoutMinMs)) {
    const expected = `below --election-timeout-min-ms (${electionTimeoutMinMs})`;
    problems.push(problem('leaderLeaseMs', expected, String(leaderLeaseMs)));
  }
  if (isAtLeast(heartbeatIntervalMs, leaderLeaseMs)) {
    const expected = `below --leader-lease-ms (${leaderLeaseMs})`;
    problems.push(problem('heartbeatIntervalMs', expected, String(heartbeatIntervalMs)));
  }
  // Equal timeouts would let replicas keep starting elections at the same moment.
  if (isAtLeast(electionTimeoutMinMs, electionTimeoutMaxMs)) {
    const expected = `above --election-timeout-min-ms (${electionTimeoutMinMs})`;
    problems.push(problem('electionTimeoutMaxMs', expected, String(electionTimeoutMaxMs)));
  }
  return problems;
}

function isAbove(value: number | undefined, limit: number | undefined, share: number): boolean {
  return value !== undefined && limit !== undefined && value > limit * share;
}

function isAtLeast(value: number | undefined, limit: number | undefined): boolean {
  return value !== undefined && limit !== undefined && value >= limit;
}

function problem(field: SettingField, expected: string, found: string): SettingsProblem {
  return {flag: `--${flagNameOf(field)}`, expected, found};
}

function describe(problems: readonly SettingsProblem[]): string {
  const lines = problems.map(
    ({flag, expected, found}) => `  ${flag}: expected ${expected}, found ${found}`,
  );
  return `Settings are invalid:\n${lines.join('\n')}`;
}

/** The address that others use for a listener that is bound to `bound`. */
export function advertisedAddress(
  bound: HostPort,
  settings: Pick<DaemonSettings, 'advertiseIp'>,
): HostPort {
  return {host: settings.advertiseIp ?? bound.host, port: bound.port};
}
