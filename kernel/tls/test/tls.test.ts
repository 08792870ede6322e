import assert from 'node:assert/strict';
import {X509Certificate} from 'node:crypto';
import {once} from 'node:events';
import {copyFile, mkdtemp, rm} from 'node:fs/promises';
import http2 from 'node:http2';
import https from 'node:https';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import tls from 'node:tls';
import type {TLSSocket} from 'node:tls';
import {Agent, request} from 'undici';
import {MedlarlaneError} from '@medlarlane/errors';
import {issueTestCertificates} from '@medlarlane/test-support';
import type {TestCertificateOptions} from '@medlarlane/test-support';
import {createLogger} from '@medlarlane/logger';
import type {Logger} from '@medlarlane/logger';
import {clientTlsOptions, loadTlsMaterial, watchTlsMaterial} from '@medlarlane/tls';
import type {ClientTlsOptions, ServerTlsOptions, TlsFiles, TlsWatcher} from '@medlarlane/tls';

const TEST_OPTIONS = {timeout: 30_000};
const DAY_MS = 86_400_000;

const BROKEN: Record<string, [problem: RegExp, files: (folder: string) => Promise<TlsFiles>]> = {
  'an expired certificate': [
    /certFile: the certificate expired/,
    (folder) => issueOne(folder, {validFromMs: -DAY_MS, validToMs: -1000}),
  ],
  'a certificate that is not yet valid': [
    /not valid before/,
    (folder) => issueOne(folder, {validFromMs: 60_000}),
  ],
  "another certificate's key": [
    /keyFile: the key does not belong/,
    async (folder) => {
      const {keyFile} = await issueOne(path.join(folder, 'other'));
      return {...(await issueOne(folder)), keyFile};
    },
  ],
  'another authority of the same name': [
    /not signed by a valid authority/,
    async (folder) => {
      const {caFile} = await issueOne(path.join(folder, 'other'));
      return {...(await issueOne(folder)), caFile};
    },
  ],
  'a server certificate as authority': [
    /not signed by a valid authority/,
    async (folder) => {
      const files = await issueOne(folder);
      return {...files, caFile: files.certFile};
    },
  ],
  'a key file without a key': [
    /keyFile: the file holds no readable private key/,
    async (folder) => {
      const files = await issueOne(folder);
      return {...files, keyFile: files.certFile};
    },
  ],
  'missing files': [
    /certFile: ENOENT.*keyFile: ENOENT.*caFile: ENOENT/,
    async () => ({certFile: '/missing/a', keyFile: '/missing/b', caFile: '/missing/c'}),
  ],
};

for (const [name, [problem, files]] of Object.entries(BROKEN)) {
  test(`Loading ${name} fails and reports the problem`, TEST_OPTIONS, async (t) => {
    const broken = await files(await createFolder(t));
    await assert.rejects(loadTlsMaterial(broken), (error) => {
      assert.ok(error instanceof MedlarlaneError);
      assert.equal(error.code, 'SETTINGS_INVALID');
      assert.match((error.details['problems'] as string[]).join(' '), problem);
      return true;
    });
  });
}

interface LiveServer {
  port: number;
  /** Opens a connection, which sends a request on each `call`. */
  connect(options: Partial<ClientTlsOptions>): Promise<LiveConnection>;
}

interface LiveConnection {
  /** Sends a request and returns the serial number of the server's certificate. */
  call(): Promise<string>;
  close(): void;
}

const SERVERS: Record<
  string,
  (t: TestContext, watcher: TlsWatcher, options: ServerTlsOptions) => Promise<LiveServer>
> = {
  'HTTP/1.1': startHttp1,
  'HTTP/2': startHttp2,
};

for (const [protocol, start] of Object.entries(SERVERS)) {
  test(
    `Certificate rotation on a running ${protocol} server keeps open connections`,
    TEST_OPTIONS,
    async (t) => {
      const {folder, files, watcher} = await startWatcher(t);
      const server = await start(t, watcher, watcher.serverTlsOptions());
      const oldSerial = serialOf(watcher.material.cert);
      const old = await server.connect(watcher.clientTlsOptions());
      assert.equal(await old.call(), oldSerial);

      const replacement = await issueOne(path.join(folder, 'new'));
      await install(replacement, files);
      assert.equal(await watcher.reload(), true);
      const newSerial = serialOf(watcher.material.cert);
      assert.notEqual(newSerial, oldSerial);
      const fresh = await server.connect(watcher.clientTlsOptions());
      assert.equal(await fresh.call(), newSerial);
      assert.equal(await old.call(), oldSerial);
      old.close();
      fresh.close();
    },
  );

  test(
    `A ${protocol} server rejects clients without a trusted certificate`,
    TEST_OPTIONS,
    async (t) => {
      const {folder, files, watcher} = await startWatcher(t);
      const server = await start(t, watcher, watcher.serverTlsOptions());
      const call = async (options: Partial<ClientTlsOptions>): Promise<string> => {
        const connection = await server.connect(options);
        return connection.call().finally(() => connection.close());
      };
      const {ca} = watcher.material;
      await assert.rejects(call({ca}), 'a client without a certificate');
      const other = await issueOne(path.join(folder, 'other'));
      const untrusted = clientTlsOptions(await loadTlsMaterial(other));
      await assert.rejects(call({...untrusted, ca}), 'a client of another authority');
      await assert.rejects(call(untrusted), 'a client that does not trust the server');
      assert.equal(await call(watcher.clientTlsOptions()), serialOf(watcher.material.cert));

      // After the authority is replaced, clients with its certificates are rejected too.
      const former = watcher.clientTlsOptions();
      await install(other, files);
      await watcher.reload();
      await assert.rejects(
        call({...former, ca: watcher.material.ca}),
        'a client of the old authority',
      );
    },
  );
}

