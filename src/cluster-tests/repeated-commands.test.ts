/**
 * Guards against tasks that run on two machines, or after their cancellation was confirmed, because direct
 * commands that a worker executed are delivered to it again, also long after it was told to forget the tasks.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runScenario, type Scenario } from '../testing/scenario.js';
import { NODES } from '../testing/cluster.js';
import { faultAt } from '../testing/faults.js';
import { drawScenario } from '../testing/hunt.js';

const repeatedCommands = faultAt(0, 'repeatedCommands', 1);
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

/** Drawn scenarios in which tasks ran twice, ran although cancelled, or exceeded the limit of their team. */
const DRAWN_SEEDS: readonly number[] = [18, 30, 56];

const rows: readonly (Scenario & { readonly name: string })[] = [
  ...DRAWN_SEEDS.map((seed) => {
    const scenario = drawScenario(seed, ['repeatedCommands']);
    return { ...scenario, name: `${scenario.names} (seed ${seed})` };
  }),
  {
    name: 'jobs are cancelled while their tasks run',
    seed: 401,
    jobs: 12,
    taskDurationRangeS: [60, 120],
    faults: [
      ...repeatedCommands,
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
      ...repeatedCommands,
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
      ...repeatedCommands,
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
      ...repeatedCommands,
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
