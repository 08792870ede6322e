import assert from 'node:assert/strict';
import {after, before, describe, test} from 'node:test';
import {v7 as createId} from 'uuid';
import {SERVICE, startCallerScenario} from '@medlarlane/fault-tables';
import type {CallerScenario} from '@medlarlane/fault-tables';
import {eventually, openRawConnection} from '@medlarlane/fixtures';
import type {RawConnection, RawResponse, ScriptedTarget, TargetScript} from '@medlarlane/fixtures';

/** What a caller sees of one response; absent fields are not compared. */
interface Seen {
  readonly status: number;
  readonly code?: string;
  readonly ran?: string;
  readonly body?: string;
  readonly isComplete?: boolean;
}

interface Call {
  readonly connection: RawConnection;
  readonly target: ScriptedTarget;
  readonly path: string;
  /** Head of a request for the row's path, up to and including the empty line. */
  head(method: string, headers?: Readonly<Record<string, string>>): string;
}

interface Row {
  readonly title: string;
  readonly script?: TargetScript;
  /** The target answers before it has read the body. */
  readonly early?: boolean;
  /** Sends the request and returns the responses to compare. */
  readonly send: (call: Call) => Promise<RawResponse[]>;
  readonly sees: readonly Seen[];
  /** How often the whole request must have reached the target. */
  readonly runs: number;
  /** Whether the daemon must end the connection. */
  readonly ends?: boolean;
}

const POST_BODY = 'wall 3 reset';
const LARGE_BYTES = 4 * 1024 * 1024;
// A row that hangs must not hold up the others.
const LIMIT = {timeout: 30_000};
const never: TargetScript = () => undefined;

/** Sends one request in one piece and reads its response. */
function plain(
  method: string,
  headers: Readonly<Record<string, string>> = {},
  body = '',
): Row['send'] {
  return async ({connection, head}) => {
    const length: Record<string, string> =
      body === '' ? {} : {'content-length': String(body.length)};
    await connection.write(head(method, {...length, ...headers}) + body);
    return [await connection.response({bodyless: method === 'HEAD'})];
  };
}

/** Sends a POST whose id is created when it is sent; the owner refuses ids from before its time. */
function post(headers: Readonly<Record<string, string>> = {}): Row['send'] {
  return (call) => plain('POST', {...id(), ...headers}, POST_BODY)(call);
}

/** Sends a malformed request and reads the refusal. */
function malformed(lines: string, body = ''): Row['send'] {
  return async ({connection, path}) => {
    const fixed = `host: x\r\nmedlarlane-service: ${SERVICE}\r\nidempotency-key: ${createId()}\r\n`;
    await connection.write(`POST ${path} HTTP/1.1\r\n${fixed}${lines}\r\n\r\n${body}`);
    return [await connection.response()];
  };
}

const id = (): Record<string, string> => ({'idempotency-key': createId()});

