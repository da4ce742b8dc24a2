import assert from 'node:assert/strict';
import { test } from 'node:test';
import { readAcknowledgeRequest } from './codec.js';
import { assessEvidence, outageGraceUntil, type FreshClaim, type CancellationEvidence } from './evidence.js';

/** When a cancellation that is durable at revision 100 may be told. */
const none: CancellationEvidence = { acknowledged: null, summary: null, mark: null, understands: true };
const held = (version: number): FreshClaim => ({ _tag: 'held', node: 'n1', version });
const rows: readonly {
  name: string;
  claim: FreshClaim;
  evidence: CancellationEvidence;
  by: string | null;
}[] = [
  { name: 'the claim could not be read', claim: { _tag: 'unsure' }, evidence: none, by: null },
  { name: 'nobody holds the share', claim: { _tag: 'free' }, evidence: none, by: 'free' },
  { name: 'the holder came later', claim: held(101), evidence: none, by: 'later claim' },
  // It answers workers with nothing before it has read the share's runs, and rides out an outage like that.
  {
    name: 'the holder came later and is of an earlier version',
    claim: held(101),
    evidence: { ...none, understands: false },
    by: null,
  },
  { name: 'the holder was there before, and gave no sign', claim: held(50), evidence: none, by: null },
  {
    name: 'the holder has it in its book',
    claim: held(50),
    evidence: { ...none, acknowledged: { claim: 50 } },
    by: 'acknowledged',
  },
  {
    name: 'an acknowledgement under a claim that is over',
    claim: held(50),
    evidence: { ...none, acknowledged: { claim: 40 } },
    by: null,
  },
  {
    name: 'its summary shows a later revision',
    claim: held(50),
    evidence: { ...none, summary: { claim: 50, revision: 100 }, understands: false },
    by: 'summary',
  },
  {
    name: 'its summary is from before',
    claim: held(50),
    evidence: { ...none, summary: { claim: 50, revision: 99 } },
    by: null,
  },
  {
    name: 'a summary of the holder before',
    claim: held(50),
    evidence: { ...none, summary: { claim: 40, revision: 200 } },
    by: null,
  },
  {
    name: 'its durable mark, where connections are refused',
    claim: held(50),
    evidence: { ...none, mark: { claim: 50, revision: 120 } },
    by: 'mark',
  },
  {
    name: 'a mark of the holder before',
    claim: held(50),
    evidence: { ...none, mark: { claim: 40, revision: 120 } },
    by: null,
  },
];
for (const row of rows) {
  test(`assurance: ${row.name}`, () => {
    const mayConfirmCancellation = assessEvidence(100, row.claim, row.evidence);
    assert.equal(mayConfirmCancellation._tag === 'assured' ? mayConfirmCancellation.by : null, row.by);
  });
}

const rides: readonly { name: string; confirmed: boolean; nobodyTells: boolean; until: number | null }[] = [
  { name: 'no outage', confirmed: false, nobodyTells: true, until: null },
  // Read fresh at 1,000: what is told after that has 44 s, of which 24 are the workers' lease and 5 margin.
  {
    name: 'somebody may tell what the holder does not know',
    confirmed: true,
    nobodyTells: false,
    until: 16_000,
  },
  {
    name: 'everybody tells only what it has acknowledged',
    confirmed: true,
    nobodyTells: true,
    until: Number.POSITIVE_INFINITY,
  },
];
for (const row of rides) {
  test(`riding: ${row.name}`, () =>
    assert.equal(
      outageGraceUntil({ ...row, confirmedAt: 1_000, cancelMs: 44_000, leaseMs: 24_000, marginMs: 5_000 }),
      row.until,
    ));
}

test('assurance: what siblings send is checked', () => {
  assert.deepEqual(readAcknowledgeRequest([[1, 50, 'job-1', 100], [1, 'x', 'job-1', 100], 7, null]), [
    { shardId: 1, claim: 50, job: 'job-1', version: 100 },
  ]);
  assert.deepEqual(readAcknowledgeRequest(null), []);
});
