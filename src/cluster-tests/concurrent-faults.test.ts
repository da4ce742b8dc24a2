import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NODES } from '../testing/cluster.js';
import { runScenario, type Scenario, type ScenarioRun } from '../testing/scenario.js';
import { FAULTS } from '../testing/faults.js';
import { SeededRandom } from '../testing/seeded-random.js';

/** A trouble from the list, beginning at this second, drawn from a seed of its own. */
const at = (start: number, name: keyof typeof FAULTS, seed: number): Scenario['faults'] =>
  (FAULTS[name]?.(new SeededRandom(seed)) ?? []).map(([offset, happen]) => [start + offset, happen] as const);

/** Troubles that meet, each brought about against our own stand-ins. */
/** The gap again, with its times drawn: refusal, cancellations, outage, and a crash or a takeover in it. */
const drawnGap = (seed: number): Scenario & { readonly name: string } => {
  const random = new SeededRandom(seed);
  const tenths = (below: number): number => random.below(below * 10) / 10;
  const refused = 36 + tenths(8);
  const outage = refused + 0.3 + tenths(5);
  const over = outage + 20 + tenths(40);
  const crash = outage - 2 + tenths(30);
  return {
    name: `refusal, cancellations, outage, crash and takeover at drawn times (seed ${seed})`,
    seed,
    jobs: 9,
    taskDurationRangeS: [90, 140],
    faults: [
      [refused, (day) => day.environment.state.refused.add(day.busiestNode())],
      ...[0, 1, 2].map(
        () =>
          [refused - 1 + tenths(4), (day: ScenarioRun) => day.cancelRunning(1 + random.below(3))] as const,
      ),
      [outage, (day) => day.environment.state.setOutage(true)],
      [refused + 1 + tenths(30), (day) => day.environment.state.refused.clear()],
      [crash, (day) => day.cluster.stop(NODES[seed % 3] ?? 'n0')],
      [crash + (random.chance(0.5) ? 0.1 : 4), (day) => day.cluster.start(NODES[seed % 3] ?? 'n0')],
      [over, (day) => day.environment.state.setOutage(false)],
    ],
  };
};

