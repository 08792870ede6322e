import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {test} from 'node:test';
import {parse} from 'yaml';
import {createMetrics, METRICS} from '@medlarlane/telemetry';
import type {MetricDefinition} from '@medlarlane/telemetry';

const ROOT = new URL('../../../../', import.meta.url);
const UNITS =
  /_(seconds|bytes|total|ratio|entries|records|length|limit|index|flight|role|term|up|failed)$/;
const HISTOGRAM_SERIES = ['_bucket', '_sum', '_count'];

interface AlertRules {
  groups: Array<{rules: Array<{alert: string; expr: string; annotations: Record<string, string>}>}>;
}

interface Dashboard {
  panels: Array<{id: number; targets?: Array<{expr: string}>}>;
  templating: {list: Array<{query: string | {query: string}}>};
}

const rows: MetricDefinition[] = Object.values(METRICS);

test('Each metric has a unique name that ends with its unit', () => {
  assert.equal(new Set(rows.map(({name}) => name)).size, rows.length);
  for (const {name, kind} of rows) {
    assert.match(name, UNITS);
    assert.equal(name.endsWith('_total'), kind === 'counter', name);
  }
});

test('Alert rules and dashboard use only existing metrics and labels', async () => {
  const rules = parse(await readText('ops/prometheus-alerts.yaml')) as AlertRules;
  const dashboard = JSON.parse(await readText('ops/grafana-dashboard.json')) as Dashboard;
  const alerts = rules.groups.flatMap((group) => group.rules);
  const expressions = [
    ...alerts.map(({expr}) => expr),
    ...dashboard.panels.flatMap(({targets}) => (targets ?? []).map(({expr}) => expr)),
    ...dashboard.templating.list.map(({query}) => (typeof query === 'string' ? '' : query.query)),
  ];
  const labelsBySeries = await knownSeries();
  const used = new Set<string>();
  for (const expression of expressions) {
    const names = expression.match(/\b(medlarlane|process|nodejs)_\w+/g) ?? [];
    for (const name of names) {
      assert.ok(labelsBySeries.has(name), `${name} in ${expression}`);
      used.add(name);
    }
    // The label `instance` is added by the collector, not by the process.
    const labels = [...expression.matchAll(/(?:by|on) \(([^)]*)\)|\{([^}]*)\}/g)]
      .flatMap(([, list = '', matchers = '']) => `${list},${matchers}`.split(','))
      .map((label) => label.trim().replace(/[=!~].*$/s, ''))
      .filter((label) => label !== '' && label !== 'instance' && label !== 'le');
    for (const label of labels) {
      const carriers = names.map((name) => labelsBySeries.get(name) ?? []);
      assert.ok(
        carriers.some((carried) => carried.includes(label)),
        `${label} in ${expression}`,
      );
    }
  }
  assert.ok(alerts.length > 0 && used.size > 0, 'the files contain alerts and metrics');
  for (const {alert, annotations} of alerts) {
    assert.ok(
      annotations['summary'] && annotations['action'],
      `${alert} has a summary and an action`,
    );
  }
  const ids = dashboard.panels.map(({id}) => id);
  assert.equal(new Set(ids).size, ids.length, 'panel ids are unique');
});

test('The operations page documents exactly the existing metrics', async () => {
  const page = await readText('docs/operations/metrics.md');
  const explained = [...page.matchAll(/^\| `(medlarlane_\w+)` \|/gm)].map(([, name]) => name);
  assert.deepEqual(explained.sort(), rows.map(({name}) => name).sort());
});

test('Instruments use the labels of the table and a registry of their own', async () => {
  const metrics = createMetrics();
  const other = createMetrics();
  metrics.requests.inc({service: 'a/b', code: 'OK', ran: 'yes'}, 2);
  metrics.requestDuration.observe({service: 'a/b'}, 0.004);
  metrics.leaseRemaining.set(1.1);
  const {text, contentType} = await metrics.expose();
  assert.match(contentType, /^text\/plain/);
  assert.match(text, /^medlarlane_requests_total\{service="a\/b",code="OK",ran="yes"\} 2$/m);
  assert.match(
    text,
    /^medlarlane_request_duration_seconds_bucket\{le="0.005",service="a\/b"\} 1$/m,
  );
  assert.match(
    text,
    /^medlarlane_request_duration_seconds_bucket\{le="0.002",service="a\/b"\} 0$/m,
  );
  assert.match(text, /^medlarlane_lease_remaining_seconds 1.1$/m);
  assert.doesNotMatch((await other.expose()).text, /medlarlane_requests_total\{/);
});

/** Returns the labels of every series that a process exposes, by series name. */
async function knownSeries(): Promise<Map<string, readonly string[]>> {
  const labelsBySeries = new Map<string, readonly string[]>();
  const runtime = await createMetrics({includeRuntimeMetrics: true}).registry.getMetricsAsJSON();
  for (const {name} of runtime) if (!name.startsWith('medlarlane_')) labelsBySeries.set(name, []);
  for (const {name, kind, labels} of rows) {
    const series = kind === 'histogram' ? HISTOGRAM_SERIES.map((suffix) => name + suffix) : [name];
    for (const each of series) labelsBySeries.set(each, labels);
  }
  return labelsBySeries;
}

function readText(file: string): Promise<string> {
  return readFile(new URL(file, ROOT), 'utf8');
}
