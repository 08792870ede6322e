import {randomBytes} from 'node:crypto';
import {isIP} from 'node:net';
import path from 'node:path';
import {z} from 'zod';
import {nameSchema} from '@medlarlane/model';
import {parseHostPort} from './hostPort.js';
import type {HostPort} from './hostPort.js';

/**
 * One setting of the daemon. `schema` parses the text of the flag or of the environment variable.
 */
export interface Setting<T> {
  readonly schema: z.ZodType<T, string>;
  /** Description of a valid text, for problem messages. */
  readonly expected: string;
  readonly description: string;
  readonly unit: string;
  /** Whether the flag can be given without a value, which means `true`. */
  readonly isBooleanFlag: boolean;
  /**
   * Returns the text to parse when the setting is not given; `undefined` leaves the field
   * undefined.
   */
  readonly defaultText: () => string | undefined;
  /** The default as shown in the help text. */
  readonly defaultDescription: string;
  readonly required: boolean;
}

/** Id and address of a control replica. */
export interface ControlReplicaAddress {
  readonly id: string;
  readonly address: HostPort;
}

interface SettingType<T> {
  readonly schema: z.ZodType<T, string>;
  readonly expected: string;
  readonly unit: string;
  readonly isBooleanFlag?: boolean;
}

const MAX_DURATION_MS = 3_600_000;
// An accepted configuration must be in force everywhere within 8 s; a higher limit would allow a
// daemon to use an older configuration for longer.
const MAX_STALE_MS = 8_000;
const ID_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/;

const NAME: SettingType<string> = {
  schema: nameSchema,
  expected: 'a lower-case name of letters, digits and hyphens',
  unit: 'name',
};
const ID: SettingType<string> = {
  schema: z.string().regex(ID_PATTERN),
  expected: 'an id of 1 to 128 letters, digits, dots, underscores and hyphens',
  unit: 'id',
};
const ADDRESS: SettingType<HostPort> = {
  schema: parseText(parseHostPort),
  expected: '<ip>:<port>, IPv6 in brackets',
  unit: 'ip:port',
};
const IP: SettingType<string> = {
  schema: z.string().refine((text) => isIP(text) !== 0),
  expected: 'an IP address without port',
  unit: 'ip',
};
const PATH: SettingType<string> = {
  schema: z
    .string()
    .min(1)
    .transform((text) => path.resolve(text)),
  expected: 'a path',
  unit: 'path',
};
const BOOLEAN: SettingType<boolean> = {
  schema: parseText((text) => BOOLEAN_VALUES[text]),
  expected: 'true or false',
  unit: 'true/false',
  isBooleanFlag: true,
};
const BOOLEAN_VALUES: Readonly<Record<string, boolean>> = {
  true: true,
  false: false,
  '1': true,
  '0': false,
};
const LOG_LEVELS = ['trace', 'debug', 'info', 'warn', 'error', 'fatal', 'silent'] as const;
const LOG_LEVEL: SettingType<(typeof LOG_LEVELS)[number]> = {
  schema: z.enum(LOG_LEVELS),
  expected: `one of ${LOG_LEVELS.join(', ')}`,
  unit: 'level',
};
const REPLICAS: SettingType<ControlReplicaAddress[]> = {
  schema: parseText(parseReplicas),
  expected: 'a comma list of <id>=<ip>:<port> with distinct ids, distinct addresses and no port 0',
  unit: 'id=ip:port,...',
};
const URL_OR_EMPTY: SettingType<string> = {
  schema: z.string().refine((text) => text === '' || /^https?:$/.test(protocolOf(text))),
  expected: 'an http or https URL, or empty',
  unit: 'url',
};
const RATIO: SettingType<number> = {
  schema: parseText((text) => {
    const ratio = /^\d(\.\d+)?$/.test(text) ? Number(text) : NaN;
    return ratio <= 1 ? ratio : undefined;
  }),
  expected: 'a number from 0 to 1',
  unit: 'ratio',
};

/**
 * All settings of `medlarlaned`. Flags, environment variables and the help text are derived from
 * them.
 */
