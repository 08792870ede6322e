import {existsSync, readFileSync, readdirSync} from 'node:fs';
import path from 'node:path';
import type {Figure} from './figure.js';

/** The part of the echarts API used here; its own type declarations do not resolve under NodeNext. */
interface ServerSideCharts {
  init(
    element: null,
    theme: null,
    opts: {renderer: 'svg'; ssr: true; width: number; height: number},
  ): {setOption(option: object): void; renderToSVGString(): string; dispose(): void};
}

const {init} = (await import('echarts')) as unknown as ServerSideCharts;

interface RecordedFigure extends Figure {
  readonly bench: string;
  readonly commit: string;
  readonly date: string;
}

const CHART_SIZE = {width: 640, height: 260};

/** Renders the recorded figures as one HTML page without external resources. */
export function renderReport(recordedFolder: string): string {
  const byBench = groupBy(readRecorded(recordedFolder), ({bench}) => bench);
  const sections = [...byBench].map(([bench, figures]) => renderBench(bench, figures));
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Recorded figures</title>
<style>
body {font: 14px sans-serif; margin: 2em; color: #222}
table {border-collapse: collapse}
td, th {border: 1px solid #ccc; padding: 2px 8px; text-align: left}
.failed {color: #b00020}
figure {display: inline-block; margin: 8px}
</style>
</head>
<body>
<h1>Recorded figures</h1>
${sections.join('\n')}
</body>
</html>
`;
}

function readRecorded(folder: string): RecordedFigure[] {
  if (!existsSync(folder)) return [];
  const files = readdirSync(folder).filter((file) => file.endsWith('.jsonl'));
  return files.sort().flatMap((file) =>
    readFileSync(path.join(folder, file), 'utf8')
      .split('\n')
      .filter((line) => line !== '')
      .map((line) => JSON.parse(line) as RecordedFigure),
  );
}

function renderBench(bench: string, figures: readonly RecordedFigure[]): string {
  const byName = groupBy(figures, ({name}) => name);
  const latest = [...byName.values()].map((records) => records.at(-1)!);
  const charts = [...byName].map(([name, records]) => renderFigure(name, records));
  return `<h2>${escapeHtml(bench)}</h2>
<table>
<tr><th>Figure</th><th>Value</th><th>Unit</th><th>Bound</th><th>Met</th><th>Commit</th><th>Date</th></tr>
${latest.map(renderRow).join('\n')}
</table>
${charts.join('\n')}`;
}

function renderRow({name, value, unit, bound, pass, commit, date}: RecordedFigure): string {
  const met = pass === undefined ? '' : pass ? 'yes' : 'no';
  const cells = [name, value, unit, bound ?? '', met, commit, date.slice(0, 10)];
  const tags = cells.map((cell) => `<td>${escapeHtml(String(cell))}</td>`).join('');
  return `<tr${pass === false ? ' class="failed"' : ''}>${tags}</tr>`;
}

/** Plots the points of the latest record, or the values of all records if it has no points. */
function renderFigure(name: string, records: readonly RecordedFigure[]): string {
  const latest = records.at(-1)!;
  if (!latest.points && records.length < 2) return '';
  const data = latest.points ?? records.map(({value}, index) => [index + 1, value]);
  const chart = init(null, null, {renderer: 'svg', ssr: true, ...CHART_SIZE});
  chart.setOption({
    animation: false,
    title: {text: name, textStyle: {fontSize: 13}},
    xAxis: {type: 'value', name: latest.points ? latest.pointsX : 'record', min: 'dataMin'},
    yAxis: {type: 'value', name: latest.unit, scale: true},
    series: [
      {
        type: 'line',
        data: data.map(([x, y]) => [x, y]),
        ...(latest.bound === undefined
          ? {}
          : {markLine: {symbol: 'none', data: [{yAxis: latest.bound}]}}),
      },
    ],
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return `<figure>${svg}</figure>`;
}

function groupBy(
  figures: readonly RecordedFigure[],
  keyOf: (figure: RecordedFigure) => string,
): Map<string, RecordedFigure[]> {
  const groups = new Map<string, RecordedFigure[]>();
  for (const figure of figures) {
    const group = groups.get(keyOf(figure));
    if (group) group.push(figure);
    else groups.set(keyOf(figure), [figure]);
  }
  return groups;
}

function escapeHtml(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}