test('A connector of undici uses new material after a reload', TEST_OPTIONS, async (t) => {
  const {folder, files, watcher} = await startWatcher(t);
  const server = await startHttp1(t, watcher, watcher.serverTlsOptions());
  const connect = watcher.clientConnector();
  const call = async (): Promise<string> => {
    const agent = new Agent({connect});
    t.after(() => agent.destroy());
    const response = await request(`https://127.0.0.1:${server.port}/`, {dispatcher: agent});
    return response.body.text();
  };
  assert.equal(await call(), 'served');
  // The authority is replaced as well, so a handshake with the old material would fail.
  const replacement = await issueOne(path.join(folder, 'new'));
  await install(replacement, files);
  await watcher.reload();
  assert.equal(await call(), 'served');
});

test(
  'Invalid new files are logged once, leave the old material in use and can be repaired',
  TEST_OPTIONS,
  async (t) => {
    const lines: string[] = [];
    const logger = createLogger();
    logger.error = ((_fields: object, message: string) =>
      lines.push(message)) as unknown as Logger['error'];
    logger.child = (() => logger) as unknown as Logger['child'];
    const {folder, files, watcher} = await startWatcher(t, logger);
    const before = watcher.material;
    const replacement = await issueOne(path.join(folder, 'new'));
    await copyFile(replacement.certFile, files.certFile);
    assert.equal(await watcher.reload(), false);
    assert.equal(await watcher.reload(), false);
    assert.equal(watcher.material, before);
    assert.equal(lines.length, 1);
    await install(replacement, files);
    assert.equal(await watcher.reload(), true);
  },
);

async function startWatcher(
  t: TestContext,
  logger?: Logger,
): Promise<{folder: string; files: TlsFiles; watcher: TlsWatcher}> {
  const folder = await createFolder(t);
  const files = await issueOne(folder);
  const watcher = await watchTlsMaterial(files, logger ? {logger} : {});
  t.after(() => watcher.close());
  return {folder, files, watcher};
}

async function startHttp1(
  t: TestContext,
  watcher: TlsWatcher,
  options: ServerTlsOptions,
): Promise<LiveServer> {
  const server = https.createServer(options, (_request, response) => response.end('served'));
  const port = await listen(t, watcher, server);
  t.after(() => server.closeAllConnections());
  return {
    port,
    connect: async (clientOptions) => {
      const agent = new https.Agent({keepAlive: true, maxSockets: 1, ...clientOptions});
      return {
        call: () =>
          new Promise((resolve, reject) => {
            const call = https.get({host: '127.0.0.1', port, agent}, (response) => {
              const serial = serialOfPeer(response.socket, response.socket as TLSSocket);
              response.resume().once('end', () => resolve(serial));
            });
            call.once('error', reject);
          }),
        close: () => agent.destroy(),
      };
    },
  };
}

async function startHttp2(
  t: TestContext,
  watcher: TlsWatcher,
  options: ServerTlsOptions,
): Promise<LiveServer> {
  const server = http2.createSecureServer(options);
  server.on('stream', (stream) => {
    stream.respond({':status': 200});
    stream.end('served');
  });
  server.on('sessionError', () => undefined);
  const port = await listen(t, watcher, server);
  return {
    port,
    connect: async (clientOptions) => {
      const session = http2.connect(`https://127.0.0.1:${port}`, clientOptions);
      let failure: unknown;
      session.on('error', (error) => (failure = error));
      t.after(() => session.destroy());
      return {
        call: async () => {
          const stream = session.request({':path': '/'});
          stream.resume();
          // A rejected session may close its streams without a stream error.
          const status = await new Promise<number | undefined>((resolve, reject) => {
            stream.once('error', reject);
            stream.once('response', (headers) => resolve(headers[':status']));
            stream.once('close', () => resolve(undefined));
          });
          if (status !== 200) throw failure ?? new Error('The stream closed without a response');
          return serialOfPeer(session, session.socket as TLSSocket);
        },
        close: () => session.destroy(),
      };
    },
  };
}

async function listen(t: TestContext, watcher: TlsWatcher, server: tls.Server): Promise<number> {
  watcher.attachServer(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.after(() => server.close());
  return (server.address() as AddressInfo).port;
}

async function createFolder(t: TestContext): Promise<string> {
  const folder = await mkdtemp(path.join(tmpdir(), 'medlarlane-tls-'));
  t.after(() => rm(folder, {recursive: true}));
  return folder;
}

async function install(from: TlsFiles, to: TlsFiles): Promise<void> {
  await copyFile(from.certFile, to.certFile);
  await copyFile(from.keyFile, to.keyFile);
  await copyFile(from.caFile, to.caFile);
}

async function issueOne(folder: string, opts?: TestCertificateOptions): Promise<TlsFiles> {
  const {daemon} = await issueTestCertificates(folder, ['daemon'], opts);
  assert.ok(daemon);
  return daemon;
}

function serialOf(pem: string): string {
  return new X509Certificate(pem).serialNumber;
}

/** Serial numbers by connection, because Node.js returns the peer's certificate only once. */
const serials = new WeakMap<object, string>();

function serialOfPeer(connection: object, socket: TLSSocket): string {
  const serial = serials.get(connection) ?? socket.getPeerX509Certificate()?.serialNumber;
  assert.ok(serial);
  serials.set(connection, serial);
  return serial;
}
