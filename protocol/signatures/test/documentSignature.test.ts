import assert from 'node:assert/strict';
import {generateKeyPairSync} from 'node:crypto';
import {test} from 'node:test';
import {MedlarlaneError} from '@medlarlane/errors';
import {
  derivePublicKey,
  generateTeamKey,
  isTeamPublicKey,
  signDocumentChange,
  verifyDocumentChange,
} from '@medlarlane/signatures';

const CHANGE = {
  service: 'tharangam/permit-desk',
  baseRevision: 7,
  changeId: '0193a1c0-0000-7000-8000-000000000001',
  documentJson: '{"service":"tharangam/permit-desk","splitByKey":false}',
};

test('A signed change verifies with the public key that belongs to the private key', () => {
  const key = generateTeamKey();
  const signature = signDocumentChange(CHANGE, key.privateKeyPem);
  assert.equal(derivePublicKey(key.privateKeyPem), key.publicKeyPem);
  assert.ok(verifyDocumentChange({...CHANGE, signature}, key.publicKeyPem));
});

const ALTERATIONS = {
  'a document that differs by one space': {documentJson: `${CHANGE.documentJson} `},
  'a replay with another base revision': {baseRevision: 8},
  'a replay under another change id': {changeId: '0193a1c0-0000-7000-8000-000000000002'},
  'a replay for another service of the team': {service: 'tharangam/fee-ledger'},
};

for (const [name, alteration] of Object.entries(ALTERATIONS)) {
  test(`The signature does not cover ${name}`, () => {
    const key = generateTeamKey();
    const signature = signDocumentChange(CHANGE, key.privateKeyPem);
    assert.equal(
      verifyDocumentChange({...CHANGE, ...alteration, signature}, key.publicKeyPem),
      false,
    );
  });
}

test("A signature with another team's key is invalid", () => {
  const signature = signDocumentChange(CHANGE, generateTeamKey().privateKeyPem);
  assert.equal(verifyDocumentChange({...CHANGE, signature}, generateTeamKey().publicKeyPem), false);
});

test('Verification with a malformed key or signature returns false and does not throw', () => {
  const key = generateTeamKey();
  const signature = signDocumentChange(CHANGE, key.privateKeyPem);
  const rsa = generateKeyPairSync('rsa', {modulusLength: 2048}).publicKey;
  const rsaPem = rsa.export({type: 'spki', format: 'pem'}).toString();
  assert.equal(verifyDocumentChange({...CHANGE, signature}, 'no key'), false);
  assert.equal(verifyDocumentChange({...CHANGE, signature}, rsaPem), false);
  for (const malformed of ['', 'AAAA', `${signature}\n`, signature.replace('==', '')]) {
    assert.equal(verifyDocumentChange({...CHANGE, signature: malformed}, key.publicKeyPem), false);
  }
});

test('A private key is not accepted as the public key of a claim', () => {
  const key = generateTeamKey();
  assert.ok(isTeamPublicKey(key.publicKeyPem));
  assert.equal(isTeamPublicKey(key.privateKeyPem), false);
});

test('Signing with a key that is not Ed25519 fails with REQUEST_INVALID', () => {
  const {privateKey} = generateKeyPairSync('ec', {namedCurve: 'P-256'});
  const pem = privateKey.export({type: 'pkcs8', format: 'pem'}).toString();
  for (const wrong of [pem, 'no key']) {
    assert.throws(
      () => signDocumentChange(CHANGE, wrong),
      (error) => error instanceof MedlarlaneError && error.code === 'REQUEST_INVALID',
    );
  }
});
