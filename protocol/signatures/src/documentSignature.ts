import {
  createHash,
  createPrivateKey,
  createPublicKey,
  generateKeyPairSync,
  sign,
  verify,
} from 'node:crypto';
import type {KeyObject} from 'node:crypto';
import {MedlarlaneError} from '@medlarlane/errors';
import {signedText} from '@medlarlane/model';

/** An Ed25519 key pair of a team. */
export interface TeamKey {
  /** PKCS #8, PEM. */
  readonly privateKeyPem: string;
  /** SPKI, PEM. */
  readonly publicKeyPem: string;
}

/** The fields of an `applyDocument` command that a team signs. */
export interface DocumentChange {
  readonly service: string;
  readonly baseRevision: number;
  readonly changeId: string;
  /** JSON text of the document, byte for byte as sent. */
  readonly documentJson: string;
}

export interface SignedDocumentChange extends DocumentChange {
  /** Base64 of the 64-byte signature. */
  readonly signature: string;
}

// Buffer.from ignores invalid base64 characters, so that one signature would have many encodings.
const SIGNATURE_PATTERN = /^[A-Za-z0-9+/]{86}==$/;

export function generateTeamKey(): TeamKey {
  const {privateKey, publicKey} = generateKeyPairSync('ed25519');
  return {privateKeyPem: exportPrivateKey(privateKey), publicKeyPem: exportPublicKey(publicKey)};
}

/**
 * Signs a document change and returns the signature, base64.
 * @throws MedlarlaneError `REQUEST_INVALID` when the key is not an Ed25519 private key.
 */
export function signDocumentChange(change: DocumentChange, privateKeyPem: string): string {
  return sign(null, signedBytes(change), readPrivateKey(privateKeyPem)).toString('base64');
}

/**
 * Whether the signature was made over this change with the private key that belongs to
 * `publicKeyPem`. Deterministic and does not throw, so that every replica reaches the same result.
 */
export function verifyDocumentChange(change: SignedDocumentChange, publicKeyPem: string): boolean {
  if (!SIGNATURE_PATTERN.test(change.signature)) return false;
  const key = readPublicKey(publicKeyPem);
  if (!key) return false;
  return verify(null, signedBytes(change), key, Buffer.from(change.signature, 'base64'));
}

/**
 * Returns the public key (SPKI PEM) that belongs to a private key.
 * @throws MedlarlaneError `REQUEST_INVALID` when the key is not an Ed25519 private key.
 */
export function derivePublicKey(privateKeyPem: string): string {
  return exportPublicKey(createPublicKey(readPrivateKey(privateKeyPem)));
}

/** Whether `pem` is an Ed25519 public key (SPKI PEM), which claiming a team requires. */
export function isTeamPublicKey(pem: string): boolean {
  return readPublicKey(pem) !== undefined;
}

function signedBytes({service, baseRevision, changeId, documentJson}: DocumentChange): Buffer {
  const documentSha256 = createHash('sha256').update(documentJson, 'utf8').digest('hex');
  return Buffer.from(signedText({service, baseRevision, changeId, documentSha256}), 'utf8');
}

function readPrivateKey(pem: string): KeyObject {
  let key: KeyObject;
  try {
    key = createPrivateKey(pem);
  } catch (cause) {
    throw new MedlarlaneError('REQUEST_INVALID', 'Key is not a private key in PEM', {cause});
  }
  if (key.asymmetricKeyType === 'ed25519') return key;
  throw new MedlarlaneError('REQUEST_INVALID', 'Private key is not an Ed25519 key');
}

function readPublicKey(pem: string): KeyObject | undefined {
  // createPublicKey also accepts a private key, which must never be stored as a team's key.
  if (!pem.trimStart().startsWith('-----BEGIN PUBLIC KEY-----')) return undefined;
  try {
    const key = createPublicKey(pem);
    return key.asymmetricKeyType === 'ed25519' ? key : undefined;
  } catch {
    return undefined;
  }
}

function exportPrivateKey(key: KeyObject): string {
  return key.export({type: 'pkcs8', format: 'pem'}).toString();
}

function exportPublicKey(key: KeyObject): string {
  return key.export({type: 'spki', format: 'pem'}).toString();
}
