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
  brokenDocument('that is a list', [], ['(root)'], 'an object', '[]'),
  brokenDocument('that is empty text', null, ['(root)'], 'an object', 'null'),
  withChangedField('without team', {service: 'wallboard'}, 'service', /"<team>\/<service>"/),
  withChangedField('with an upper-case service', {service: 'a/B'}, 'service', /lower case/),
  withChangedField('with an unknown field', {owner: 'me'}, 'owner', /no field of this name/),
  withChangedField(
    'with a key rule that is missing',
    {key: undefined},
    'key',
    /splitByKey is true/,
  ),
  withChangedField(
    'with a key rule that is not used',
    {splitByKey: false},
    'key',
    /splitByKey is false/,
  ),
  withChangedField('with a switch as text', {splitByKey: 'yes'}, 'splitByKey', /true or false/),
  withChangedField(
    'with a key in a cookie',
    {key: {from: 'cookie'}},
    'key.from',
    /one of path, header, query/,
  ),
  withChangedField(
    'with a negative segment',
    {key: {from: 'path', segment: -1}},
    'key.segment',
    /at least 0/,
  ),
  withChangedField(
    'with half a segment',
    {key: {from: 'path', segment: 0.5}},
    'key.segment',
    /whole number/,
  ),
  withChangedField(
    'with a bad header name',
    {key: {from: 'header', name: 'a b'}},
    'key.name',
    /text that matches/,
  ),
  withChangedField(
    'with two key forms',
    {key: {from: 'path', segment: 1, name: 'x'}},
    'key.name',
    /no field/,
  ),
  withChangedField('with hosts as text', {hosts: 'a.example'}, 'hosts', /a list/),
  withChangedField('with an unknown measure', {weighsMost: 'speed'}, 'weighsMost', /one of churn/),
  withChangedField('with an invalid group', {group: 'Group 1'}, 'group', /lower-case name/),
  withChangedField('without targets', {targets: undefined}, 'targets', /an object/),
  withChangedTargets('with no slots', {slots: 0}, 'targets.slots', /at least 1/),
  withChangedTargets(
    'with connections as text',
    {connections: '120'},
    'targets.connections',
    /number/,
  ),
  withChangedTargets(
    'with a request timeout above an hour',
    {requestTimeoutMs: 3_600_001},
    'targets.requestTimeoutMs',
    /at most 3600000/,
  ),
  withChangedTargets(
    'with a relative probe path',
    {probe: {path: 'healthz'}},
    'targets.probe.path',
    /starts with "\/"/,
  ),
  withChangedTargets(
    'with a misspelt probe field',
    {probe: {interval: 5}},
    'targets.probe.interval',
    /no field/,
  ),
  withChangedTargets(
    'with no probe failures',
    {probe: {failures: 0}},
    'targets.probe.failures',
    /at least 1/,
  ),
  withChangedTargets(
    'with a misspelt grant field',
    {checkGrants: true},
    'targets.checkGrants',
    /no field/,
  ),
  withChangedField('with a drain time of 0', {stop: {drainMs: 0}}, 'stop.drainMs', /at least 1/),
  withChangedField(
    'with an unknown method',
    {requests: {repeatableMethods: ['GETS']}},
    'requests.repeatableMethods.0',
    /one of GET/,
  ),
  withChangedField(
    'with an endless deadline',
    {requests: {defaultDeadlineMs: 1e12}},
    'requests.defaultDeadlineMs',
    /at most/,
  ),
];

for (const {name, document, paths, expected, found} of BROKEN_DOCUMENTS) {
  test(`A document ${name} is rejected with path, expected and found value`, () => {
    const problems = problemsThrownBy('DOCUMENT_INVALID', () => parseServiceDocument(document));
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
  const problems = problemsThrownBy('DOCUMENT_INVALID', () => parseServiceDocument(document));
  assert.deepEqual(
    problems.map(({path}) => path),
    ['service', 'targets.slots', 'targets.connections', 'extra'],
  );
});

test('An unknown field is rejected in a request and ignored in a response', () => {
  const request = {service: DOCUMENT.service, revison: 4};
  const problems = problemsThrownBy('REQUEST_INVALID', () =>
    parseAdminRequest('getDocument', request),
  );
  assert.deepEqual(problems[0]?.path, 'revison');
  const response = {team: 'tharangam', index: 4, since: 'a later version'};
  assert.deepEqual(parseAdminResponse('claimTeam', response), {team: 'tharangam', index: 4});
});

test('A response that does not match the schema is an error', () => {
  const problems = problemsThrownBy('INTERNAL', () =>
    parseAdminResponse('drain', {instanceId: 'a'}),
  );
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

function problemsThrownBy(code: ErrorCode, run: () => unknown): FieldProblem[] {
  try {
    run();
  } catch (error) {
    assert.ok(error instanceof MedlarlaneError);
    assert.equal(error.code, code);
    return error.details['problems'] as FieldProblem[];
  }
  throw new Error('Expected an error');
}

function brokenDocument(
  name: string,
  document: unknown,
  paths: readonly string[],
  expected: string,
  found: string,
): BrokenDocument {
  return {name, document, paths, expected, found};
}

/** A document with one changed top-level field, and the single problem that it causes. */
function withChangedField(
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
  return brokenDocument(name, document, [path], expected.source, found);
}

function withChangedTargets(
  name: string,
  change: Record<string, unknown>,
  path: string,
  expected: RegExp,
): BrokenDocument {
  return withChangedField(name, {targets: {...DOCUMENT.targets, ...change}}, path, expected);
}
