import assert from 'node:assert/strict';
import {copyFile, mkdtemp, rm, writeFile} from 'node:fs/promises';
import {connect} from 'node:http2';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {issueTestCertificates} from '@medlarlane/test-support';
import {KEYS, SERVICE, startScenario} from '@medlarlane/fault-tables';
import {eventually, startTraffic} from '@medlarlane/fixtures';

test('A system with mutual TLS serves requests, rejects unauthenticated clients and keeps serving during a certificate rotation', async () => {
  const folder = await mkdtemp(path.join(tmpdir(), 'medlarlane-tls-'));
  const {daemon: files, next} = await issueTestCertificates(folder, ['daemon', 'next']);
  assert.ok(files && next);
  const tokenFile = path.join(folder, 'token');
  await writeFile(tokenFile, 'operator-token\n');
  const scenario = await startScenario({
    insecure: false,
    adminToken: 'operator-token',
    flags: [
      `--tls-cert=${files.certFile}`,
      `--tls-key=${files.keyFile}`,
      `--tls-ca=${files.caFile}`,
      `--admin-token-file=${tokenFile}`,
    ],
  });
  try {
    await assert.rejects(openWithoutCertificate(scenario.cluster.controlPorts[0]!));
    const withoutToken = await request(`http://${scenario.admin}/v1/drain`, {
      method: 'POST',
      body: JSON.stringify({instanceId: 'server-0'}),
    });
    assert.equal(withoutToken.statusCode, 401);

    const traffic = startTraffic({
      service: SERVICE,
      entryAddresses: () => scenario.entryAddresses(),
      keys: KEYS,
    });
    await delay(300);
    await copyFile(next.certFile, files.certFile);
    await copyFile(next.keyFile, files.keyFile);
    await eventually('every daemon to use the new certificate', () =>
      scenario.servers.every(({daemon}) =>
        daemon.errorLines().some((line) => line.includes('Certificate replaced')),
      ),
    );
    await delay(1000);
    const records = await traffic.stop();
    assert.deepEqual(
      records.filter(({status}) => status !== 200),
      [],
    );
  } finally {
    await scenario.dispose();
    await rm(folder, {recursive: true, force: true});
  }
});

/** Resolves when the control listener accepts a client without a certificate. */
async function openWithoutCertificate(port: number): Promise<void> {
  const session = connect(`https://127.0.0.1:${port}`, {rejectUnauthorized: false});
  try {
    await new Promise((resolve, reject) => {
      session.once('error', reject);
      session.once('close', () => reject(new Error('Connection closed')));
      session.ping((failure) => (failure ? reject(failure) : resolve(undefined)));
    });
  } finally {
    session.destroy();
  }
}
