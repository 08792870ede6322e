import {createHash, createPrivateKey, X509Certificate} from 'node:crypto';
import type {KeyObject} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import {MedlarlaneError} from '@medlarlane/errors';
import {systemClock} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';

const CERTIFICATE_PATTERN = /-----BEGIN CERTIFICATE-----[^-]+-----END CERTIFICATE-----/g;

/** Paths of the PEM files of a process. */
export interface TlsFiles {
  /** The certificate of this process, followed by intermediate certificates if there are any. */
  readonly certFile: string;
  readonly keyFile: string;
  /** The certificate authorities that this process trusts. */
  readonly caFile: string;
}

/** Validated contents of the files. */
export interface TlsMaterial {
  readonly cert: string;
  readonly key: string;
  readonly ca: string;
  /** Expiry time of the certificate of this process, in milliseconds since the Unix epoch. */
  readonly notAfterMs: number;
  /** SHA-256 over the contents of the three files; detects changes. */
  readonly digest: string;
}

export interface LoadTlsOptions {
  readonly clock?: Clock;
}

/**
 * Reads and validates the files.
 * @throws MedlarlaneError `SETTINGS_INVALID` whose `details.problems` lists each problem: a file
 * that cannot be read or parsed, a certificate that is expired or not yet valid, a key that does not
 * match the certificate, or an unknown issuer.
 */
export async function loadTlsMaterial(
  files: TlsFiles,
  opts: LoadTlsOptions = {},
): Promise<TlsMaterial> {
  const wallMs = (opts.clock ?? systemClock).wallMs();
  const problems: string[] = [];
  // Files are read sequentially, so that the problems are listed in a fixed order.
  const cert = await readText('certFile', files, problems);
  const key = await readText('keyFile', files, problems);
  const ca = await readText('caFile', files, problems);
  const leaf = problems.length === 0 ? checkMaterial({cert, key, ca}, wallMs, problems) : undefined;
  if (!leaf || problems.length > 0) {
    throw new MedlarlaneError('SETTINGS_INVALID', `TLS files: ${problems.join('; ')}`, {
      details: {problems, files},
    });
  }
  const digest = createHash('sha256').update([cert, key, ca].join('\n')).digest('hex');
  return {cert, key, ca, notAfterMs: Date.parse(leaf.validTo), digest};
}

async function readText(
  fileKey: keyof TlsFiles,
  files: TlsFiles,
  problems: string[],
): Promise<string> {
  try {
    return await readFile(files[fileKey], 'utf8');
  } catch (error) {
    problems.push(`${fileKey}: ${(error as Error).message}`);
    return '';
  }
}

function checkMaterial(
  text: {cert: string; key: string; ca: string},
  wallMs: number,
  problems: string[],
): X509Certificate | undefined {
  const chain = parseCertificates('certFile', text.cert, problems);
  const authorities = parseCertificates('caFile', text.ca, problems);
  const key = parseKey(text.key, problems);
  const [leaf, ...intermediates] = chain;
  if (!leaf || authorities.length === 0) return undefined;
  problems.push(...validityProblems('certFile', leaf, wallMs));
  if (key && !leaf.checkPrivateKey(key)) {
    problems.push('keyFile: the key does not belong to the certificate');
  }
  if (!isTrusted(leaf, intermediates, authorities, wallMs)) {
    problems.push('certFile: the certificate is not signed by a valid authority of caFile');
  }
  return leaf;
}

function parseCertificates(
  fileKey: keyof TlsFiles,
  text: string,
  problems: string[],
): X509Certificate[] {
  const blocks = text.match(CERTIFICATE_PATTERN) ?? [];
  if (blocks.length === 0) problems.push(`${fileKey}: the file holds no PEM certificate`);
  return blocks.flatMap((block) => {
    try {
      return [new X509Certificate(block)];
    } catch (error) {
      problems.push(`${fileKey}: ${(error as Error).message}`);
      return [];
    }
  });
}

function parseKey(text: string, problems: string[]): KeyObject | undefined {
  try {
    return createPrivateKey(text);
  } catch {
    // The parser's message is omitted, because it may contain parts of the key.
    problems.push('keyFile: the file holds no readable private key');
    return undefined;
  }
}

function validityProblems(fileKey: string, certificate: X509Certificate, wallMs: number): string[] {
  if (Date.parse(certificate.validTo) <= wallMs) {
    return [`${fileKey}: the certificate expired at ${certificate.validTo}`];
  }
  if (Date.parse(certificate.validFrom) > wallMs) {
    return [`${fileKey}: the certificate is not valid before ${certificate.validFrom}`];
  }
  return [];
}

/** Whether a chain of issuers through the intermediates, each used once, ends at an authority. */
function isTrusted(
  certificate: X509Certificate,
  intermediates: X509Certificate[],
  authorities: X509Certificate[],
  wallMs: number,
): boolean {
  const isIssuer = (issuer: X509Certificate): boolean =>
    issuer.ca &&
    certificate.checkIssued(issuer) &&
    certificate.verify(issuer.publicKey) &&
    validityProblems('', issuer, wallMs).length === 0;
  if (authorities.some(isIssuer)) return true;
  return intermediates.filter(isIssuer).some((issuer) =>
    isTrusted(
      issuer,
      intermediates.filter((other) => other !== issuer),
      authorities,
      wallMs,
    ),
  );
}
