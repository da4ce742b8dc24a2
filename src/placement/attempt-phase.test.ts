/** Tests each event in each phase of an attempt. No phase follows `gone`. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { TaskState } from '../workers/model.js';
import { nextPhase, type Phase, type PhaseEvent } from './attempt-phase.js';

const GONE: Phase = { _tag: 'gone', how: { _tag: 'absent' } };
const phases: readonly Phase[] = [
  { _tag: 'binding' },
  { _tag: 'bound' },
  { _tag: 'fetching' },
  { _tag: 'waiting' },
  { _tag: 'running' },
  { _tag: 'saving' },
];
const reportOf = (state: TaskState): PhaseEvent => ({ _tag: 'reported', state });

const rows: readonly { readonly name: string; readonly event: PhaseEvent; readonly to: Phase['_tag'] }[] = [
  { name: 'reported fetching', event: reportOf({ _tag: 'fetching' }), to: 'fetching' },
  { name: 'reported waiting', event: reportOf({ _tag: 'waiting' }), to: 'waiting' },
  { name: 'reported running', event: reportOf({ _tag: 'running' }), to: 'running' },
  { name: 'reported saving', event: reportOf({ _tag: 'saving' }), to: 'saving' },
  { name: 'reported exited', event: reportOf({ _tag: 'exited', cause: 'done', saved: true }), to: 'gone' },
  { name: 'lost', event: { _tag: 'lost', how: { _tag: 'leaseOver' } }, to: 'gone' },
];
const DURABLE: PhaseEvent = { _tag: 'durable' };

for (const phase of phases) {
  for (const { name, event, to } of rows)
    test(`attempt: ${name} at ${phase._tag} leads to ${to}`, () => {
      assert.equal(nextPhase(phase, event)._tag, to);
    });
  const to = phase._tag === 'binding' ? 'bound' : phase._tag;
  test(`attempt: durable at ${phase._tag} leads to ${to}`, () => {
    assert.equal(nextPhase(phase, DURABLE)._tag, to);
  });
}

for (const { name, event } of [...rows, { name: 'durable', event: DURABLE }])
  test(`attempt: ${name} changes nothing once the attempt is gone`, () => {
    assert.equal(nextPhase(GONE, event), GONE);
  });
