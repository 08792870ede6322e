import assert from 'node:assert/strict';
import {test} from 'node:test';
import {MedlarlaneError} from '@medlarlane/errors';
import {commandSchema, decodeValue, encodeValue, serviceDocumentSchema} from '@medlarlane/model';

test('Optional fields of a minimal document get their defaults', () => {
  const document = serviceDocumentSchema.parse({
    service: 'prairie-crag/setlog',
    splitByKey: false,
    targets: {slots: 18, connections: 120},
  });
  assert.equal(document.targets.probe.path, '/healthz');
  assert.equal(document.requests.requireIdempotencyKey, true);
});

test('Decoding a truncated or incomplete command fails with REQUEST_INVALID', () => {
  const bytes = encodeValue({kind: 'drainSession', sessionId: 7});
  assert.throws(
    () => decodeValue(commandSchema, bytes.subarray(0, bytes.length - 1)),
    (error) => error instanceof MedlarlaneError && error.code === 'REQUEST_INVALID',
  );
  assert.throws(() => decodeValue(commandSchema, encodeValue({kind: 'drainSession'})));
});
