import assert from 'node:assert/strict';
import {test} from 'node:test';
import {fromProblemDocument, MedlarlaneError, toProblemDocument} from '@medlarlane/errors';

test('An error keeps its code, details and ran through a problem document', () => {
  const error = new MedlarlaneError('NOT_OWNER', 'Key moved', {details: {owner: 'a:1'}});
  const rebuilt = fromProblemDocument(JSON.parse(JSON.stringify(toProblemDocument(error))));
  assert.equal(rebuilt?.code, 'NOT_OWNER');
  assert.equal(rebuilt?.ran, 'no');
  assert.deepEqual(rebuilt?.details, {owner: 'a:1'});
});

test('A document with an unknown code is not taken for an error of the closed list', () => {
  assert.equal(fromProblemDocument({code: 'NEW_CODE', detail: 'x'}), undefined);
});
