/**
 * Guards against tasks that run on two machines, or after their cancellation was confirmed, because direct
 * commands that a worker executed are delivered to it again, also long after it was told to forget the tasks.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runScenario, type Scenario, type ScenarioRun } from '../testing/scenario.js';
import { NODES } from '../testing/cluster.js';
import { faultAt } from '../testing/faults.js';

/** Delays of the copies, from less than a heartbeat interval to long after the tasks are forgotten. */
const REPEAT_DELAYS_MS: readonly number[] = [500, 5_000, 20_000, 35_000, 50_000, 65_000, 80_000, 110_000];

const repeatCommands = (run: ScenarioRun): void => {
  run.environment.repeatedCommandDelaysMs = REPEAT_DELAYS_MS;
};
/** Stops the busiest controller and starts it again `pauseS` later. */
const restartBusiest = (at: number, pauseS: number): Scenario['faults'] => {
  let node: string = NODES[0];
  return [
    [
      at,
      (run) => {
        node = run.busiestNode();
        run.cluster.stop(node);
      },
    ],
    [at + pauseS, (run) => run.cluster.start(node)],
  ];
};

const rows: readonly (Scenario & { readonly name: string })[] = [
  {
    name: 'jobs are cancelled while their tasks run',
    seed: 401,
    jobs: 12,
    taskDurationRangeS: [60, 120],
    faults: [
      [0, repeatCommands],
      [30, (run) => run.cancelRunning(4)],
      [45, (run) => run.cancelRunning(3)],
      [150, () => undefined],
    ],
  },
  {
    name: 'gangs lose machines and run elsewhere, and controllers are back within a second',
    seed: 402,
    jobs: 14,
    submissionIntervalS: 2,
    taskDurationRangeS: [90, 140],
    faults: [
      [0, repeatCommands],
      ...faultAt(35, 'dies', 1),
      ...faultAt(50, 'dies', 2),
      ...restartBusiest(80, 0.6),
      ...restartBusiest(110, 0.6),
      [170, () => undefined],
    ],
  },
  {
    name: 'machines hang or hear nothing, jobs are cancelled, and holders change',
    seed: 403,
    jobs: 12,
    taskDurationRangeS: [50, 110],
    faults: [
      [0, repeatCommands],
      ...faultAt(30, 'hang', 3),
      ...faultAt(45, 'deaf', 4),
      [50, (run) => run.cancelRunning(3)],
      ...faultAt(60, 'crashBusiest', 5),
      ...faultAt(75, 'changes', 1),
    ],
  },
  {
    name: 'pipelines, an outage of the store, and late transactions',
    seed: 404,
    jobs: 6,
    pipelines: 6,
    taskDurationRangeS: [20, 60],
    faults: [
      [0, repeatCommands],
      ...faultAt(20, 'lateWrites', 2),
      [35, (run) => run.cancelPipelines(2)],
      [60, (run) => run.environment.state.setOutage(true)],
      [85, (run) => run.environment.state.setOutage(false)],
      [100, (run) => run.cancelRunning(2)],
      [160, () => undefined],
    ],
  },
];
for (const row of rows)
  test(`repeated direct commands: ${row.name}`, { timeout: 240_000 }, async () =>
    assert.deepEqual(await runScenario(row), []),
  );
