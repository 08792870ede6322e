import {after, before, describe, test} from 'node:test';
import {v7 as createId} from 'uuid';
import {startCallerScenario} from '@medlarlane/fault-tables';
import type {CallerScenario} from '@medlarlane/fault-tables';
import {eventually} from '@medlarlane/fixtures';
import type {TargetScript} from '@medlarlane/fixtures';
import {runCallerCase, sendRawRequest} from './callerCase.js';
import type {CallerCase} from './callerCase.js';

const POST_BODY = 'wall 3 reset';
const LARGE_BYTES = 4 * 1024 * 1024;
// Keeps a case that hangs from delaying the others.
const TEST_OPTIONS = {timeout: 30_000};
const neverRespond: TargetScript = () => undefined;

/** Sends one request in a single write and reads its response. */
function sendRequest(
  method: string,
  headers: Readonly<Record<string, string>> = {},
  body = '',
): CallerCase['send'] {
  return async ({connection, head}) => {
    const length: Record<string, string> =
      body === '' ? {} : {'content-length': String(body.length)};
    await connection.write(head(method, {...length, ...headers}) + body);
    return [await connection.response({bodyless: method === 'HEAD'})];
  };
}

/** Sends a POST with an id created at send time; the owner rejects ids older than its ownership. */
function sendPost(headers: Readonly<Record<string, string>> = {}): CallerCase['send'] {
  return (context) => sendRequest('POST', {...idempotencyHeader(), ...headers}, POST_BODY)(context);
}

const idempotencyHeader = (): Record<string, string> => ({'idempotency-key': createId()});

