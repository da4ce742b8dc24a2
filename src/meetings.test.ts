import assert from 'node:assert/strict';
import { test } from 'node:test';
import { playDay, type Day } from './testing/day.js';

/** Troubles that meet, each brought about against our own stand-ins. */
const rows: readonly (Day & { readonly name: string })[] = [
  // The holder never saw the cancellation, and rode out the outage that followed, answering its workers all the while.
  ...[21, 22, 23].map((seed) => ({
    name: `the state refuses the holder alone, jobs are cancelled elsewhere, then it is out for all (seed ${seed})`,
    seed,
    jobs: 9,
    runS: [90, 140] as const,
    troubles: [
      [40, (day) => day.world.state.refused.add(day.busiest())],
      [40.1, (day) => day.cancelRunning(8)],
      [41, (day) => day.world.state.outage(true)],
      [55, (day) => day.world.state.refused.clear()],
      [98, (day) => day.world.state.outage(false)],
    ] satisfies Day['troubles'],
  })),
];

for (const row of rows)
  test(`meeting: ${row.name}`, { timeout: 240_000 }, async () => assert.deepEqual(await playDay(row), []));