export const SETTINGS = {
  instanceId: withDefault(ID, randomInstanceId, 'random', 'Name of this instance.'),
  region: required(NAME, 'Region of this instance.'),
  availabilityZone: required(NAME, 'Availability zone of this instance.'),
  group: withDefault(NAME, 'default', 'default', 'Control group of this daemon.'),
  callerListen: required(ADDRESS, 'Listener for callers.'),
  peerListen: required(ADDRESS, 'Listener for forwarded requests of other daemons.'),
  controlListen: optional(
    ADDRESS,
    'required with --data-folder',
    'Listener for lease, watch, consensus and admin RPC.',
  ),
  adminListen: required(ADDRESS, 'Listener for operators, metrics and health.'),
  targetListen: withDefault(
    ADDRESS,
    '127.0.0.1:7404',
    '127.0.0.1:7404',
    'Loopback listener at which the local target announces itself.',
  ),
  advertiseIp: optional(IP, 'the ip of each listener', 'Address that is told to others.'),
  controlReplicas: required(REPLICAS, 'Control listeners to contact.'),
  dataFolder: optional(PATH, 'no control replica', 'Runs a control replica with its log here.'),
  replicaId: optional(ID, 'required with --data-folder', 'Id of the control replica.'),
  bootstrap: withDefault(
    BOOLEAN,
    'false',
    'false',
    'This replica is one of the first members, which are exactly --control-replicas.',
  ),
  insecureDev: withDefault(
    BOOLEAN,
    'false',
    'false',
    'No TLS; every listener must be on a loopback address.',
  ),
  tlsCert: optional(PATH, 'required without --insecure-dev', 'Certificate chain, PEM.'),
  tlsKey: optional(PATH, 'required without --insecure-dev', 'Private key, PEM.'),
  tlsCa: optional(PATH, 'required without --insecure-dev', 'Authority of other daemons, PEM.'),
  adminTokenFile: optional(
    PATH,
    'required without --insecure-dev',
    'File with the bearer token for operator requests that change state.',
  ),
  logLevel: withDefault(LOG_LEVEL, 'info', 'info', 'Least severe level that is logged.'),
  maxStaleMs: duration(
    8_000,
    'Callers are refused when the configuration was not confirmed for this time.',
    MAX_STALE_MS,
  ),
  leaseTtlMs: duration(1_200, 'Lease of a daemon session.'),
  renewIntervalMs: duration(300, 'Time between renewals; at most a third of --lease-ttl-ms.'),
  heartbeatIntervalMs: duration(80, 'Time between heartbeats; below --leader-lease-ms.'),
  electionTimeoutMinMs: duration(400, 'Shortest election timeout.'),
  electionTimeoutMaxMs: duration(700, 'Longest election timeout.'),
  leaderLeaseMs: duration(350, 'Quorum lease of the leader; below --election-timeout-min-ms.'),
  snapshotEntries: withDefault(
    integer(1, 10_000_000, 'entries'),
    '10000',
    '10000',
    'Log entries between snapshots.',
  ),
  otlpUrl: withDefault(URL_OR_EMPTY, '', 'empty: tracing off', 'Receiver of traces, OTLP/HTTP.'),
  traceSampleRatio: withDefault(RATIO, '0.01', '0.01', 'Share of requests that are traced.'),
  drainTimeoutMs: duration(30_000, 'Longest time that a planned stop waits.'),
  printSettings: withDefault(
    BOOLEAN,
    'false',
    'false',
    'Prints the settings with secrets masked and exits.',
  ),
} as const;

type SettingTable = typeof SETTINGS;
export type SettingField = keyof SettingTable;

/** Parsed settings of the daemon. Durations are in milliseconds, paths are absolute. */
export type DaemonSettings = {
  readonly [F in SettingField]: z.output<SettingTable[F]['schema']>;
};

/** Returns the flag of a field without the leading hyphens: `leaseTtlMs` becomes `lease-ttl-ms`. */
export function flagNameOf(field: string): string {
  return field.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}

/** Returns the environment variable of a field: `leaseTtlMs` becomes `MEDLARLANE_LEASE_TTL_MS`. */
export function environmentVariableOf(field: string): string {
  return `MEDLARLANE_${flagNameOf(field).replaceAll('-', '_').toUpperCase()}`;
}

function required<T>(type: SettingType<T>, description: string): Setting<T> {
  return setting(type, description, {
    defaultText: () => undefined,
    defaultDescription: 'required',
    required: true,
  });
}

function optional<T>(
  type: SettingType<T>,
  defaultDescription: string,
  description: string,
): Setting<T | undefined> {
  return setting<T | undefined>(type, description, {
    defaultText: () => undefined,
    defaultDescription,
    required: false,
  });
}

function withDefault<T>(
  type: SettingType<T>,
  defaultText: string | (() => string),
  defaultDescription: string,
  description: string,
): Setting<T> {
  return setting(type, description, {
    defaultText: typeof defaultText === 'string' ? () => defaultText : defaultText,
    defaultDescription,
    required: false,
  });
}

function duration(
  defaultMs: number,
  description: string,
  maxMs = MAX_DURATION_MS,
): Setting<number> {
  return withDefault(integer(1, maxMs, 'ms'), String(defaultMs), String(defaultMs), description);
}

function setting<T>(
  type: SettingType<T>,
  description: string,
  defaults: Pick<Setting<T>, 'defaultText' | 'defaultDescription' | 'required'>,
): Setting<T> {
  const {schema, expected, unit, isBooleanFlag = false} = type;
  return {schema, expected, unit, isBooleanFlag, description, ...defaults};
}

function integer(min: number, max: number, unit: string): SettingType<number> {
  return {
    schema: parseText((text) => {
      const value = /^\d{1,15}$/.test(text) ? Number(text) : NaN;
      return value >= min && value <= max ? value : undefined;
    }),
    expected: `a whole number from ${min} to ${max} (${unit})`,
    unit,
  };
}

function parseText<T>(read: (text: string) => T | undefined): z.ZodType<T, string> {
  return z.string().transform((text, context) => {
    const value = read(text);
    if (value !== undefined) return value;
    context.addIssue({code: 'custom', message: 'invalid value'});
    return z.NEVER;
  });
}

function parseReplicas(text: string): ControlReplicaAddress[] | undefined {
  const replicas: ControlReplicaAddress[] = [];
  for (const part of text.split(',')) {
    const [id = '', addressText = '', ...rest] = part.trim().split('=');
    const address = parseHostPort(addressText);
    if (!ID_PATTERN.test(id) || !address || address.port === 0 || rest.length > 0) return undefined;
    replicas.push({id, address});
  }
  const ids = new Set(replicas.map(({id}) => id));
  const addresses = new Set(replicas.map(({address}) => `${address.host} ${address.port}`));
  return ids.size === replicas.length && addresses.size === replicas.length ? replicas : undefined;
}

function protocolOf(text: string): string {
  return URL.canParse(text) ? new URL(text).protocol : '';
}

function randomInstanceId(): string {
  return `instance-${randomBytes(6).toString('hex')}`;
}
