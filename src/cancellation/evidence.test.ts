/** Tests on which evidence a cancellation that became durable at revision 100 may be confirmed. */
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
  { name: 'the shard has no holder', claim: { _tag: 'unclaimed' }, evidence: none, by: 'unclaimed' },
  { name: 'the claim is later than the cancellation', claim: held(101), evidence: none, by: 'later claim' },
  // A holder that runs an earlier version answers workers without commands until it has read the shard's
  // runs. In an outage it cannot read them, and so continues to answer without commands.
  {
    name: 'the claim is later than the cancellation, and the holder runs an earlier version',
    claim: held(101),
    evidence: { ...none, stopsTasksBeforeLoading: false },
    by: null,
  },
  {
    name: 'the claim is earlier than the cancellation, and there is no other evidence',
    claim: held(50),
    evidence: none,
    by: null,
  },
  {
    name: 'the holder acknowledged the cancellation',
    claim: held(50),
    evidence: { ...none, acknowledged: { claim: 50 } },
    by: 'acknowledged',
  },
  {
    name: 'an acknowledgement under a claim that has ended',
    claim: held(50),
    evidence: { ...none, acknowledged: { claim: 40 } },
    by: null,
  },
  {
    name: 'the summary of the holder shows the revision of the cancellation',
    claim: held(50),
    evidence: { ...none, summary: { claim: 50, revision: 100 }, stopsTasksBeforeLoading: false },
    by: 'summary',
  },
  {
    name: 'the summary of the holder shows an earlier revision',
    claim: held(50),
    evidence: { ...none, summary: { claim: 50, revision: 99 } },
    by: null,
  },
  {
    name: 'a summary of the previous holder',
    claim: held(50),
    evidence: { ...none, summary: { claim: 40, revision: 200 } },
    by: null,
  },
  {
    name: 'a durable acknowledgement of the holder, where controllers cannot connect to each other',
    claim: held(50),
    evidence: { ...none, durableAcknowledgement: { claim: 50, revision: 120 } },
    by: 'durable acknowledgement',
  },
  {
    name: 'a durable acknowledgement of the previous holder',
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
