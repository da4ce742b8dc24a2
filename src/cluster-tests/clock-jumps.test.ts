import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runScenario, type Scenario, type ScenarioRun } from '../testing/scenario.js';

/**
 * Somebody sets the time of day of one host. The protocol bounds it, so this is beyond what a deployment
 * promises; it may cost a duty for a moment, and must break no rule.
 */
const HOUR_MS = 3_600_000;

const setTime =
  (claimName: string, ms: number) =>
  (day: ScenarioRun): void => {
    day.cluster.timeOfDayOffsets.set(day.holder(claimName), ms);
  };
const mend = (day: ScenarioRun): void => day.cluster.timeOfDayOffsets.clear();

const rows: readonly (Scenario & { readonly name: string })[] = [
  {
    name: "the leader's time jumps an hour forward, and back",
    seed: 301,
    jobs: 10,
    faults: [
      [30, setTime('L', HOUR_MS)],
      [60, mend],
    ],
  },
  {
    name: "the leader's time jumps an hour back while jobs are cancelled",
    seed: 302,
    jobs: 10,
    faults: [
      [30, setTime('L', -HOUR_MS)],
      [40, (day) => day.cancelRunning(2)],
      [60, mend],
    ],
  },
  {
    name: 'the time of the holder of a share jumps forward in an outage',
    seed: 303,
    jobs: 10,
    faults: [
      [30, (day) => day.environment.state.setOutage(true)],
      [33, setTime('0', HOUR_MS)],
      [45, (day) => day.environment.state.setOutage(false)],
      [60, mend],
    ],
  },
];
for (const row of rows) {
  test(`clocks: ${row.name}`, { timeout: 240_000 }, async () => assert.deepEqual(await runScenario(row), []));
}
