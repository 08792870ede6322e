/**
 * Writes the figures of docs/CAPACITY.md from the recorded slopes in bench/recorded/*.jsonl.
 * With `--check` it writes nothing and exits 1 when the page and the recorded slopes differ.
 */
import {existsSync, readFileSync, readdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';

const root = path.resolve(import.meta.dirname, '..');
const PAGE = path.join(root, 'docs/CAPACITY.md');
const RECORDED = path.join(root, 'bench/recorded');
const BEGIN = '<!-- capacity:begin -->';
const END = '<!-- capacity:end -->';

/** Design size, from sections 2 and 11 of docs/design.md. */
const DAEMONS = 2_300;
const RANGES_PER_DAEMON = 16;
const HOT_KEYS = 230;
const RANGES = DAEMONS * RANGES_PER_DAEMON + HOT_KEYS;
const KEYS = 1.4e9;
const REQUESTS_PER_SECOND = 31e6;
const REGIONS = 4;
const ZONES = 12;
const REPLICAS = 12;
const RENEWALS_PER_SECOND = 1 / 0.3;
const DOCUMENT_CHANGES_PER_SECOND = 1_200 / 86_400;

/** Assumptions that the design page does not state. */
const DOCUMENTS = 300;
const HOT_KEY_PERIOD_S = 300;
const RACK_DAEMONS = 24;
const PLAN_PERIOD_S = 1;

/** Each hot key that changes is moved: one change starts the move and one finishes it. */
const MOVE_CHANGES_PER_SECOND = (2 * HOT_KEYS) / HOT_KEY_PERIOD_S;
const DAEMONS_PER_GROUP = DAEMONS / REGIONS;

const watchBytesPerSecond = (values) =>
  MOVE_CHANGES_PER_SECOND * values['message-size.per-move-change'] +
  DOCUMENT_CHANGES_PER_SECOND * values['message-size.per-document'];
const snapshotBytes = (values) =>
  RANGES * values['message-size.per-range'] +
  DAEMONS * values['message-size.per-session'] +
  DOCUMENTS * values['message-size.per-document'];
const stateBytes = (values) =>
  RANGES * values['state-memory.per-range'] + DAEMONS * values['state-memory.per-session'];
const countKeys = (daemons) => (KEYS * daemons) / DAEMONS;
const MESSAGE_SIZES = ['message-size.per-move-change', 'message-size.per-document'];

/** One row per figure; `slopes` are names of recorded figures, `compute` receives their values. */
const FIGURES = {
  Daemon: [
    {
      figure: 'CPU for renewals and directory changes',
      formula: 'renewals/s x renewal CPU + changes/s x change CPU',
      slopes: ['renewal-cost.daemon-cpu', 'directory-cost.change-cpu'],
      compute: (values) =>
        (RENEWALS_PER_SECOND * values['renewal-cost.daemon-cpu'] +
          (MOVE_CHANGES_PER_SECOND + DOCUMENT_CHANGES_PER_SECOND) *
            values['directory-cost.change-cpu']) /
        1e4,
      unit: '% of a core',
      limit: 2.4,
    },
    {
      figure: 'Memory of the directory copy',
      formula: 'ranges x bytes per range + sessions x bytes per session',
      slopes: ['state-memory.per-range', 'state-memory.per-session'],
      compute: (values) => stateBytes(values) / 1e6,
      unit: 'MB',
      limit: 256,
    },
    {
      figure: 'Memory with the process itself',
      formula: 'memory of an idle daemon + directory copy',
      slopes: ['daemon-memory.idle', 'state-memory.per-range', 'state-memory.per-session'],
      compute: (values) => values['daemon-memory.idle'] + stateBytes(values) / 1e6,
      unit: 'MB',
      limit: 256,
    },
    {
      figure: 'Traffic of the watch stream',
      formula: 'move changes/s x bytes + document changes/s x bytes',
      slopes: MESSAGE_SIZES,
      compute: (values) => watchBytesPerSecond(values) / 1_000,
      unit: 'KB/s',
      limit: 3,
    },
    {
      figure: 'Traffic of the watch stream and the lease',
      formula: 'watch stream + renewals/s x bytes per renewal and answer',
      slopes: [...MESSAGE_SIZES, 'renewal-cost.bytes'],
      compute: (values) =>
        (watchBytesPerSecond(values) + RENEWALS_PER_SECOND * values['renewal-cost.bytes']) / 1_000,
      unit: 'KB/s',
      limit: 3,
    },
    {
      figure: 'Snapshot after a restart',
      formula: 'ranges, sessions and documents x bytes of each',
      slopes: ['message-size.per-range', 'message-size.per-session', 'message-size.per-document'],
      compute: (values) => snapshotBytes(values) / 1e6,
      unit: 'MB',
    },
  ],
  'Request path': [
    {
      figure: 'Requests from callers at one daemon',
      formula: 'requests/s / daemons',
      slopes: [],
      compute: () => REQUESTS_PER_SECOND / DAEMONS,
      unit: 'requests/s',
    },
    {
      figure: 'Requests that one daemon carries at the owner',
      formula: 'recorded requests/s of one daemon, without a second hop',
      slopes: ['relay.one-hop.daemon'],
      compute: (values) => values['relay.one-hop.daemon'],
      unit: 'requests/s',
      atLeast: Math.ceil(REQUESTS_PER_SECOND / DAEMONS),
    },
    {
      figure: 'Requests that one daemon carries over a second hop',
      formula: 'recorded requests/s over two daemons',
      slopes: ['relay.two-hops.daemon'],
      compute: (values) => values['relay.two-hops.daemon'],
      unit: 'requests/s',
      atLeast: Math.ceil(REQUESTS_PER_SECOND / DAEMONS),
    },
    {
      figure: 'Time that two hops add, 99 in 100',
      formula: 'recorded p99 over that of a direct request',
      slopes: ['relay.two-hops.added-p99'],
      compute: (values) => values['relay.two-hops.added-p99'],
      unit: 'ms',
      limit: 20,
    },
  ],
  'Control replica': [
    {
      figure: 'Instances dedicated to control',
      formula: '3 replicas x regions',
      slopes: [],
      compute: () => 3 * REGIONS,
      unit: 'instances',
      limit: 16,
    },
    {
      figure: 'Memory of the state',
      formula: 'ranges x bytes per range + sessions x bytes per session',
      slopes: ['state-memory.per-range', 'state-memory.per-session'],
      compute: (values) => stateBytes(values) / 1e6,
      unit: 'MB',
    },
    {
      figure: 'Traffic to its watchers',
      formula: 'daemons / replicas x traffic of one watch stream',
      slopes: MESSAGE_SIZES,
      compute: (values) => ((DAEMONS / REPLICAS) * watchBytesPerSecond(values)) / 1_000,
      unit: 'KB/s',
    },
    {
      figure: 'CPU to apply and send changes',
      formula: 'changes/s x (apply CPU + watchers x send CPU)',
      slopes: ['replica-cost.apply-cpu', 'replica-cost.watch-send-cpu'],
      compute: (values) =>
        ((MOVE_CHANGES_PER_SECOND + DOCUMENT_CHANGES_PER_SECOND) *
          (values['replica-cost.apply-cpu'] +
            (DAEMONS / REPLICAS) * values['replica-cost.watch-send-cpu'])) /
        1e4,
      unit: '% of a core',
    },
    {
      figure: 'Log written per day',
      formula: 'changes per day x bytes of a log entry',
      slopes: ['log-cost.bytes-per-entry'],
      compute: (values) =>
        ((MOVE_CHANGES_PER_SECOND + DOCUMENT_CHANGES_PER_SECOND) *
          86_400 *
          values['log-cost.bytes-per-entry']) /
        1e6,
      unit: 'MB',
    },
  ],
  'Control leader': [
    {
      figure: 'CPU for renewals',
      formula: 'daemons of the group x renewals/s x renewal CPU',
      slopes: ['renewal-cost.leader-cpu'],
      compute: (values) =>
        (DAEMONS_PER_GROUP * RENEWALS_PER_SECOND * values['renewal-cost.leader-cpu']) / 1e4,
      unit: '% of a core',
      limit: 100,
    },
    {
      figure: 'Time of one plan, all daemons in one service',
      formula: 'recorded time at the design size',
      slopes: ['plan-cost.design-size'],
      compute: (values) => values['plan-cost.design-size'],
      unit: 'ms',
      limit: 100,
    },
    {
      figure: 'CPU for planning',
      formula: `ranges of the group x planning time per range / ${PLAN_PERIOD_S} s`,
      slopes: ['plan-cost.per-range'],
      compute: (values) =>
        ((RANGES / REGIONS) * values['plan-cost.per-range']) / PLAN_PERIOD_S / 1e4,
      unit: '% of a core',
    },
    {
      figure: 'Memory of the load reports',
      formula: 'ranges of the group x bytes per range load',
      slopes: ['state-memory.per-range-load'],
      compute: (values) => ((RANGES / REGIONS) * values['state-memory.per-range-load']) / 1e6,
      unit: 'MB',
    },
    {
      figure: 'Time to replace a lost leader',
      formula: 'recorded time from the loss to the first commit',
      slopes: ['election.time'],
      compute: (values) => values['election.time'],
      unit: 's',
      limit: 0.8,
    },
  ],
  CLI: [
    {
      figure: 'Time until a change is in force everywhere',
      formula: 'recorded time of apply --wait',
      slopes: ['config-in-force.whole.worst-of-10'],
      compute: (values) => values['config-in-force.whole.worst-of-10'] / 1_000,
      unit: 's',
      limit: 8,
    },
    {
      figure: 'Changes that one group commits',
      formula: 'recorded commits/s of one group x seconds per day',
      slopes: ['commit.throughput.64-clients'],
      compute: (values) => values['commit.throughput.64-clients'] * 86_400,
      unit: 'changes/day',
      atLeast: 1_200,
    },
  ],
  'Daily faults': [
    ...faultRows('3 instances lost', 3, 1, {slope: 'failover-daemon.worst-of-6', limit: 3}),
    ...faultRows('140 instances restarted', 2 * 140, 2, {slope: 'move-gap.worst-of-10', limit: 3}),
    ...faultRows('A rack lost', RACK_DAEMONS, 1, {slope: 'failover-rack.time', limit: 3}),
    ...faultRows('A zone lost', DAEMONS / ZONES, 1, {slope: 'failover-zone.time', limit: 3}),
    {
      figure: 'A region cut off for an hour: keys moved',
      formula: 'none, while the targets of a service run in its home region',
      slopes: [],
      compute: () => 0,
      unit: 'keys',
    },
    {
      figure: 'A region cut off for an hour: time that callers there cannot use other regions',
      formula: 'length of the cut',
      slopes: [],
      compute: () => 3_600,
      unit: 's',
    },
    {
      figure: 'A region cut off for an hour: changes to catch up',
      formula: 'changes/s x 3,600 s x bytes, at most one snapshot',
      slopes: [...MESSAGE_SIZES, 'message-size.per-range', 'message-size.per-session'],
      compute: (values) =>
        Math.min(watchBytesPerSecond(values) * 3_600, snapshotBytes(values)) / 1e6,
      unit: 'MB per daemon',
    },
    {
      figure: 'A region cut off for an hour: time until services of other regions refuse there',
      formula: 'recorded time from the cut to the refusal',
      slopes: ['region-cut.stale'],
      compute: (values) => values['region-cut.stale'],
      unit: 's',
      limit: 8,
    },
  ],
};

const block = render(readSlopes());
const page = readFileSync(PAGE, 'utf8');
const begin = page.indexOf(BEGIN);
const end = page.indexOf(END);
if (begin < 0 || end < begin)
  throw new Error('docs/CAPACITY.md does not contain the capacity markers');
const updated = `${page.slice(0, begin + BEGIN.length)}\n${block}\n${page.slice(end)}`;
if (process.argv.includes('--check')) {
  if (updated !== page) {
    console.error('docs/CAPACITY.md is out of date, run "npm run capacity"');
    process.exit(1);
  }
} else {
  writeFileSync(PAGE, updated);
}

/**
 * Returns the rows of one fault: moved keys, changes and bytes that daemons receive, and unavailable
 * time. A planned move takes two changes per range, the loss of an owner takes one.
 */
function faultRows(fault, daemons, changesPerRange, unavailable) {
  const changes = daemons * RANGES_PER_DAEMON * changesPerRange;
  return [
    {
      figure: `${fault}: keys moved`,
      formula: `keys x ${formatNumber(daemons)} / daemons`,
      slopes: [],
      compute: () => countKeys(daemons),
      unit: 'keys',
    },
    {
      figure: `${fault}: messages to daemons`,
      formula: `${formatNumber(changes)} range and ${formatNumber(daemons)} session changes x daemons`,
      slopes: [],
      compute: () => (changes + daemons) * DAEMONS,
      unit: 'changes',
    },
    {
      figure: `${fault}: bytes to each daemon`,
      formula: `${formatNumber(changes)} range changes x bytes`,
      slopes: ['message-size.per-move-change'],
      compute: (values) => (changes * values['message-size.per-move-change']) / 1_000,
      unit: 'KB',
    },
    {
      figure: `${fault}: unavailable time of a key`,
      formula: `recorded ${unavailable.slope}`,
      slopes: [unavailable.slope],
      compute: (values) => values[unavailable.slope] / 1_000,
      unit: 's',
      limit: unavailable.limit,
    },
  ];
}

/** Returns the latest record of each figure. */
function readSlopes() {
  const slopes = new Map();
  const files = existsSync(RECORDED) ? readdirSync(RECORDED) : [];
  for (const file of files.filter((name) => name.endsWith('.jsonl')).sort()) {
    for (const line of readFileSync(path.join(RECORDED, file), 'utf8').split('\n')) {
      if (line === '') continue;
      const record = JSON.parse(line);
      slopes.set(record.name, record);
    }
  }
  return slopes;
}

function render(slopes) {
  const sections = Object.entries(FIGURES).map(([title, rows]) => {
    const lines = rows.map((row) => renderRow(row, slopes));
    return [
      `## ${title}`,
      '',
      '| Figure | Formula | Value | Limit | Verdict |',
      '| --- | --- | --- | --- | --- |',
      ...lines,
    ].join('\n');
  });
  return `\n${[...sections, renderSlopes(slopes)].join('\n\n')}\n`;
}

function renderRow({figure, formula, slopes: names, compute, unit, limit, atLeast}, slopes) {
  const isMeasured = names.every((name) => slopes.has(name));
  const value = isMeasured
    ? compute(Object.fromEntries(names.map((name) => [name, slopes.get(name).value])))
    : undefined;
  const limitText =
    limit !== undefined
      ? `at most ${formatNumber(limit)}`
      : atLeast
        ? `at least ${formatNumber(atLeast)}`
        : '';
  const cells = [
    figure,
    formula,
    isMeasured ? `${formatNumber(value)} ${unit}` : 'not measured',
    limitText === '' ? 'none stated' : `${limitText} ${unit}`,
    formatVerdict(value, limit, atLeast),
  ];
  return `| ${cells.join(' | ')} |`;
}

function formatVerdict(value, limit, atLeast) {
  if (value === undefined) return 'not measured';
  if (limit !== undefined) return value <= limit ? 'met' : 'not met';
  if (atLeast !== undefined) return value >= atLeast ? 'met' : 'not met';
  return '';
}

function renderSlopes(slopes) {
  const names = [
    ...new Set(Object.values(FIGURES).flatMap((rows) => rows.flatMap((row) => row.slopes))),
  ].sort();
  const lines = names.map((name) => {
    const record = slopes.get(name);
    if (!record) return `| ${name} | not measured |  |  |`;
    const {value, unit, commit, date} = record;
    return `| ${name} | ${formatNumber(value)} ${unit} | ${commit} | ${date.slice(0, 10)} |`;
  });
  return [
    '## Recorded slopes',
    '',
    '| Slope | Value | Commit | Date |',
    '| --- | --- | --- | --- |',
    ...lines,
  ].join('\n');
}

function formatNumber(value) {
  const rounded = Number(value.toPrecision(3));
  return rounded.toLocaleString('en-US', {maximumFractionDigits: 6});
}
