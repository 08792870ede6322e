import assert from 'node:assert/strict';
import {v7 as createId} from 'uuid';
import {SERVICE} from '@medlarlane/fault-tables';
import type {CallerScenario} from '@medlarlane/fault-tables';
import {openRawConnection} from '@medlarlane/fixtures';
import type {RawConnection, RawResponse, ScriptedTarget, TargetScript} from '@medlarlane/fixtures';

/** Expected fields of one response; absent fields are not compared. */
export interface ExpectedResponse {
  readonly status: number;
  readonly code?: string;
  readonly ran?: string;
  readonly body?: string;
  readonly isComplete?: boolean;
}

export interface CaseContext {
  readonly connection: RawConnection;
  readonly target: ScriptedTarget;
  readonly path: string;
  /** Returns the head of a request for `path`, up to and including the empty line. */
  head(method: string, headers?: Readonly<Record<string, string>>): string;
}

export interface CallerCase {
  readonly title: string;
  readonly script?: TargetScript;
  /** Whether the target responds before it has read the body. */
  readonly early?: boolean;
  /** Sends the request and returns the responses to compare. */
  readonly send: (context: CaseContext) => Promise<RawResponse[]>;
  readonly expected: readonly ExpectedResponse[];
  /** Number of times that the complete request must have reached the target. */
  readonly runs: number;
  /** Whether the daemon must close the connection. */
  readonly closesConnection?: boolean;
}

/** Sends a request with raw header lines and body, and reads its response. */
export function sendRawRequest(lines: string, body = ''): CallerCase['send'] {
  return async ({connection, path}) => {
    const validHeaders = `host: x\r\nmedlarlane-service: ${SERVICE}\r\nidempotency-key: ${createId()}\r\n`;
    await connection.write(`POST ${path} HTTP/1.1\r\n${validHeaders}${lines}\r\n\r\n${body}`);
    return [await connection.response()];
  };
}

/** Runs a case against the owner daemon or the entry daemon and compares its responses. */
export async function runCallerCase(
  row: CallerCase,
  scenario: CallerScenario,
  entry: 'owner' | 'entry',
): Promise<void> {
  const {target} = scenario;
  const path = `/walls/${createId()}`;
  if (row.script) target.script(path, row.script, {early: row.early ?? false});
  const connection = await openRawConnection(scenario[entry].ready.caller);
  try {
    const head = createHead(path);
    const responses = await row.send({connection, target, path, head});
    assert.deepEqual(
      responses.map((response, index) => pickComparedFields(response, row.expected[index])),
      row.expected,
    );
    if (row.closesConnection) await connection.ended;
    assert.equal(target.runs(path), row.runs);
  } finally {
    connection.reset();
  }
}

function createHead(path: string): CaseContext['head'] {
  return (method, headers = {}) => {
    const all = {host: 'x', 'medlarlane-service': SERVICE, ...headers};
    const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`);
    return `${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n`;
  };
}

/** Returns the fields of a response that are present in `compared`. */
function pickComparedFields(
  response: RawResponse,
  compared: ExpectedResponse | undefined,
): ExpectedResponse {
  const received = {
    status: response.status,
    code: response.headers['medlarlane-code'],
    ran: response.headers['medlarlane-ran'],
    body: response.body,
    isComplete: response.isComplete,
  };
  const names = Object.keys(compared ?? received);
  return Object.fromEntries(
    Object.entries(received).filter(([name]) => names.includes(name)),
  ) as never;
}
