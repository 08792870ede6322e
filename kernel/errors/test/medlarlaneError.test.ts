import assert from 'node:assert/strict';
import {test} from 'node:test';
import {fromProblemDocument, MedlarlaneError, toProblemDocument} from '@medlarlane/errors';

test('A problem document preserves code, details and ran of an error', () => {
  const error = new MedlarlaneError('NOT_OWNER', 'Key moved', {details: {owner: 'a:1'}});
  const rebuilt = fromProblemDocument(JSON.parse(JSON.stringify(toProblemDocument(error))));
  assert.equal(rebuilt?.code, 'NOT_OWNER');
  assert.equal(rebuilt?.ran, 'no');
  assert.deepEqual(rebuilt?.details, {owner: 'a:1'});
});

test('A document with an unknown code is not converted to an error', () => {
  assert.equal(fromProblemDocument({code: 'NEW_CODE', detail: 'x'}), undefined);
});
