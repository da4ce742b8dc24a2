/**
 * Tests which token a machine's worker is named. Guards against a raised token that the next holder of the
 * shard or the machine would not exceed: the worker would then refuse that holder for good.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { machineRecord } from '../testing/bodies.js';
import type { Command } from '../workers/model.js';
import { recordDirectRun } from './direct-runs.js';
import type { DirectRunOutcome, ShardMachine } from './shard-model.js';
import { createMachine } from './shard-model-factories.js';
import { WorkerTokens } from './worker-tokens.js';

const CLAIM = 50;
const NO_RESOURCES = { cpus: 0, gpus: 0, memoryGb: 0 };
const ATTEMPT = { job: 'job-1', index: 0, attempt: 3 };
const FORGET: Command = { _tag: 'forget', ...ATTEMPT };

interface Case {
  readonly name: string;
  readonly recordRevision: number;
  readonly appliedRevision: number;
  readonly raisedToken?: number;
  /** Outcome of another direct `run` on the machine. */
  readonly outcome?: DirectRunOutcome;
  readonly current: number;
  /** The token under which an attempt that a direct `run` started is forgotten; null: under none yet. */
  readonly raisedTo: number | null;
}

const machineOf = ({ recordRevision, raisedToken, outcome }: Case): ShardMachine => {
  const machine = createMachine('i-1', machineRecord(), recordRevision, NO_RESOURCES, 0);
  machine.raisedToken = raisedToken ?? 0;
  if (outcome) recordDirectRun(machine, { job: 'job-2', index: 0, attempt: 1 }, 1).outcome = outcome;
  return machine;
};

const cases: readonly Case[] = [
  {
    name: 'the claim is later than the record of the machine',
    recordRevision: 40,
    appliedRevision: 50,
    current: CLAIM,
    raisedTo: null,
  },
  {
    name: 'the record of the machine is later than the claim',
    recordRevision: 60,
    appliedRevision: 60,
    current: 60,
    raisedTo: null,
  },
  {
    name: 'the copy of the shared keys is behind the claim or not loaded',
    recordRevision: 40,
    appliedRevision: -1,
    current: CLAIM,
    raisedTo: null,
  },
  {
    name: 'to the revision that the copy of the shared keys has reached, and no further',
    recordRevision: 40,
    appliedRevision: 75,
    current: CLAIM,
    raisedTo: 75,
  },
  {
    name: 'a raised token is never lowered',
    recordRevision: 40,
    appliedRevision: 60,
    raisedToken: 70,
    current: 70,
    raisedTo: null,
  },
  {
    name: 'a new record exceeds every token that was raised before',
    recordRevision: 80,
    appliedRevision: 80,
    raisedToken: 70,
    current: 80,
    raisedTo: null,
  },
  {
    name: 'not while the answer to a direct run is awaited',
    recordRevision: 40,
    appliedRevision: 75,
    outcome: 'pending',
    current: CLAIM,
    raisedTo: null,
  },
  {
    name: 'also after a direct run without an answer',
    recordRevision: 40,
    appliedRevision: 75,
    outcome: 'unanswered',
    current: CLAIM,
    raisedTo: 75,
  },
];
for (const row of cases) {
  test(`tokens for workers: ${row.name}`, () => {
    const machine = machineOf(row);
    const tokens = new WorkerTokens({ claim: CLAIM, appliedRevision: () => row.appliedRevision });
    assert.equal(tokens.current(machine), row.current);
    assert.equal(tokens.canFence(machine, FORGET), true, 'no direct run started the attempt');
    assert.equal(tokens.raiseFor(machine, [FORGET]), row.current);
    recordDirectRun(machine, ATTEMPT, row.current).outcome = 'executed';
    assert.equal(tokens.canFence(machine, FORGET), row.raisedTo !== null);
    if (row.raisedTo !== null) assert.equal(tokens.raiseFor(machine, [FORGET]), row.raisedTo);
    assert.equal(tokens.current(machine), row.raisedTo ?? row.current);
    const first = Math.max(CLAIM, row.recordRevision);
    assert.equal(tokens.isOfThisHolder(first, machine), true);
    assert.equal(tokens.isOfThisHolder(first - 1, machine), false);
  });
}

const commands: readonly { readonly name: string; readonly command: Command; readonly fenced: boolean }[] = [
  { name: 'forgetting the attempt', command: FORGET, fenced: false },
  { name: 'starting another attempt', command: { _tag: 'run', ...ATTEMPT, attempt: 4 }, fenced: false },
  { name: 'starting the attempt itself', command: { _tag: 'run', ...ATTEMPT }, fenced: true },
  { name: 'starting another task', command: { _tag: 'run', ...ATTEMPT, index: 1 }, fenced: true },
  { name: 'stopping the attempt', command: { _tag: 'stop', ...ATTEMPT, graceS: 0 }, fenced: true },
  { name: 'forgetting another attempt', command: { ...FORGET, attempt: 2 }, fenced: true },
];
for (const { name, command, fenced } of commands) {
  test(`tokens for workers: ${name} ${fenced ? 'needs no' : 'needs a'} higher token`, () => {
    const machine = createMachine('i-1', machineRecord(), 40, NO_RESOURCES, 0);
    const tokens = new WorkerTokens({ claim: CLAIM, appliedRevision: () => CLAIM });
    recordDirectRun(machine, ATTEMPT, CLAIM).outcome = 'executed';
    assert.equal(tokens.canFence(machine, command), fenced);
  });
}
