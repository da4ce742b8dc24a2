/**
 * The clock counts the time for which its host was suspended, and never runs slower than the steady clock.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SuspensionAwareClock } from './clock.js';

const ERROR_MS = 25;

interface Step {
  /** ms by which each clock advances before the next reading. */
  readonly steady: number;
  readonly timeOfDay: number;
}

const measureElapsed = (
  steps: readonly Step[],
): { readonly ms: number; readonly gaps: readonly number[] } => {
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
  {
    name: 'both clocks advance alike',
    steps: repeat(10, { steady: 100, timeOfDay: 100 }),
    ms: 1_000,
    gaps: 0,
  },
  { name: 'the host is suspended', steps: [{ steady: 1, timeOfDay: 8_001 }], ms: 8_001, gaps: 1 },
  { name: 'only the process is stopped', steps: [{ steady: 8_000, timeOfDay: 8_000 }], ms: 8_000, gaps: 0 },
  {
    name: 'the wall clock is set forward',
    steps: [{ steady: 10, timeOfDay: 3_600_010 }],
    ms: 3_600_010,
    gaps: 1,
  },
  {
    name: 'the wall clock is set back: the time does not decrease',
    steps: [{ steady: 10, timeOfDay: -3_600_000 }],
    ms: 10,
    gaps: 0,
  },
  {
    name: 'the wall clock is set back, then the host is suspended: the suspension counts',
    steps: [
      { steady: 10, timeOfDay: -3_600_000 },
      { steady: 1, timeOfDay: 8_001 },
    ],
    ms: 8_011,
    gaps: 1,
  },
  {
    name: 'a steady clock that runs fast within its bounds makes no gap in an hour',
    steps: repeat(3_600, { steady: 1_000.5, timeOfDay: 1_000 }),
    ms: 3_601_800,
    gaps: 0,
  },
  {
    name: 'a wall clock that runs fast within its bounds makes no gap in an hour',
    steps: repeat(3_600, { steady: 1_000, timeOfDay: 1_000.5 }),
    ms: 3_600_000,
    gaps: 0,
  },
  {
    name: 'an error of the wall clock at both ends of the interval makes no gap',
    steps: [{ steady: 100, timeOfDay: 150 }],
    ms: 100,
    gaps: 0,
  },
];
for (const row of rows) {
  test(`clock: ${row.name}`, () => {
    const result = measureElapsed(row.steps);
    assert.ok(Math.abs(result.ms - row.ms) < 1, `${result.ms} ms`);
    assert.equal(result.gaps.length, row.gaps);
  });
}
