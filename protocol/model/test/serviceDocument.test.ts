import assert from 'node:assert/strict';
import {test} from 'node:test';
import {MedlarlaneError} from '@medlarlane/errors';
import {commandSchema, decodeValue, encodeValue, serviceDocumentSchema} from '@medlarlane/model';

test('A minimal document receives the defaults of every optional field', () => {
  const document = serviceDocumentSchema.parse({
    service: 'prairie-crag/setlog',
    splitByKey: false,
    targets: {slots: 18, connections: 120},
  });
  assert.equal(document.targets.probe.path, '/healthz');
  assert.equal(document.requests.requireIdempotencyKey, true);
});

test('A damaged command is refused with an error and not passed on', () => {
  const bytes = encodeValue({kind: 'drainSession', sessionId: 7});
  assert.throws(
    () => decodeValue(commandSchema, bytes.subarray(0, bytes.length - 1)),
    (error) => error instanceof MedlarlaneError && error.code === 'REQUEST_INVALID',
  );
  assert.throws(() => decodeValue(commandSchema, encodeValue({kind: 'drainSession'})));
});
