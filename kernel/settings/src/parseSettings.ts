import {parseArgs} from 'node:util';
import {MedlarlaneError} from '@medlarlane/errors';
import {formatHostPort, isLoopback, isUnspecified} from './hostPort.js';
import type {HostPort} from './hostPort.js';
import {maskUrl} from './maskSettings.js';
import {flagNameOf, SETTINGS, environmentVariableOf} from './settingTable.js';
import type {DaemonSettings, Setting, SettingField} from './settingTable.js';

/** One error in the settings. */
export interface SettingsProblem {
  /** The flag with its leading hyphens, even when the value came from an environment variable. */
  readonly flag: string;
  readonly expected: string;
  readonly found: string;
}

type EnvironmentVariables = Readonly<Record<string, string | undefined>>;

interface RawSetting {
  readonly text: string;
  readonly source: 'flag' | 'variable';
}

const FIELDS = Object.keys(SETTINGS) as SettingField[];
const FIELD_BY_FLAG = new Map(FIELDS.map((field) => [flagNameOf(field), field]));
const MISSING = '(missing)';

/**
 * Parses the settings of the daemon. A flag takes precedence over its environment variable; an
 * empty variable counts as not set.
 * @param argv command-line arguments without the interpreter and the script
 * @throws MedlarlaneError `SETTINGS_INVALID` with all problems in `details.problems`.
 */
export function parseSettings(argv: readonly string[], env: EnvironmentVariables): DaemonSettings {
  const problems: SettingsProblem[] = [];
  const rawSettings = parseFlags(argv, problems);
  addEnvironmentVariables(rawSettings, env);
  const values = parseValues(rawSettings, problems);
  for (const check of CHECKS) problems.push(...check(values));
  if (problems.length === 0) return values as DaemonSettings;
  throw new MedlarlaneError('SETTINGS_INVALID', formatProblems(problems), {details: {problems}});
}

function parseFlags(
  argv: readonly string[],
  problems: SettingsProblem[],
): Map<SettingField, RawSetting> {
  const rawSettings = new Map<SettingField, RawSetting>();
  const options = Object.fromEntries(
    FIELDS.map((field) => [
      flagNameOf(field),
      {type: SETTINGS[field].isBooleanFlag ? ('boolean' as const) : ('string' as const)},
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
    } else if (rawSettings.has(field)) {
      problems.push({flag, expected: 'the flag once', found: 'the flag more than once'});
    } else if (SETTINGS[field].isBooleanFlag) {
      rawSettings.set(field, {text: value ?? 'true', source: 'flag'});
    } else if (value === undefined || (!token.inlineValue && value.startsWith('--'))) {
      problems.push({flag, expected: SETTINGS[field].expected, found: value ?? '(no value)'});
      rawSettings.set(field, {text: '', source: 'flag'});
    } else {
      rawSettings.set(field, {text: value, source: 'flag'});
    }
  }
  return rawSettings;
}

function addEnvironmentVariables(
  rawSettings: Map<SettingField, RawSetting>,
  env: EnvironmentVariables,
): void {
  for (const field of FIELDS) {
    const text = env[environmentVariableOf(field)];
    if (text && !rawSettings.has(field)) rawSettings.set(field, {text, source: 'variable'});
  }
}

function parseValues(
  rawSettings: ReadonlyMap<SettingField, RawSetting>,
  problems: SettingsProblem[],
): Partial<DaemonSettings> {
  const values: Partial<Record<SettingField, unknown>> = {};
  for (const field of FIELDS) {
    const row: Setting<unknown> = SETTINGS[field];
    const flag = `--${flagNameOf(field)}`;
    const text = rawSettings.get(field)?.text ?? row.defaultText();
    if (text === undefined) {
      if (row.required) problems.push({flag, expected: row.expected, found: MISSING});
      values[field] = undefined;
      continue;
    }
    const parsed = row.schema.safeParse(text);
    if (parsed.success) values[field] = parsed.data;
    else if (!problems.some((problem) => problem.flag === flag)) {
      problems.push({
        flag,
        expected: row.expected,
        found: formatFound(field, rawSettings.get(field)),
      });
    }
  }
  return values as Partial<DaemonSettings>;
}

function formatFound(field: SettingField, rawSetting: RawSetting | undefined): string {
  const text = rawSetting?.text ?? '';
  const maskedText = field === 'otlpUrl' ? maskUrl(text) : text;
  const displayText = maskedText === '' ? '(empty)' : maskedText;
  return rawSetting?.source === 'variable'
    ? `${displayText} (from ${environmentVariableOf(field)})`
    : displayText;
}

type Check = (values: Partial<DaemonSettings>) => SettingsProblem[];

/**
 * Checks that span several settings. A check reports nothing when a setting it needs is invalid.
 */
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
    return [createProblem(field, `a loopback address${reason}`, formatHostPort(address))];
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
    return [createProblem('advertiseIp', 'an address that others can connect to', advertiseIp)];
  }
  const unspecifiedListener = LISTENERS.find((field) => isUnspecified(values[field]?.host ?? ''));
  if (!unspecifiedListener) return [];
  const expected = `an IP address, because --${flagNameOf(unspecifiedListener)} listens on every interface`;
  return [createProblem('advertiseIp', expected, MISSING)];
}

