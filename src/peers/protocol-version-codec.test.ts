/** Tests that the agreed protocol version converts to and from its exact stored form. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { readProtocolVersion, writeProtocolVersion } from './protocol-version-codec.js';

test('protocol version codec: stored text and back', () => {
  assert.equal(JSON.stringify(writeProtocolVersion(2)), '{"v":2}');
  assert.equal(readProtocolVersion({ v: 2, later: 1 }), 2);
});