const ROWS: readonly Row[] = [
  {title: 'a plain GET', send: plain('GET'), sees: [{status: 200}], runs: 1},
  {
    title: 'a POST with a body',
    send: post(),
    sees: [{status: 200}],
    runs: 1,
  },
  {
    title: 'a POST without Idempotency-Key',
    send: plain('POST', {}, POST_BODY),
    sees: [{status: 400, code: 'IDEMPOTENCY_KEY_REQUIRED', ran: 'no'}],
    runs: 0,
  },
  {
    title: 'a body that arrives byte by byte',
    send: async ({connection, head}) => {
      await connection.write(head('POST', {...id(), 'content-length': String(POST_BODY.length)}));
      for (const byte of POST_BODY) await connection.write(byte);
      return [await connection.response()];
    },
    sees: [{status: 200}],
    runs: 1,
  },
  {
    title: 'a header that arrives byte by byte',
    send: async ({connection, head}) => {
      for (const byte of head('GET')) await connection.write(byte);
      return [await connection.response()];
    },
    sees: [{status: 200}],
    runs: 1,
  },
  {
    title: 'a small body that stalls beyond the deadline',
    send: async ({connection, head}) => {
      const headers = {...id(), 'content-length': '10', 'medlarlane-deadline-ms': '300'};
      await connection.write(`${head('POST', headers)}12345`);
      return [await connection.response()];
    },
    sees: [{status: 504, code: 'DEADLINE_EXCEEDED', ran: 'no'}],
    runs: 0,
    ends: true,
  },
  {
    title: 'a connection cut in the middle of a small body',
    send: async ({connection, head}) => {
      await connection.write(`${head('POST', {...id(), 'content-length': '10'})}12345`);
      connection.reset();
      return [await connection.response()];
    },
    sees: [{status: 0}],
    runs: 0,
  },
  {
    title: 'a connection cut in the middle of a large body',
    send: async ({connection, head, target, path}) => {
      await connection.write(head('POST', {...id(), 'content-length': String(LARGE_BYTES)}));
      await connection.write(Buffer.alloc(LARGE_BYTES / 2));
      await eventually('the upload at the target', () => target.started(path) > 0);
      connection.reset();
      return [await connection.response()];
    },
    sees: [{status: 0}],
    runs: 0,
  },
  {
    title: 'a target that resets the connection before its response',
    script: (incoming) => void incoming.socket.resetAndDestroy(),
    send: post(),
    sees: [{status: 502, code: 'TARGET_FAILED', ran: 'unknown'}],
    runs: 1,
  },
  {
    title: 'a target that resets the connection of a GET once',
    script: (() => {
      const seen = new Set<string>();
      return (incoming, response) => {
        const isFirst = !seen.has(incoming.url!);
        seen.add(incoming.url!);
        if (isFirst) incoming.socket.resetAndDestroy();
        else response.end('second');
      };
    })(),
    send: plain('GET'),
    sees: [{status: 200, body: 'second'}],
    runs: 2,
  },
  {
    title: 'a target that resets the connection during its response',
    script: (incoming, response) => {
      response.writeHead(200, {'content-length': 100});
      response.write('part', () => incoming.socket.resetAndDestroy());
    },
    send: plain('GET'),
    sees: [{status: 200, isComplete: false}],
    runs: 1,
    ends: true,
  },
  {
    title: 'a target that answers after the deadline',
    script: never,
    send: post({'medlarlane-deadline-ms': '300'}),
    sees: [{status: 504, code: 'TARGET_TIMEOUT', ran: 'unknown'}],
    runs: 1,
  },
  {
    title: 'a late answer that must not be taken for the next one',
    script: (() => {
      const seen = new Set<string>();
      return async (incoming, response) => {
        const isFirst = !seen.has(incoming.url!);
        seen.add(incoming.url!);
        if (isFirst) await new Promise((resolve) => setTimeout(resolve, 600));
        response.end(isFirst ? 'late' : 'own');
      };
    })(),
    send: async (call) => [
      ...(await post({'medlarlane-deadline-ms': '300'})(call)),
      ...(await post()(call)),
    ],
    sees: [
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
    sees: [{status: 408, code: 'REQUEST_INVALID', ran: 'no'}],
    runs: 0,
    ends: true,
  },
  {
    title: 'a caller that resets its connection after the first bytes of the response',
    script: (_incoming, response) => {
      response.writeHead(200, {'content-length': LARGE_BYTES});
      response.write('first');
    },
    send: async ({connection, head}) => {
      const first = new Promise((resolve) => connection.socket.once('data', resolve));
      await connection.write(head('GET'));
      await first;
      connection.reset();
      return [await connection.response()];
    },
    sees: [{status: 200, isComplete: false}],
    runs: 1,
  },
  {
    title: 'a target that answers with something other than HTTP',
    script: (incoming) => void incoming.socket.end('no HTTP\r\n\r\n'),
    send: post(),
    sees: [{status: 502, code: 'TARGET_FAILED', ran: 'unknown'}],
    runs: 1,
  },
  {
    title: 'a target that sheds load',
    script: (_incoming, response) =>
      void response.writeHead(503, {'medlarlane-ran': 'no'}).end('busy'),
    send: post(),
    sees: [{status: 503, code: 'OVERLOADED', ran: 'no'}],
    // The refusal says that nothing ran, so the entry daemon sends the request once more.
    runs: 2,
  },
  {
    title: 'a target that sheds the load of a HEAD',
    script: (_incoming, response) => void response.writeHead(503, {'medlarlane-ran': 'no'}).end(),
    send: plain('HEAD'),
    sees: [{status: 503, code: 'OVERLOADED', ran: 'no'}],
    runs: 2,
  },
  {
    title: 'a target that answers a large upload before its end',
    early: true,
    script: (_incoming, response) => void response.writeHead(413, {'content-length': 3}).end('big'),
    send: async ({connection, head}) => {
      await connection.write(head('POST', {...id(), 'content-length': String(LARGE_BYTES)}));
      void connection.write(Buffer.alloc(LARGE_BYTES));
      return [await connection.response()];
    },
    sees: [{status: 413, body: 'big', isComplete: true}],
    runs: 0,
  },
  {
    title: 'a target that sheds a large upload before its end',
    early: true,
    script: (_incoming, response) =>
      void response.writeHead(503, {'content-length': 4, 'medlarlane-ran': 'no'}).end('busy'),
    send: async ({connection, head}) => {
      await connection.write(head('POST', {...id(), 'content-length': String(LARGE_BYTES)}));
      void connection.write(Buffer.alloc(LARGE_BYTES));
      return [await connection.response()];
    },
    sees: [{status: 503, code: 'OVERLOADED', ran: 'no', isComplete: true}],
    runs: 0,
  },
  {
    title: 'a target whose header has a byte outside ASCII',
    script: (_incoming, response) =>
      void response.writeHead(200, {'x-name': 'caf\u00e9', 'content-length': 2}).end('ok'),
    send: plain('GET'),
    sees: [{status: 200, body: 'ok', isComplete: true}],
    runs: 1,
  },
  {
    title: 'garbage that is pipelined after a valid request',
    script: async (_incoming, response) => {
      await new Promise((resolve) => setTimeout(resolve, 200));
      response.end('valid');
    },
    send: async ({connection, head}) => {
      await connection.write(`${head('GET')}\u0000garbage\r\n\r\n`);
      return [await connection.response()];
    },
    sees: [{status: 200, body: 'valid', isComplete: true}],
    runs: 1,
    ends: true,
  },
  {
    title: 'headers above the limit',
    send: malformed(`x-large: ${'x'.repeat(20_000)}`),
    sees: [{status: 431, code: 'REQUEST_INVALID', ran: 'no'}],
    runs: 0,
    ends: true,
  },
  {
    title: 'both length headers',
    send: malformed('content-length: 3\r\ntransfer-encoding: chunked', '3\r\nabc\r\n0\r\n\r\n'),
    sees: [{status: 400, code: 'REQUEST_INVALID', ran: 'no'}],
    runs: 0,
    ends: true,
  },
  {
    title: 'a folded header line',
    send: malformed('x-a: 1\r\n folded\r\ncontent-length: 0'),
    sees: [{status: 400, code: 'REQUEST_INVALID', ran: 'no'}],
    runs: 0,
    ends: true,
  },
  {
    title: 'a chunk size that is no number',
    send: malformed('transfer-encoding: chunked', 'zz\r\nabc\r\n0\r\n\r\n'),
    sees: [{status: 400, code: 'REQUEST_INVALID', ran: 'unknown'}],
    runs: 0,
    ends: true,
  },
  {
    title: 'a chunk that is longer than its size',
    send: malformed('transfer-encoding: chunked', '2\r\nabcdef\r\n0\r\n\r\n'),
    sees: [{status: 400, code: 'REQUEST_INVALID', ran: 'unknown'}],
    runs: 0,
    ends: true,
  },
  {
    title: 'a chunked upload',
    send: malformed('transfer-encoding: chunked', '3\r\nabc\r\n5\r\ndefgh\r\n0\r\n\r\n'),
    sees: [{status: 200}],
    runs: 1,
  },
  {
    title: 'HEAD',
    script: (_incoming, response) => void response.writeHead(200, {'content-length': 42}).end(),
    send: plain('HEAD'),
    sees: [{status: 200}],
    runs: 1,
  },
  {
    title: 'an answer 204',
    script: (_incoming, response) => void response.writeHead(204).end(),
    send: plain('GET'),
    sees: [{status: 204}],
    runs: 1,
  },
  {
    title: 'an answer 304',
    script: (_incoming, response) => void response.writeHead(304, {etag: '"1"'}).end(),
    send: plain('GET'),
    sees: [{status: 304}],
    runs: 1,
  },
  {
    title: 'a caller that waits for 100 Continue',
    send: async ({connection, head}) => {
      const headers = {...id(), 'content-length': '3', expect: '100-continue'};
      await connection.write(head('POST', headers));
      const interim = await connection.response();
      await connection.write('abc');
      return [interim, await connection.response()];
    },
    sees: [{status: 100}, {status: 200}],
    runs: 1,
  },
  {
    title: 'a connection that is used again after a refusal with an unread body',
    send: async ({connection, head}) => {
      const bytes = 200_000;
      await connection.write(head('POST', {'content-length': String(bytes)}));
      const refusal = await connection.response();
      await connection.write(Buffer.alloc(bytes));
      await connection.write(head('GET'));
      return [refusal, await connection.response()];
    },
    sees: [
      {status: 400, code: 'IDEMPOTENCY_KEY_REQUIRED', ran: 'no', isComplete: true},
      {status: 200},
    ],
    runs: 1,
  },
  {
    title: 'a refusal while the caller still sends a large body',
    send: async ({connection, head}) => {
      await connection.write(head('POST', {'content-length': String(LARGE_BYTES)}));
      await connection.write(Buffer.alloc(LARGE_BYTES));
      return [await connection.response()];
    },
    sees: [{status: 400, code: 'IDEMPOTENCY_KEY_REQUIRED', ran: 'no', isComplete: true}],
    runs: 0,
  },
  {
    title: 'a caller that is gone while its request runs',
    script: never,
    send: async ({connection, head, target, path}) => {
      await connection.write(head('GET'));
      await eventually('the request at the target', () => target.started(path) === 1);
      connection.reset();
      return [await connection.response()];
    },
    sees: [{status: 0}],
    runs: 1,
  },
];

void describe('Caller interface', {concurrency: 8}, () => {
  let scenario: CallerScenario;
  before(async () => {
    // The rows that make the target fail must not lower its learned limit to a queue.
    const targets = {slots: 64, connections: 120, requestTimeoutMs: 600_000};
    scenario = await startCallerScenario({targets});
  });
  after(() => scenario.dispose());

  for (const entry of ['owner', 'entry'] as const) {
    for (const row of ROWS) {
      void test(`A caller of the ${entry} daemon gets its answer with ${row.title}`, LIMIT, () =>
        runRow(row, scenario, entry),
      );
    }
  }
});

async function runRow(row: Row, scenario: CallerScenario, entry: 'owner' | 'entry'): Promise<void> {
  const {target} = scenario;
  const path = `/walls/${createId()}`;
  if (row.script) target.script(path, row.script, {early: row.early ?? false});
  const connection = await openRawConnection(scenario[entry].ready.caller);
  try {
    const head = headOf(path);
    const responses = await row.send({connection, target, path, head});
    assert.deepEqual(
      responses.map((response, index) => pick(response, row.sees[index])),
      row.sees,
    );
    if (row.ends) await connection.ended;
    assert.equal(target.runs(path), row.runs);
  } finally {
    connection.reset();
  }
}

function headOf(path: string): Call['head'] {
  return (method, headers = {}) => {
    const all = {host: 'x', 'medlarlane-service': SERVICE, ...headers};
    const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`);
    return `${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n`;
  };
}

/** The fields of a response that a row compares. */
function pick(response: RawResponse, compared: Seen | undefined): Seen {
  const seen = {
    status: response.status,
    code: response.headers['medlarlane-code'],
    ran: response.headers['medlarlane-ran'],
    body: response.body,
    isComplete: response.isComplete,
  };
  const names = Object.keys(compared ?? seen);
  return Object.fromEntries(Object.entries(seen).filter(([name]) => names.includes(name))) as never;
}
