/**
 * Tests which token a machine's worker is named. Guards against a raised token that the next holder of the
 * shard or the machine would not exceed: the worker would then refuse that holder for good.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { machineRecord } from '../testing/bodies.js';
import type { DirectRun } from './shard-model.js';
import { createMachine } from './shard-model-factories.js';
import { WorkerTokens } from './worker-tokens.js';

const CLAIM = 50;
const NO_RESOURCES = { cpus: 0, gpus: 0, memoryGb: 0 };

const cases: readonly {
  readonly name: string;
  readonly recordRevision: number;
  readonly appliedRevision: number;
  readonly raisedToken?: number;
  readonly outcome?: DirectRun['outcome'];
  readonly current: number;
  readonly highest: number;
}[] = [
  {
    name: 'the claim is later than the record of the machine',
    recordRevision: 40,
    appliedRevision: 50,
    current: CLAIM,
    highest: CLAIM,
  },
  {
    name: 'the record of the machine is later than the claim',
    recordRevision: 60,
    appliedRevision: 60,
    current: 60,
    highest: 60,
  },
  {
    name: 'the copy of the shared keys is behind the claim or not loaded',
    recordRevision: 40,
    appliedRevision: -1,
    current: CLAIM,
    highest: CLAIM,
  },
  {
    name: 'up to the revision that the copy of the shared keys has reached, and no further',
    recordRevision: 40,
    appliedRevision: 75,
    current: CLAIM,
    highest: 75,
  },
  {
    name: 'a raised token is never lowered',
    recordRevision: 40,
    appliedRevision: 60,
    raisedToken: 70,
    current: 70,
    highest: 70,
  },
  {
    name: 'a new record exceeds every token that was raised before',
    recordRevision: 80,
    appliedRevision: 80,
    raisedToken: 70,
    current: 80,
    highest: 80,
  },
  {
    name: 'not while the answer to a direct run is awaited',
    recordRevision: 40,
    appliedRevision: 75,
    outcome: 'pending',
    current: CLAIM,
    highest: CLAIM,
  },
  {
    name: 'also after a direct run without an answer',
    recordRevision: 40,
    appliedRevision: 75,
    outcome: 'unanswered',
    current: CLAIM,
    highest: 75,
  },
];
for (const { name, recordRevision, appliedRevision, raisedToken, outcome, current, highest } of cases) {
  test(`tokens for workers: ${name}`, () => {
    const machine = createMachine('i-1', machineRecord(), recordRevision, NO_RESOURCES, 0);
    machine.raisedToken = raisedToken ?? 0;
    if (outcome) machine.directRuns.set('job-1/0#1', { token: CLAIM, agentEpoch: 1, outcome });
    const tokens = new WorkerTokens({ claim: CLAIM, appliedRevision: () => appliedRevision });
    assert.equal(tokens.current(machine), current);
    assert.equal(tokens.highest(machine), highest);
    assert.equal(tokens.isOfThisHolder(Math.max(CLAIM, recordRevision), machine), true);
    assert.equal(tokens.isOfThisHolder(Math.max(CLAIM, recordRevision) - 1, machine), false);
  });
}
