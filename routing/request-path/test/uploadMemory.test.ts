import assert from 'node:assert/strict';
import {after, describe, it} from 'node:test';
import {DisposableStore} from '@medlarlane/lifecycle';
import {silentLogger} from '@medlarlane/logger';
import {createPeerClient, startOfferListener, UploadMemory} from '@medlarlane/request-path';
import type {AdmissionController, Offer, PeerClient, RunResult} from '@medlarlane/request-path';
import {connectCaller, requestHead, startTestEntry, waitFor} from './entryFixture.js';

const MB = 1024 * 1024;
const BODY_BYTES = 700_000;
const OFFER: Offer = {
  requestId: 'r1',
  service: 'wallboard',
  life: 'a/1',
  route: 'unsafe',
  priority: 1,
  targetLeftMs: 5_000,
  deadlineLeftMs: 5_000,
  acceptLate: true,
  maxWaitMs: 5_000,
  callerService: '',
};

// Guards against uploads within the limit of the configuration that take a daemon over its memory: their number
// was not bounded, and each was held up to five times.
describe('Memory for uploads', () => {
  const disposables = new DisposableStore();
  after(() => disposables.dispose());

  it('is granted while it fits beside what the process holds otherwise', () => {
    let heldBytes = 0;
    const memory = new UploadMemory({processBytes: 15 * MB, heldBytes: () => heldBytes});
    const first = memory.reserve(MB);
    const second = memory.reserve(MB);
    assert.throws(() => memory.reserve(MB), {code: 'OVERLOADED', ran: 'no'});
    second.release();
    second.release();
    heldBytes = 3 * MB;
    assert.throws(() => memory.reserve(MB), {code: 'OVERLOADED'});
    heldBytes = 0;
    first.grow(2 * MB);
    assert.throws(() => first.grow(3 * MB), {code: 'OVERLOADED'});
    assert.equal(memory.usedBytes, 6 * MB);
    first.release();
    assert.equal(memory.usedBytes, 0);
  });

  async function startUploads() {
    const sent: string[] = [];
    const answers: Array<(result: RunResult) => void> = [];
    const run: PeerClient['run'] = ({offer}) =>
      new Promise((resolve) => {
        sent.push(offer.requestId);
        answers.push(resolve);
      });
    const uploadMemory = new UploadMemory({processBytes: 5 * MB, heldBytes: () => 0});
    const {port} = await startTestEntry(disposables, {run, uploadMemory, maxBodyBytes: MB});
    const answerAll = (): void => {
      const answer = {status: 200, headers: [], body: Buffer.from('done')};
      for (const resolve of answers.splice(0)) resolve({kind: 'answered', answer});
    };
    return {sent, port, answerAll, uploadMemory};
  }

  it('refuses an upload whose stated length is above the limit with 413, before it is read', async () => {
    const {sent, port} = await startUploads();
    const caller = await connectCaller(disposables, port);
    caller.socket.write(requestHead('unsafe', 'large', `Content-Length: ${2 * MB}\r\n`));
    await waitFor(() => caller.received !== '');
    assert.match(caller.received, /^HTTP\/1.1 413/);
    assert.deepEqual(sent, []);
  });

  it('refuses an offer whose body does not fit, so that the body is never sent', async () => {
    const uploadMemory = new UploadMemory({processBytes: 5 * MB, heldBytes: () => 0});
    let cancelled = 0;
    const reservation = {cancel: () => (cancelled += 1)};
    const admissionController = {load: undefined, admit: () => Promise.resolve(reservation)};
    const listener = await startOfferListener({
      host: '127.0.0.1',
      port: 0,
      admissionController: admissionController as unknown as AdmissionController,
      logger: silentLogger,
      lagMs: () => 0,
      uploadMemory,
    });
    disposables.add(() => listener.close());
    const peers = disposables.use(createPeerClient({logger: silentLogger}), (p) => p.close());
    const result = await peers.run({
      address: listener.address,
      offer: OFFER,
      frame: {method: 'POST', path: '/', headers: [], body: Buffer.alloc(2 * MB)},
      idempotent: false,
      signal: new AbortController().signal,
    });
    assert.deepEqual(
      [result.kind, result.kind === 'refused' && result.code, cancelled],
      ['refused', 'OVERLOADED', 1],
    );
    assert.equal(uploadMemory.usedBytes, 0);
  });

  for (const [name, header, encode] of [
    ['a stated length', `Content-Length: ${BODY_BYTES}\r\n`, (body: string) => body],
    [
      'chunks',
      'Transfer-Encoding: chunked\r\n',
      (body: string) => `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
    ],
  ] as const) {
    it(`refuses an upload with ${name} that does not fit, and keeps its connection`, async () => {
      const {sent, port, answerAll, uploadMemory} = await startUploads();
      const body = encode('x'.repeat(BODY_BYTES));
      const first = await connectCaller(disposables, port);
      first.socket.write(requestHead('unsafe', 'first', header) + body);
      await waitFor(() => sent.length === 1);
      const second = await connectCaller(disposables, port);
      second.socket.write(requestHead('unsafe', 'second', header) + body);
      await waitFor(() => second.received !== '');
      assert.match(second.received, /^HTTP\/1.1 503/);
      answerAll();
      await waitFor(() => first.received !== '');
      assert.match(first.received, /^HTTP\/1.1 200/);
      assert.equal(uploadMemory.usedBytes, 0);
      second.socket.write(requestHead('unsafe', 'third', header) + body);
      await waitFor(() => sent.length === 2);
      answerAll();
      await waitFor(() => /HTTP\/1.1 200/.test(second.received));
      assert.deepEqual(sent, ['first', 'third']);
      assert.equal(second.isClosed, false);
    });
  }
});
