import assert from 'node:assert/strict';
import {test} from 'node:test';
import {POSITION_END} from '@medlarlane/model';
import type {KeyRule} from '@medlarlane/model';
import {evenRanges, extractKey, hashKey, RangeTable} from '@medlarlane/key-space';

type ExtractionCase = [
  title: string,
  rule: KeyRule,
  url: string,
  headers: Record<string, string | string[]>,
  expected: string | undefined,
];

const EXTRACTION_CASES: ExtractionCase[] = [
  ['path segment', {from: 'path', segment: 1}, '/walls/north%20face?x=1', {}, 'north face'],
  ['missing path segment', {from: 'path', segment: 2}, '/walls/north', {}, undefined],
  ['broken escape', {from: 'path', segment: 0}, '/%E0%A4%A', {}, undefined],
  ['header', {from: 'header', name: 'X-Pitch'}, '/', {'x-pitch': 'p9'}, 'p9'],
  ['repeated header', {from: 'header', name: 'x-pitch'}, '/', {'x-pitch': ['a', 'b']}, undefined],
  ['query', {from: 'query', name: 'stall'}, '/s?stall=a+b', {}, 'a b'],
  ['empty query value', {from: 'query', name: 'stall'}, '/s?stall=', {}, undefined],
];

for (const [title, rule, url, headers, expected] of EXTRACTION_CASES) {
  test(`A key is extracted only from the part of the request that the document defines: ${title}`, () => {
    assert.equal(extractKey(rule, {url, headers}), expected);
  });
}

test('Positions are safe integers and distributed evenly over the ranges', () => {
  const table = new RangeTable(evenRanges(8));
  const counts = new Array<number>(8).fill(0);
  for (let key = 0; key < 8000; key++) {
    const position = hashKey(`key-${key}`);
    assert.ok(Number.isSafeInteger(position) && position < POSITION_END);
    counts[table.indexOf(position)]!++;
  }
  assert.ok(Math.max(...counts) < 1200, `uneven: ${counts}`);
});

test('Splitting and replacing keep the table sorted and without gaps', () => {
  const table = new RangeTable(evenRanges(4));
  const hot = hashKey('hot');
  table.splitAt(hot + 1, hot);
  assert.equal(table.find(hot)?.startPosition, hot);
  assert.equal(table.endOf(table.indexOf(hot)), hot + 1);
  const changes = table.update((range) =>
    range.startPosition === hot ? {...range, ownerSessionId: 5, epoch: 9} : range,
  );
  const copy = new RangeTable(evenRanges(4));
  copy.splitAt(hot);
  copy.splitAt(hot + 1);
  for (const {fromPosition, toPosition, ranges} of changes) {
    copy.replace(fromPosition, toPosition, ranges);
  }
  assert.deepEqual(copy.all, table.all);
});
