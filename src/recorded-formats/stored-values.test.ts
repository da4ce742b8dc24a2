import assert from 'node:assert/strict';
import { test } from 'node:test';
import { compareWithFixture, readFixture } from './fixtures.js';
import { recordStoredValues, reencode } from './stored-values.js';

compareWithFixture('stored-values', recordStoredValues);

const stored = readFixture('stored-values');
const again = reencode(stored);
test('stored-values: every kind that a codec reads is read', () =>
  assert.ok(Object.keys(again).length > 20, String(Object.keys(again).length)));
for (const [name, value] of Object.entries(again)) {
  test(`stored-values: ${name}, read and written again`, () =>
    assert.equal(JSON.stringify(value), JSON.stringify(stored[name])));
}
