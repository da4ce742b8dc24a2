import assert from 'node:assert/strict';
import { test } from 'node:test';
import { compareWithFixture, readFixture } from './fixtures.js';
import { recordStoredValues, reencode } from './stored-values.js';

compareWithFixture('stored-values', recordStoredValues);

const stored = readFixture('stored-values');
const reencoded = reencode(stored);
test('stored-values: each kind that a codec decodes is encoded again', () =>
  assert.ok(Object.keys(reencoded).length > 20, String(Object.keys(reencoded).length)));
for (const [name, value] of Object.entries(reencoded)) {
  test(`stored-values: ${name}, read and written again`, () =>
    assert.equal(JSON.stringify(value), JSON.stringify(stored[name])));
}
