import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  ADMIN_OPERATIONS,
  adminOperationPath,
  parseAdminRequest,
  parseAdminResponse,
  parseServiceDocument,
} from '@medlarlane/admin-api';
import type {FieldProblem} from '@medlarlane/admin-api';
import {MedlarlaneError} from '@medlarlane/errors';
import type {ErrorCode} from '@medlarlane/errors';

const DOCUMENT = {
  service: 'prairie-crag/wallboard',
  splitByKey: true,
  key: {from: 'path', segment: 1},
  targets: {slots: 18, connections: 120},
};

interface BrokenDocument {
  readonly name: string;
  readonly document: unknown;
  /** Paths of all reported problems, in order. */
  readonly paths: readonly string[];
  readonly expected: string;
  readonly found: string;
}

const BROKEN_DOCUMENTS: readonly BrokenDocument[] = [
  broken('that is a list', [], ['(root)'], 'an object', '[]'),
  broken('that is empty text', null, ['(root)'], 'an object', 'null'),
  changed('without team', {service: 'wallboard'}, 'service', /"<team>\/<service>"/),
  changed('with an upper-case service', {service: 'a/B'}, 'service', /lower case/),
  changed('with an unknown field', {owner: 'me'}, 'owner', /no field of this name/),
  changed('with a key rule that is missing', {key: undefined}, 'key', /splitByKey is true/),
  changed('with a key rule that is not used', {splitByKey: false}, 'key', /splitByKey is false/),
  changed('with a switch as text', {splitByKey: 'yes'}, 'splitByKey', /true or false/),
  changed(
    'with a key in a cookie',
    {key: {from: 'cookie'}},
    'key.from',
    /one of path, header, query/,
  ),
  changed(
    'with a negative segment',
    {key: {from: 'path', segment: -1}},
    'key.segment',
    /at least 0/,
  ),
  changed(
    'with half a segment',
    {key: {from: 'path', segment: 0.5}},
    'key.segment',
    /whole number/,
  ),
  changed(
    'with a bad header name',
    {key: {from: 'header', name: 'a b'}},
    'key.name',
    /text that matches/,
  ),
  changed(
    'with two key forms',
    {key: {from: 'path', segment: 1, name: 'x'}},
    'key.name',
    /no field/,
  ),
  changed('with hosts as text', {hosts: 'a.example'}, 'hosts', /a list/),
  changed('with an unknown measure', {weighsMost: 'speed'}, 'weighsMost', /one of churn/),
  changed('with an invalid group', {group: 'Group 1'}, 'group', /lower-case name/),
  changed('without targets', {targets: undefined}, 'targets', /an object/),
  targets('with no slots', {slots: 0}, 'targets.slots', /at least 1/),
  targets('with connections as text', {connections: '120'}, 'targets.connections', /number/),
  targets(
    'with a request timeout above an hour',
    {requestTimeoutMs: 3_600_001},
    'targets.requestTimeoutMs',
    /at most 3600000/,
  ),
  targets(
    'with a relative probe path',
    {probe: {path: 'healthz'}},
    'targets.probe.path',
    /starts with "\/"/,
  ),
  targets(
    'with a misspelt probe field',
    {probe: {interval: 5}},
    'targets.probe.interval',
    /no field/,
  ),
  targets('with no probe failures', {probe: {failures: 0}}, 'targets.probe.failures', /at least 1/),
  targets('with a misspelt grant field', {checkGrants: true}, 'targets.checkGrants', /no field/),
  changed('with a drain time of 0', {stop: {drainMs: 0}}, 'stop.drainMs', /at least 1/),
  changed(
    'with an unknown method',
    {requests: {repeatableMethods: ['GETS']}},
    'requests.repeatableMethods.0',
    /one of GET/,
  ),
  changed(
    'with an endless deadline',
    {requests: {defaultDeadlineMs: 1e12}},
    'requests.defaultDeadlineMs',
    /at most/,
  ),
];

for (const {name, document, paths, expected, found} of BROKEN_DOCUMENTS) {
  test(`A document ${name} is refused with the path, what was expected and what was found`, () => {
    const problems = problemsOf('DOCUMENT_INVALID', () => parseServiceDocument(document));
    assert.deepEqual(
      problems.map(({path}) => path),
      paths,
    );
    assert.match(problems[0]?.expected ?? '', new RegExp(expected));
    assert.equal(problems[0]?.found, found);
  });
}

test('Every problem of a document is reported at once', () => {
  const document = {...DOCUMENT, service: 'x', targets: {slots: 0}, extra: 1};
  const problems = problemsOf('DOCUMENT_INVALID', () => parseServiceDocument(document));
  assert.deepEqual(
    problems.map(({path}) => path),
    ['service', 'targets.slots', 'targets.connections', 'extra'],
  );
});

test('A request with an unknown field is refused, a response with one is understood', () => {
  const request = {service: DOCUMENT.service, revison: 4};
  const problems = problemsOf('REQUEST_INVALID', () => parseAdminRequest('getDocument', request));
  assert.deepEqual(problems[0]?.path, 'revison');
  const response = {team: 'tharangam', index: 4, since: 'a later version'};
  assert.deepEqual(parseAdminResponse('claimTeam', response), {team: 'tharangam', index: 4});
});

test('A response of an unexpected shape is reported and not shown as a result', () => {
  const problems = problemsOf('INTERNAL', () => parseAdminResponse('drain', {instanceId: 'a'}));
  assert.deepEqual(problems[0]?.path, 'sessionId');
});

test('Exactly the operations that change state need the token', () => {
  const changing = Object.entries(ADMIN_OPERATIONS)
    .filter(([, {changesState}]) => changesState)
    .map(([operation]) => operation);
  assert.deepEqual(changing, [
    'claimTeam',
    'applyDocument',
    'drain',
    'addLearner',
    'promote',
    'removeMember',
  ]);
  assert.equal(adminOperationPath('inForce'), '/v1/inForce');
});

function problemsOf(code: ErrorCode, run: () => unknown): FieldProblem[] {
  try {
    run();
  } catch (error) {
    assert.ok(error instanceof MedlarlaneError);
    assert.equal(error.code, code);
    return error.details['problems'] as FieldProblem[];
  }
  throw new Error('Expected a refusal');
}

function broken(
  name: string,
  document: unknown,
  paths: readonly string[],
  expected: string,
  found: string,
): BrokenDocument {
  return {name, document, paths, expected, found};
}

/** One changed top-level field and the one problem that follows from it. */
function changed(
  name: string,
  change: Record<string, unknown>,
  path: string,
  expected: RegExp,
): BrokenDocument {
  const document = {...DOCUMENT, ...change};
  const value = path
    .split('.')
    .reduce<unknown>((parent, key) => (parent as Record<string, unknown>)?.[key], document);
  const found = value === undefined ? '(missing)' : JSON.stringify(value);
  return broken(name, document, [path], expected.source, found);
}

function targets(
  name: string,
  change: Record<string, unknown>,
  path: string,
  expected: RegExp,
): BrokenDocument {
  return changed(name, {targets: {...DOCUMENT.targets, ...change}}, path, expected);
}
