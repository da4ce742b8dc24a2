/** The clock counts the time for which its host stood still, and never runs behind the steady clock. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SuspensionAwareClock } from './clock.js';

const ERROR_MS = 25;

interface Step {
  /** ms that pass on either clock before the next reading. */
  readonly steady: number;
  readonly timeOfDay: number;
}

const passed = (steps: readonly Step[]): { readonly ms: number; readonly gaps: readonly number[] } => {
  let steady = 1_000;
  let timeOfDay = 1_700_000_000_000;
  const gaps: number[] = [];
  const clock = new SuspensionAwareClock(
    { steady: () => steady, timeOfDay: () => timeOfDay, timeOfDayErrorMs: ERROR_MS },
    (gapMs) => gaps.push(gapMs),
  );
  const from = clock.now();
  for (const step of steps) {
    steady += step.steady;
    timeOfDay += step.timeOfDay;
    clock.now();
  }
  return { ms: clock.now() - from, gaps };
};

const repeat = (count: number, step: Step): readonly Step[] => Array.from({ length: count }, () => step);

const rows: readonly { name: string; steps: readonly Step[]; ms: number; gaps: number }[] = [
  { name: 'both go on', steps: repeat(10, { steady: 100, timeOfDay: 100 }), ms: 1_000, gaps: 0 },
  { name: 'the host is suspended', steps: [{ steady: 1, timeOfDay: 8_001 }], ms: 8_001, gaps: 1 },
  { name: 'the process alone is stopped', steps: [{ steady: 8_000, timeOfDay: 8_000 }], ms: 8_000, gaps: 0 },
  {
    name: 'somebody sets the time forward',
    steps: [{ steady: 10, timeOfDay: 3_600_010 }],
    ms: 3_600_010,
    gaps: 1,
  },
  {
    name: 'somebody sets it back: nothing is gained',
    steps: [{ steady: 10, timeOfDay: -3_600_000 }],
    ms: 10,
    gaps: 0,
  },
  {
    name: 'set back, then suspended: the suspension still counts',
    steps: [
      { steady: 10, timeOfDay: -3_600_000 },
      { steady: 1, timeOfDay: 8_001 },
    ],
    ms: 8_011,
    gaps: 1,
  },
  {
    name: 'clocks that drift apart within their bounds make no gap in an hour',
    steps: repeat(3_600, { steady: 1_000.5, timeOfDay: 1_000 }),
    ms: 3_601_800,
    gaps: 0,
  },
  {
    name: 'nor the other way',
    steps: repeat(3_600, { steady: 1_000, timeOfDay: 1_000.5 }),
    ms: 3_600_000,
    gaps: 0,
  },
  {
    name: 'error of the time of day at both ends',
    steps: [{ steady: 100, timeOfDay: 150 }],
    ms: 100,
    gaps: 0,
  },
];
for (const row of rows) {
  test(`clock: ${row.name}`, () => {
    const result = passed(row.steps);
    assert.ok(Math.abs(result.ms - row.ms) < 1, `${result.ms} ms`);
    assert.equal(result.gaps.length, row.gaps);
  });
}