function checkTls(values: Partial<DaemonSettings>): SettingsProblem[] {
  const {insecureDev} = values;
  if (insecureDev === undefined) return [];
  if (insecureDev) {
    return TLS_FILES.filter((field) => values[field] !== undefined).map((field) =>
      createProblem(field, 'no value together with --insecure-dev', values[field] ?? ''),
    );
  }
  return [...TLS_FILES, 'adminTokenFile' as const]
    .filter((field) => values[field] === undefined)
    .map((field) => createProblem(field, 'a path, unless --insecure-dev is given', MISSING));
}

const TLS_FILES = ['tlsCert', 'tlsKey', 'tlsCa'] as const;

function checkReplica(values: Partial<DaemonSettings>): SettingsProblem[] {
  const {dataFolder, replicaId, controlListen, controlReplicas, bootstrap} = values;
  const problems: SettingsProblem[] = [];
  if (dataFolder !== undefined) {
    if ('replicaId' in values && replicaId === undefined) {
      problems.push(createProblem('replicaId', 'an id, because of --data-folder', MISSING));
    }
    if ('controlListen' in values && controlListen === undefined) {
      problems.push(
        createProblem('controlListen', 'an address, because of --data-folder', MISSING),
      );
    }
  } else if ('dataFolder' in values && replicaId !== undefined) {
    problems.push(createProblem('dataFolder', 'a path, because of --replica-id', MISSING));
  } else if ('dataFolder' in values && bootstrap) {
    problems.push(createProblem('dataFolder', 'a path, because of --bootstrap', MISSING));
  }
  if (bootstrap && replicaId !== undefined && controlReplicas) {
    const ids = controlReplicas.map(({id}) => id);
    if (!ids.includes(replicaId)) {
      const expected = `one of the first members ${ids.join(', ')}`;
      problems.push(createProblem('replicaId', expected, replicaId));
    }
  }
  return problems;
}

function checkTimings(values: Partial<DaemonSettings>): SettingsProblem[] {
  const {leaseTtlMs, renewIntervalMs, heartbeatIntervalMs, leaderLeaseMs} = values;
  const {electionTimeoutMinMs, electionTimeoutMaxMs} = values;
  const problems: SettingsProblem[] = [];
  // Two consecutive lost renewals must not expire the session of a healthy daemon.
  if (isAbove(renewIntervalMs, leaseTtlMs, 1 / 3)) {
    const expected = `at most a third of --lease-ttl-ms (${leaseTtlMs})`;
    problems.push(createProblem('renewIntervalMs', expected, String(renewIntervalMs)));
  }
  // A new leader can be elected after the shortest election timeout, by which time the lease of the
  // previous leader must have expired.
  if (isAtLeast(leaderLeaseMs, electionTimeoutMinMs)) {
    const expected = `below --election-timeout-min-ms (${electionTimeoutMinMs})`;
    problems.push(createProblem('leaderLeaseMs', expected, String(leaderLeaseMs)));
  }
  if (isAtLeast(heartbeatIntervalMs, leaderLeaseMs)) {
    const expected = `below --leader-lease-ms (${leaderLeaseMs})`;
    problems.push(createProblem('heartbeatIntervalMs', expected, String(heartbeatIntervalMs)));
  }
  // With equal timeouts, replicas would repeatedly start elections at the same time.
  if (isAtLeast(electionTimeoutMinMs, electionTimeoutMaxMs)) {
    const expected = `above --election-timeout-min-ms (${electionTimeoutMinMs})`;
    problems.push(createProblem('electionTimeoutMaxMs', expected, String(electionTimeoutMaxMs)));
  }
  return problems;
}

function isAbove(value: number | undefined, limit: number | undefined, factor: number): boolean {
  return value !== undefined && limit !== undefined && value > limit * factor;
}

function isAtLeast(value: number | undefined, limit: number | undefined): boolean {
  return value !== undefined && limit !== undefined && value >= limit;
}

function createProblem(field: SettingField, expected: string, found: string): SettingsProblem {
  return {flag: `--${flagNameOf(field)}`, expected, found};
}

function formatProblems(problems: readonly SettingsProblem[]): string {
  const lines = problems.map(
    ({flag, expected, found}) => `  ${flag}: expected ${expected}, found ${found}`,
  );
  return `Settings are invalid:\n${lines.join('\n')}`;
}

/** Returns the address at which other processes reach a listener that is bound to `bound`. */
export function advertisedAddress(
  bound: HostPort,
  settings: Pick<DaemonSettings, 'advertiseIp'>,
): HostPort {
  return {host: settings.advertiseIp ?? bound.host, port: bound.port};
}
