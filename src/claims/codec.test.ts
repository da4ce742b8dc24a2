/** Tests the stored form of a claim. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { readClaim, writeClaim } from './codec.js';
import type { ClaimHolder, PeerStatus } from './claim-decisions.js';

const claim: ClaimHolder = { node: 'n1', incarnation: 'n1.7' };
const peer: PeerStatus = { ...claim, lease: 5, steadyMs: 1, storeReachable: true, workersUnreachable: false };

const rows: readonly { readonly name: string; readonly claim: ClaimHolder }[] = [
  { name: 'a claim', claim },
  { name: 'a claim handed over to a peer: no other field of the peer is stored', claim: peer },
];
for (const row of rows) {
  test(`claim codec: ${row.name}`, () =>
    assert.equal(JSON.stringify(writeClaim(row.claim)), '{"n":"n1","i":"n1.7"}'));
}

test('claim codec: reads a stored claim and ignores unknown fields', () =>
  assert.deepEqual(readClaim({ n: 'n1', i: 'n1.7', later: 1 }), claim));
