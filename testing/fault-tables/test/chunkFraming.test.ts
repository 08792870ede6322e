import {after, before, describe, test} from 'node:test';
import {startCallerScenario} from '@medlarlane/fault-tables';
import type {CallerScenario} from '@medlarlane/fault-tables';
import {runCallerCase, sendRawRequest} from './callerCase.js';
import type {CallerCase} from './callerCase.js';

// The HTTP parser of Node.js 20.19.0 (llhttp 8.1.2) skips the two bytes after a chunk without checking that
// they are a line end, so the request waits for the rest of a chunk until its deadline.
const LONG_CHUNK: CallerCase = {
  title: 'a chunk that is longer than its size',
  send: sendRawRequest('transfer-encoding: chunked', '2\r\nabcdef\r\n0\r\n\r\n'),
  expected: [{status: 400, code: 'REQUEST_INVALID', ran: 'unknown'}],
  runs: 0,
  closesConnection: true,
};

void describe('Chunk framing', () => {
  let scenario: CallerScenario;
  before(async () => {
    scenario = await startCallerScenario({
      targets: {slots: 64, connections: 120, requestTimeoutMs: 600_000},
    });
  });
  after(() => scenario.dispose());

  for (const entry of ['owner', 'entry'] as const) {
    void test(
      `A caller of the ${entry} daemon gets the expected response with ${LONG_CHUNK.title}`,
      {timeout: 30_000},
      () => runCallerCase(LONG_CHUNK, scenario, entry),
    );
  }
});