const rows: readonly (Scenario & { readonly name: string })[] = [
  // The holder never saw the cancellation, and rode out the outage that followed, answering its workers all
  // the while.
  ...[21, 22, 23].map((seed) => ({
    name: `the state refuses the holder alone, jobs are cancelled elsewhere, then it is out for all (seed ${seed})`,
    seed,
    jobs: 9,
    runS: [90, 140] as const,
    faults: [
      [40, (day) => day.environment.state.refused.add(day.busiestNode())],
      [40.1, (day) => day.cancelRunning(8)],
      [41, (day) => day.environment.state.setOutage(true)],
      [55, (day) => day.environment.state.refused.clear()],
      [98, (day) => day.environment.state.setOutage(false)],
    ] satisfies Scenario['faults'],
  })),
  ...[71, 72, 73, 74].map(drawnGap),

  // 1. Slow state, then refused alone, then out for all: answers about cancellations wait for their holder,
  //    nothing is told too early.
  {
    name: 'a slow state, then the holder refused, then an outage, while users cancel and ask',
    seed: 31,
    jobs: 10,
    taskDurationRangeS: [60, 120],
    faults: [
      ...at(35, 'slowState', 1),
      [40, (day) => day.cancelRunning(3)],
      [44, (day) => day.environment.state.refused.add(day.busiestNode())],
      [44.3, (day) => day.cancelRunning(3)],
      [45.5, (day) => day.environment.state.setOutage(true)],
      [97, (day) => day.environment.state.setOutage(false)],
      [98, (day) => day.environment.state.refused.clear()],
    ],
  },
  // 2. A report that a former holder never got arrives at the new one, which has acted: it proves nothing by
  //    its silence.
  {
    name: 'reports held back until a new holder has acted, then delivered there',
    seed: 32,
    taskDurationRangeS: [20, 60],
    faults: [
      [35, (day) => day.environment.holdMessages('n0', day.machinesWithTasks())],
      [36, (day) => day.cluster.stop('n0')],
      [36.1, (day) => day.cluster.start('n0')],
      [52, (day) => day.environment.holdMessages('n0', [])],
      [60, (day) => day.environment.holdMessages(day.busiestNode(), day.machinesWithTasks().slice(0, 3))],
      [85, (day) => ['n0', 'n1', 'n2'].forEach((node) => day.environment.holdMessages(node, []))],
    ],
  },
  // 3. Each write is conditional on what it changes, so an older one that comes late fails.
  {
    name: 'transactions without an answer, carried out after newer ones of the same controller',
    seed: 33,
    taskDurationRangeS: [10, 40],
    faults: [
      [15, (day) => (day.environment.lateWriteProbability = 0.25)],
      [45, (day) => day.cancelRunning(3)],
      [60, (day) => day.cluster.stop(day.busiestNode())],
      [60.1, (day) => ['n0', 'n1', 'n2'].forEach((node) => day.cluster.start(node))],
      [100, (day) => (day.environment.lateWriteProbability = 0)],
    ],
  },
  // 4. A direct command that hung with its machine is carried out when that resumes, under the same token and
  //    session.
  {
    name: 'commands held up with their machines, which then go on',
    seed: 34,
    taskDurationRangeS: [15, 50],
    faults: [10, 20, 30, 42, 54].flatMap((start, k) => [
      ...at(start, 'hang', k),
      [start + 1, (day: ScenarioRun) => day.cancelRunning(1)] as const,
    ]),
  },
  // 6. What is not proven gone counts, cancelled or not, from before the first bind of a takeover.
  {
    name: 'teams at their limits, the holder ends, machines can not be asked, and jobs are cancelled',
    seed: 36,
    jobs: 18,
    submissionIntervalS: 1,
    tasks: 16,
    taskDurationRangeS: [25, 60],
    faults: [
      ...at(40, 'cut', 3),
      [40.5, (day) => day.cluster.stop(day.busiestNode())],
      [41, (day) => day.cancelRunning(3)],
      [44, (day) => ['n0', 'n1', 'n2'].forEach((node) => day.cluster.start(node))],
      [47, (day) => day.cancelRunning(2)],
    ],
  },
  // 7. Workers begin new sessions and forget their exits; nothing is done twice at once, nothing forgotten.
  {
    name: 'all controllers away for longer than a lease',
    seed: 37,
    taskDurationRangeS: [15, 60],
    faults: [
      [40, (day) => ['n0', 'n1', 'n2'].forEach((node) => day.cluster.stop(node))],
      [59, (day) => ['n0', 'n1', 'n2'].forEach((node) => day.cluster.start(node))],
    ],
  },
  // 8. Cut from state and peers a holder is silent when its lease may be over, so its workers let go in time.
  {
    name: 'the holder loses the state and its siblings, not its workers; jobs are cancelled through the new one',
    seed: 38,
    jobs: 10,
    taskDurationRangeS: [80, 120],
    faults: [
      ...at(40, 'isolated', 2),
      [41, (day) => day.cancelRunning(4)],
      [50, (day) => day.cancelRunning(3)],
    ],
  },
  // 9. Direct commands renew no lease: what is bound there is over a lease after the last answer.
  {
    name: 'workers that reach no controller while direct commands reach them',
    seed: 39,
    taskDurationRangeS: [15, 60],
    faults: [...at(30, 'mute', 1), ...at(45, 'mute', 7), [50, (day) => day.cancelRunning(2)]],
  },
  // 10. The final record and the cancellation are conditional on the same key: one of them comes first, for
  //     everybody.
  {
    name: 'each job is cancelled at the very end of its last task, or asked about',
    seed: 40,
    jobs: 16,
    taskDurationRangeS: [6, 14],
    cancelAtEndProbability: 0.6,
    faults: [],
  },
  // 11. Whatever lives in a holder's memory only (sick, deaf, waited) is lost ten times.
  {
    name: 'ten changes of holder in two minutes, an outage among them',
    seed: 41,
    taskDurationRangeS: [15, 60],
    faults: [
      ...at(20, 'changes', 1),
      [70, (day) => day.environment.state.setOutage(true)],
      [88, (day) => day.environment.state.setOutage(false)],
      [92, (day) => day.cancelRunning(3)],
    ],
  },
  // 12. A new holder knows of bindings only from the records; machines that don't hear it are no proof of
  //     anything.
  {
    name: 'a holder ends while machines with long tasks are cut off or do not hear',
    seed: 42,
    jobs: 8,
    taskDurationRangeS: [70, 110],
    faults: [
      ...at(35, 'deaf', 5),
      ...at(36, 'cut', 6),
      [38, (day) => day.cluster.stop(day.busiestNode())],
      [44, (day) => ['n0', 'n1', 'n2'].forEach((node) => day.cluster.start(node))],
    ],
  },
  // 13. A copy from before is acknowledged neither by the holder that saw newer ones nor by one that saw
  //     none.
  {
    name: 'old reports after newer ones, from earlier sessions and attempts, across takeovers',
    seed: 43,
    taskDurationRangeS: [10, 40],
    faults: [
      [10, (day) => (day.environment.lateHeartbeatProbability = 0.5)],
      ...at(30, 'cut', 2),
      [45, (day) => ['n0', 'n1', 'n2'].forEach((node) => day.cluster.stop(node))],
      [45.2, (day) => ['n0', 'n1', 'n2'].forEach((node) => day.cluster.start(node))],
      ...at(55, 'roll', 3),
      [110, (day) => (day.environment.lateHeartbeatProbability = 0)],
    ],
  },
  // 14. An exit is forgotten on its machine only once its record says so, so a new holder finds one or the
  //     other.
  {
    name: 'tasks of one job end far apart, with changes of holder between',
    seed: 44,
    jobs: 12,
    taskDurationRangeS: [5, 25],
    staggeredTaskEnds: true,
    faults: [20, 34, 48, 62].flatMap((start, k) => at(start, 'crashBusiest', k)),
  },
  // 15. More than there is room for, over links that lose much: nothing is bound twice or waits for ever.
  {
    name: 'more work than room over poor links',
    seed: 45,
    jobs: 22,
    submissionIntervalS: 1,
    taskDurationRangeS: [15, 40],
    lossProbability: 0.02,
    faults: [
      [10, (day) => (day.environment.maxStoreDelayMs = 600)],
      [90, (day) => (day.environment.maxStoreDelayMs = 0)],
      [91, (day) => (day.environment.lossProbability = 0)],
    ],
  },
  // 16. Handed over, handed back, all ended, one back within a second.
  {
    name: 'controllers hand over and back, all end, and one returns within a second',
    seed: 46,
    taskDurationRangeS: [15, 50],
    faults: [
      ...at(25, 'roll', 4),
      [60, (day) => ['n0', 'n1', 'n2'].forEach((node) => day.cluster.stop(node))],
      [60.4, (day) => day.cluster.start('n1')],
      [70, (day) => day.cluster.start('n0')],
      [71, (day) => day.cluster.start('n2')],
      [90, (day) => ['n0', 'n1', 'n2'].forEach((node) => day.cluster.stop(node))],
      [90.1, (day) => day.cluster.start('n2')],
      [108, (day) => ['n0', 'n1'].forEach((node) => day.cluster.start(node))],
    ],
  },
  // 17. Tasks of the old attempt keep their zone until they are proven gone.
  {
    name: 'one-zone gangs and arrays lose machines, some for good',
    seed: 47,
    jobs: 16,
    submissionIntervalS: 2,
    taskDurationRangeS: [20, 50],
    faults: [
      ...at(25, 'cut', 8),
      ...at(28, 'dies', 1),
      ...at(45, 'dies', 2),
      ...at(46, 'hang', 4),
      ...at(60, 'cut', 5),
      ...at(61, 'crashBusiest', 6),
    ],
  },
  // 18. Inside the zone the controller falls silent with its claim; what was held back comes when all has
  //     changed.
  {
    name: 'a zone with workers and a controller is cut off for longer than a lease, its messages come late',
    seed: 48,
    taskDurationRangeS: [20, 70],
    faults: [
      [
        35,
        (day) => {
          day.environment.holdMessages('n1', ['state', 'cloud', 'n0', 'n2', 'user']);
          for (const node of ['n0', 'n2'])
            day.environment.holdMessages(
              node,
              [...day.environment.machines.values()].filter((m) => m.zone === 'y').map((m) => m.id),
            );
        },
      ],
      [42, (day) => day.cancelRunning(4)],
      [65, (day) => ['n0', 'n1', 'n2'].forEach((node) => day.environment.holdMessages(node, []))],
    ],
  },

  // Pipelines: nothing starts before what it follows is done, and nothing outlives what is cancelled before
  // it.
  {
    name: 'pipelines across shares, holders end between the stages',
    seed: 81,
    jobs: 6,
    pipelines: 6,
    faults: [18, 30, 41, 53].flatMap((start, k) => at(start, 'crashBusiest', k)),
  },
  {
    name: 'pipelines called off while holders are cut off, refused and replaced, then an outage',
    seed: 82,
    jobs: 5,
    pipelines: 7,
    submissionIntervalS: 2,
    faults: [
      [18, (day) => day.cancelPipelines(1)],
      ...at(24, 'isolated', 3),
      [25, (day) => day.cancelPipelines(2)],
      [40, (day) => day.environment.state.refused.add(day.busiestNode())],
      [40.2, (day) => day.cancelPipelines(2)],
      [41, (day) => day.environment.state.setOutage(true)],
      [66, (day) => day.environment.state.setOutage(false)],
      [67, (day) => day.environment.state.refused.clear()],
    ],
  },
  {
    name: 'pipelines under late transactions, late reports and copies, all controllers away between',
    seed: 83,
    jobs: 5,
    pipelines: 6,
    faults: [
      ...at(10, 'lateWrites', 2),
      ...at(12, 'lateReports', 3),
      ...at(14, 'copies', 4),
      [30, (day) => day.cancelPipelines(1)],
      ...at(36, 'crashAll', 1),
      ...at(60, 'lateWrites', 5),
      [62, (day) => day.cancelPipelines(1)],
    ],
  },
];

for (const row of rows)
  test(`meeting: ${row.name}`, { timeout: 240_000 }, async () =>
    assert.deepEqual(await runScenario(row), []),
  );