const ROWS: readonly CallerCase[] = [
  {title: 'a GET without a body', send: sendRequest('GET'), expected: [{status: 200}], runs: 1},
  {
    title: 'a POST with a body',
    send: sendPost(),
    expected: [{status: 200}],
    runs: 1,
  },
  {
    title: 'a POST without Idempotency-Key',
    send: sendRequest('POST', {}, POST_BODY),
    expected: [{status: 400, code: 'IDEMPOTENCY_KEY_REQUIRED', ran: 'no'}],
    runs: 0,
  },
  {
    title: 'a body that arrives byte by byte',
    send: async ({connection, head}) => {
      await connection.write(
        head('POST', {...idempotencyHeader(), 'content-length': String(POST_BODY.length)}),
      );
      for (const byte of POST_BODY) await connection.write(byte);
      return [await connection.response()];
    },
    expected: [{status: 200}],
    runs: 1,
  },
  {
    title: 'a header that arrives byte by byte',
    send: async ({connection, head}) => {
      for (const byte of head('GET')) await connection.write(byte);
      return [await connection.response()];
    },
    expected: [{status: 200}],
    runs: 1,
  },
  {
    title: 'a small body that stalls beyond the deadline',
    send: async ({connection, head}) => {
      const headers = {
        ...idempotencyHeader(),
        'content-length': '10',
        'medlarlane-deadline-ms': '300',
      };
      await connection.write(`${head('POST', headers)}12345`);
      return [await connection.response()];
    },
    expected: [{status: 504, code: 'DEADLINE_EXCEEDED', ran: 'no'}],
    runs: 0,
    closesConnection: true,
  },
  {
    title: 'a connection cut in the middle of a small body',
    send: async ({connection, head}) => {
      await connection.write(
        `${head('POST', {...idempotencyHeader(), 'content-length': '10'})}12345`,
      );
      connection.reset();
      return [await connection.response()];
    },
    expected: [{status: 0}],
    runs: 0,
  },
  {
    title: 'a connection cut in the middle of a large body',
    send: async ({connection, head, target, path}) => {
      await connection.write(
        head('POST', {...idempotencyHeader(), 'content-length': String(LARGE_BYTES)}),
      );
      await connection.write(Buffer.alloc(LARGE_BYTES / 2));
      await eventually('the upload to reach the target', () => target.started(path) > 0);
      connection.reset();
      return [await connection.response()];
    },
    expected: [{status: 0}],
    runs: 0,
  },
  {
    title: 'a target that resets the connection before its response',
    script: (incoming) => void incoming.socket.resetAndDestroy(),
    send: sendPost(),
    expected: [{status: 502, code: 'TARGET_FAILED', ran: 'unknown'}],
    runs: 1,
  },
  {
    title: 'a target that resets the connection of a GET once',
    script: (() => {
      const seenUrls = new Set<string>();
      return (incoming, response) => {
        const isFirst = !seenUrls.has(incoming.url!);
        seenUrls.add(incoming.url!);
        if (isFirst) incoming.socket.resetAndDestroy();
        else response.end('second');
      };
    })(),
    send: sendRequest('GET'),
    expected: [{status: 200, body: 'second'}],
    runs: 2,
  },
  {
    title: 'a target that resets the connection during its response',
    script: (incoming, response) => {
      response.writeHead(200, {'content-length': 100});
      response.write('part', () => incoming.socket.resetAndDestroy());
    },
    send: sendRequest('GET'),
    expected: [{status: 200, isComplete: false}],
    runs: 1,
    closesConnection: true,
  },
  {
    title: 'a target that responds after the deadline',
    script: neverRespond,
    send: sendPost({'medlarlane-deadline-ms': '300'}),
    expected: [{status: 504, code: 'TARGET_TIMEOUT', ran: 'unknown'}],
    runs: 1,
  },
  {
    title: 'a late response that must not be returned for the next request',
    script: (() => {
      const seenUrls = new Set<string>();
      return async (incoming, response) => {
        const isFirst = !seenUrls.has(incoming.url!);
        seenUrls.add(incoming.url!);
        if (isFirst) await new Promise((resolve) => setTimeout(resolve, 600));
        response.end(isFirst ? 'late' : 'own');
      };
    })(),
    send: async (context) => [
      ...(await sendPost({'medlarlane-deadline-ms': '300'})(context)),
      ...(await sendPost()(context)),
    ],
    expected: [
      {status: 504, code: 'TARGET_TIMEOUT', ran: 'unknown'},
      {status: 200, body: 'own'},
    ],
    runs: 2,
  },
  {
    title: 'a header that does not end',
    send: async ({connection}) => {
      await connection.write('GET /walls/x HTTP/1.1\r\nhost: x\r\n');
      return [await connection.response()];
    },
    expected: [{status: 408, code: 'REQUEST_INVALID', ran: 'no'}],
    runs: 0,
    closesConnection: true,
  },
  {
    title: 'a caller that resets its connection after the first bytes of the response',
    script: (_incoming, response) => {
      response.writeHead(200, {'content-length': LARGE_BYTES});
      response.write('first');
    },
    send: async ({connection, head}) => {
      const firstBytes = new Promise((resolve) => connection.socket.once('data', resolve));
      await connection.write(head('GET'));
      await firstBytes;
      connection.reset();
      return [await connection.response()];
    },
    expected: [{status: 200, isComplete: false}],
    runs: 1,
  },
  {
    title: 'a target that responds with something other than HTTP',
    script: (incoming) => void incoming.socket.end('no HTTP\r\n\r\n'),
    send: sendPost(),
    expected: [{status: 502, code: 'TARGET_FAILED', ran: 'unknown'}],
    runs: 1,
  },
  {
    title: 'a target that sheds load',
    script: (_incoming, response) =>
      void response.writeHead(503, {'medlarlane-ran': 'no'}).end('busy'),
    send: sendPost(),
    expected: [{status: 503, code: 'OVERLOADED', ran: 'no'}],
    // The rejection states that the request was not run, so the entry daemon retries it once.
    runs: 2,
  },
  {
    title: 'a target that sheds a HEAD request',
    script: (_incoming, response) => void response.writeHead(503, {'medlarlane-ran': 'no'}).end(),
    send: sendRequest('HEAD'),
    expected: [{status: 503, code: 'OVERLOADED', ran: 'no'}],
    runs: 2,
  },
  {
    title: 'a target that responds to a large upload before its end',
    early: true,
    script: (_incoming, response) => void response.writeHead(413, {'content-length': 3}).end('big'),
    send: async ({connection, head}) => {
      await connection.write(
        head('POST', {...idempotencyHeader(), 'content-length': String(LARGE_BYTES)}),
      );
      void connection.write(Buffer.alloc(LARGE_BYTES));
      return [await connection.response()];
    },
    expected: [{status: 413, body: 'big', isComplete: true}],
    runs: 0,
  },
  {
    title: 'a target that sheds a large upload before its end',
    early: true,
    script: (_incoming, response) =>
      void response.writeHead(503, {'content-length': 4, 'medlarlane-ran': 'no'}).end('busy'),
    send: async ({connection, head}) => {
      await connection.write(
        head('POST', {...idempotencyHeader(), 'content-length': String(LARGE_BYTES)}),
      );
      void connection.write(Buffer.alloc(LARGE_BYTES));
      return [await connection.response()];
    },
    expected: [{status: 503, code: 'OVERLOADED', ran: 'no', isComplete: true}],
    runs: 0,
  },
  {
    title: 'a target whose header has a byte outside ASCII',
    script: (_incoming, response) =>
      void response.writeHead(200, {'x-name': 'caf\u00e9', 'content-length': 2}).end('ok'),
    send: sendRequest('GET'),
    expected: [{status: 200, body: 'ok', isComplete: true}],
    runs: 1,
  },
  {
    title: 'garbage pipelined after a valid request',
    script: async (_incoming, response) => {
      await new Promise((resolve) => setTimeout(resolve, 200));
      response.end('valid');
    },
    send: async ({connection, head}) => {
      await connection.write(`${head('GET')}\u0000garbage\r\n\r\n`);
      return [await connection.response()];
    },
    expected: [{status: 200, body: 'valid', isComplete: true}],
    runs: 1,
    closesConnection: true,
  },
  {
    title: 'headers above the limit',
    send: sendRawRequest(`x-large: ${'x'.repeat(20_000)}`),
    expected: [{status: 431, code: 'REQUEST_INVALID', ran: 'no'}],
    runs: 0,
    closesConnection: true,
  },
  {
    title: 'both length headers',
    send: sendRawRequest(
      'content-length: 3\r\ntransfer-encoding: chunked',
      '3\r\nabc\r\n0\r\n\r\n',
    ),
    expected: [{status: 400, code: 'REQUEST_INVALID', ran: 'no'}],
    runs: 0,
    closesConnection: true,
  },
  {
    title: 'a folded header line',
    send: sendRawRequest('x-a: 1\r\n folded\r\ncontent-length: 0'),
    expected: [{status: 400, code: 'REQUEST_INVALID', ran: 'no'}],
    runs: 0,
    closesConnection: true,
  },
  {
    title: 'a chunk size that is not a number',
    send: sendRawRequest('transfer-encoding: chunked', 'zz\r\nabc\r\n0\r\n\r\n'),
    expected: [{status: 400, code: 'REQUEST_INVALID', ran: 'unknown'}],
    runs: 0,
    closesConnection: true,
  },
  {
    title: 'a chunked upload',
    send: sendRawRequest('transfer-encoding: chunked', '3\r\nabc\r\n5\r\ndefgh\r\n0\r\n\r\n'),
    expected: [{status: 200}],
    runs: 1,
  },
  {
    title: 'HEAD',
    script: (_incoming, response) => void response.writeHead(200, {'content-length': 42}).end(),
    send: sendRequest('HEAD'),
    expected: [{status: 200}],
    runs: 1,
  },
  {
    title: 'a 204 response',
    script: (_incoming, response) => void response.writeHead(204).end(),
    send: sendRequest('GET'),
    expected: [{status: 204}],
    runs: 1,
  },
  {
    title: 'a 304 response',
    script: (_incoming, response) => void response.writeHead(304, {etag: '"1"'}).end(),
    send: sendRequest('GET'),
    expected: [{status: 304}],
    runs: 1,
  },
  {
    title: 'a caller that waits for 100 Continue',
    send: async ({connection, head}) => {
      const headers = {...idempotencyHeader(), 'content-length': '3', expect: '100-continue'};
      await connection.write(head('POST', headers));
      const interim = await connection.response();
      await connection.write('abc');
      return [interim, await connection.response()];
    },
    expected: [{status: 100}, {status: 200}],
    runs: 1,
  },
  {
    title: 'a connection that is reused after a rejection with an unread body',
    send: async ({connection, head}) => {
      const bytes = 200_000;
      await connection.write(head('POST', {'content-length': String(bytes)}));
      const rejection = await connection.response();
      await connection.write(Buffer.alloc(bytes));
      await connection.write(head('GET'));
      return [rejection, await connection.response()];
    },
    expected: [
      {status: 400, code: 'IDEMPOTENCY_KEY_REQUIRED', ran: 'no', isComplete: true},
      {status: 200},
    ],
    runs: 1,
  },
  {
    title: 'a rejection while the caller still sends a large body',
    send: async ({connection, head}) => {
      await connection.write(head('POST', {'content-length': String(LARGE_BYTES)}));
      await connection.write(Buffer.alloc(LARGE_BYTES));
      return [await connection.response()];
    },
    expected: [{status: 400, code: 'IDEMPOTENCY_KEY_REQUIRED', ran: 'no', isComplete: true}],
    runs: 0,
  },
  {
    title: 'a caller that disconnects while its request runs',
    script: neverRespond,
    send: async ({connection, head, target, path}) => {
      await connection.write(head('GET'));
      await eventually('the request to reach the target', () => target.started(path) === 1);
      connection.reset();
      return [await connection.response()];
    },
    expected: [{status: 0}],
    runs: 1,
  },
];

void describe('Caller interface', {concurrency: 8}, () => {
  let scenario: CallerScenario;
  before(async () => {
    // Cases in which the target fails lower its adaptive limit, which must not cause queueing.
    const targets = {slots: 64, connections: 120, requestTimeoutMs: 600_000};
    scenario = await startCallerScenario({targets});
  });
  after(() => scenario.dispose());

  for (const entry of ['owner', 'entry'] as const) {
    for (const row of ROWS) {
      void test(
        `A caller of the ${entry} daemon gets the expected response with ${row.title}`,
        TEST_OPTIONS,
        () => runCallerCase(row, scenario, entry),
      );
    }
  }
});
