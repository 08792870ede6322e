import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import {renderReport} from '../src/renderReport.js';

test('The report shows the latest value, a missed bound and a plot, without external resources', () => {
  const folder = mkdtempSync(path.join(tmpdir(), 'report-'));
  try {
    const stamp = {bench: 'delay', commit: 'abc', unit: 'ms', bound: 3};
    const lines = [
      {...stamp, name: 'delay.<median>', value: 2, pass: true, date: '2026-01-01T00:00:00Z'},
      {...stamp, name: 'delay.<median>', value: 4, pass: false, date: '2026-01-02T00:00:00Z'},
    ];
    const text = lines.map((line) => `${JSON.stringify(line)}\n`).join('');
    writeFileSync(path.join(folder, 'delay.jsonl'), text);
    const page = renderReport(folder);
    assert.match(page, /<tr class="failed"><td>delay\.&lt;median&gt;<\/td><td>4<\/td>/);
    assert.equal(page.split('<svg').length, 2);
    assert.doesNotMatch(page, /<script|<link|src=/);
  } finally {
    rmSync(folder, {recursive: true});
  }
});

test('Without recorded figures the report is an empty page', () => {
  assert.match(renderReport(path.join(tmpdir(), 'no-such-folder')), /Recorded figures/);
});
