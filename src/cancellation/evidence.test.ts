/** On which evidence a cancellation that is durable at revision 100 may be confirmed. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { assessEvidence, type CancellationEvidence, type ConfirmedClaim } from './evidence.js';

const none: CancellationEvidence = {
  acknowledged: null,
  summary: null,
  durableAcknowledgement: null,
  stopsTasksBeforeLoading: true,
};
const held = (revision: number): ConfirmedClaim => ({ _tag: 'held', node: 'n1', revision });
const rows: readonly {
  name: string;
  claim: ConfirmedClaim;
  evidence: CancellationEvidence;
  by: string | null;
}[] = [
  { name: 'the claim could not be read', claim: { _tag: 'unknown' }, evidence: none, by: null },
  { name: 'nobody holds the shard', claim: { _tag: 'unclaimed' }, evidence: none, by: 'unclaimed' },
  { name: 'the holder came later', claim: held(101), evidence: none, by: 'later claim' },
  // It answers workers with nothing before it has read the shard's runs, and goes on like that in an outage.
  {
    name: 'the holder came later and is of an earlier version',
    claim: held(101),
    evidence: { ...none, stopsTasksBeforeLoading: false },
    by: null,
  },
  {
    name: 'the holder was there before, and nothing is known of it',
    claim: held(50),
    evidence: none,
    by: null,
  },
  {
    name: 'the holder acknowledged it',
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
    evidence: { ...none, summary: { claim: 50, revision: 100 }, stopsTasksBeforeLoading: false },
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
    name: 'its durable acknowledgement, where connections are refused',
    claim: held(50),
    evidence: { ...none, durableAcknowledgement: { claim: 50, revision: 120 } },
    by: 'durable acknowledgement',
  },
  {
    name: 'a durable acknowledgement of the holder before',
    claim: held(50),
    evidence: { ...none, durableAcknowledgement: { claim: 40, revision: 120 } },
    by: null,
  },
];
for (const row of rows) {
  test(`cancellation evidence: ${row.name}`, () => {
    const verdict = assessEvidence(100, row.claim, row.evidence);
    assert.equal(verdict._tag === 'confirmed' ? verdict.by : null, row.by);
  });
}
