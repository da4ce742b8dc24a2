import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runScenario, type Scenario, type ScenarioRun } from '../testing/scenario.js';

/**
 * The time of day of one host jumps. The protocol bounds the error of clocks, so a jump is beyond what a
 * deployment guarantees. A controller may lose a duty for a short time, but no rule may be violated.
 */
const HOUR_MS = 3_600_000;

const shiftClock =
  (claimName: string, ms: number) =>
  (run: ScenarioRun): void => {
    run.cluster.timeOfDayOffsets.set(run.holder(claimName), ms);
  };
const resetClocks = (run: ScenarioRun): void => run.cluster.timeOfDayOffsets.clear();

const rows: readonly (Scenario & { readonly name: string })[] = [
  {
    name: "the leader's time of day jumps an hour forward, and back",
    seed: 301,
    jobs: 10,
    faults: [
      [30, shiftClock('L', HOUR_MS)],
      [60, resetClocks],
    ],
  },
  {
    name: "the leader's time of day jumps an hour back while jobs are cancelled",
    seed: 302,
    jobs: 10,
    faults: [
      [30, shiftClock('L', -HOUR_MS)],
      [40, (run) => run.cancelRunning(2)],
      [60, resetClocks],
    ],
  },
  {
    name: "the time of day of a shard's holder jumps forward during an outage of the key-value store",
    seed: 303,
    jobs: 10,
    faults: [
      [30, (run) => run.environment.state.setOutage(true)],
      [33, shiftClock('0', HOUR_MS)],
      [45, (run) => run.environment.state.setOutage(false)],
      [60, resetClocks],
    ],
  },
];
for (const row of rows) {
  test(`clocks: ${row.name}`, { timeout: 240_000 }, async () => assert.deepEqual(await runScenario(row), []));
}
