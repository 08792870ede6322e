import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {test} from 'node:test';
import {promisify} from 'node:util';
import {Ajv2020} from 'ajv/dist/2020.js';
import type {ValidateFunction} from 'ajv/dist/2020.js';
import {parse} from 'yaml';
import {parseServiceDocument} from '@medlarlane/admin-api';

const ROOT = path.resolve(import.meta.dirname, '../../../..');
const EXAMPLES = path.join(ROOT, 'examples');

for (const script of ['generateSchema.mjs', 'generateErrors.mjs']) {
  test(`The output of ${script} is up to date`, async () => {
    const file = path.join(ROOT, 'scripts', script);
    await promisify(execFile)(process.execPath, [file, '--check']);
  });
}

test('The six example documents match the published JSON schema and the Zod schema', async () => {
  const validate = await compileSchema();
  const files = await readdir(EXAMPLES, {recursive: true});
  const documents = files.filter((file) => file.endsWith('.yaml')).sort();
  assert.equal(documents.length, 6);
  for (const file of documents) {
    const document: unknown = parse(await readFile(path.join(EXAMPLES, file), 'utf8'));
    assert.ok(validate(document), `${file}: ${JSON.stringify(validate.errors)}`);
    assert.equal(`${parseServiceDocument(document).service}.yaml`, file);
  }
});

test('The published schema rejects the same documents as the Zod schema', async () => {
  const validate = await compileSchema();
  const withoutKey = {
    service: 'tharangam/permit-desk',
    splitByKey: true,
    targets: {slots: 14, connections: 120},
  };
  const valid = {...withoutKey, key: {from: 'path', segment: 1}};
  const broken = [
    withoutKey,
    {...valid, targets: {...valid.targets, loadPath: 'load'}},
    {...valid, splitByKey: false},
    {...valid, extra: 1},
    {...valid, service: 'permit-desk'},
    {...valid, targets: {slots: 0, connections: 120}},
    {...valid, key: {from: 'path', segment: 1, name: 'x'}},
  ];
  assert.ok(validate(valid));
  for (const document of broken) {
    assert.equal(validate(document), false, JSON.stringify(document));
    assert.throws(() => parseServiceDocument(document), {code: 'DOCUMENT_INVALID'});
  }
});

async function compileSchema(): Promise<ValidateFunction> {
  const file = path.join(ROOT, 'docs/schema/service-document.schema.json');
  return new Ajv2020().compile(JSON.parse(await readFile(file, 'utf8')) as object);
}
