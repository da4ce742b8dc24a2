import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NODES } from '../testing/cluster.js';
import { runScenario, type Scenario, type ScenarioRun } from '../testing/scenario.js';
import { faultAt } from '../testing/faults.js';
import { SeededRandom } from '../testing/seeded-random.js';

/** The first scenario of the list with random times, and a crash and a restart of one controller. */
const randomOutage = (seed: number): Scenario & { readonly name: string } => {
  const random = new SeededRandom(seed);
  const randomTenths = (below: number): number => random.below(below * 10) / 10;
  const refused = 36 + randomTenths(8);
  const outage = refused + 0.3 + randomTenths(5);
  const over = outage + 20 + randomTenths(40);
  const crash = outage - 2 + randomTenths(30);
  return {
    name: `refusal, cancellations, outage, crash and takeover at random times (seed ${seed})`,
    seed,
    jobs: 9,
    taskDurationRangeS: [90, 140],
    faults: [
      [refused, (run) => run.environment.state.refused.add(run.busiestNode())],
      ...[0, 1, 2].map(
        () =>
          [
            refused - 1 + randomTenths(4),
            (run: ScenarioRun) => run.cancelRunning(1 + random.below(3)),
          ] as const,
      ),
      [outage, (run) => run.environment.state.setOutage(true)],
      [refused + 1 + randomTenths(30), (run) => run.environment.state.refused.clear()],
      [crash, (run) => run.cluster.stop(NODES[seed % 3] ?? 'n0')],
      [crash + (random.chance(0.5) ? 0.1 : 4), (run) => run.cluster.start(NODES[seed % 3] ?? 'n0')],
      [over, (run) => run.environment.state.setOutage(false)],
    ],
  };
};

/** Scenarios of concurrent faults, each run against the stand-ins. */
const rows: readonly (Scenario & { readonly name: string })[] = [
  // The holder of the shard never received the cancellations, kept its claim through the outage that
  // followed, and answered its workers throughout.
  ...[21, 22, 23].map((seed) => ({
    name: `the store refuses one holder, jobs are cancelled elsewhere, then the store is out (seed ${seed})`,
    seed,
    jobs: 9,
    taskDurationRangeS: [90, 140] as const,
    faults: [
      [40, (run) => run.environment.state.refused.add(run.busiestNode())],
      [40.1, (run) => run.cancelRunning(8)],
      [41, (run) => run.environment.state.setOutage(true)],
      [55, (run) => run.environment.state.refused.clear()],
      [98, (run) => run.environment.state.setOutage(false)],
    ] satisfies Scenario['faults'],
  })),
  ...[71, 72, 73, 74].map(randomOutage),

  // 1. The key-value store is slow, then refuses one holder, then is out for all. Controllers answer
  //    cancellations only once the holder of the shard has acknowledged them, never earlier.
  {
    name: 'the store is slow, then refuses the holder, then has an outage, while users cancel and poll',
    seed: 31,
    jobs: 10,
    taskDurationRangeS: [60, 120],
    faults: [
      ...faultAt(35, 'slowState', 1),
      [40, (run) => run.cancelRunning(3)],
      [44, (run) => run.environment.state.refused.add(run.busiestNode())],
      [44.3, (run) => run.cancelRunning(3)],
      [45.5, (run) => run.environment.state.setOutage(true)],
      [97, (run) => run.environment.state.setOutage(false)],
      [98, (run) => run.environment.state.refused.clear()],
    ],
  },
  // 2. Worker heartbeats that a former holder never received reach the new holder, which has acted meanwhile.
  //    A task that such a heartbeat does not name is not proven gone.
  {
    name: 'worker heartbeats are held back until a new holder has acted, then delivered to it',
    seed: 32,
    taskDurationRangeS: [20, 60],
    faults: [
      [35, (run) => run.environment.holdMessages('n0', run.machinesWithTasks())],
      [36, (run) => run.cluster.stop('n0')],
      [36.1, (run) => run.cluster.start('n0')],
      [52, (run) => run.environment.holdMessages('n0', [])],
      [60, (run) => run.environment.holdMessages(run.busiestNode(), run.machinesWithTasks().slice(0, 3))],
      [85, (run) => ['n0', 'n1', 'n2'].forEach((node) => run.environment.holdMessages(node, []))],
    ],
  },
  // 3. Each write is conditional on the revision of the key that it changes, so an older write that arrives
  //    late fails.
  {
    name: 'transactions without an answer take effect after newer ones of the same controller',
    seed: 33,
    taskDurationRangeS: [10, 40],
    faults: [
      [15, (run) => (run.environment.lateWriteProbability = 0.25)],
      [45, (run) => run.cancelRunning(3)],
      [60, (run) => run.cluster.stop(run.busiestNode())],
      [60.1, (run) => ['n0', 'n1', 'n2'].forEach((node) => run.cluster.start(node))],
      [100, (run) => (run.environment.lateWriteProbability = 0)],
    ],
  },
  // 4. A direct command to a hung machine is executed when the machine resumes, under the same token and
  //    agent epoch.
  {
    name: 'commands are delayed while their machines hang, and the machines then resume',
    seed: 34,
    taskDurationRangeS: [15, 50],
    faults: [10, 20, 30, 42, 54].flatMap((start, k) => [
      ...faultAt(start, 'hang', k),
      [start + 1, (run: ScenarioRun) => run.cancelRunning(1)] as const,
    ]),
  },
  // 6. Tasks that are not proven gone count against the limit of their team, cancelled or not, before a new
  //    holder binds its first task.
  {
    name: 'teams at their limits, the holder stops, machines are unreachable, and jobs are cancelled',
    seed: 36,
    jobs: 18,
    submissionIntervalS: 1,
    tasks: 16,
    taskDurationRangeS: [25, 60],
    faults: [
      ...faultAt(40, 'cut', 3),
      [40.5, (run) => run.cluster.stop(run.busiestNode())],
      [41, (run) => run.cancelRunning(3)],
      [44, (run) => ['n0', 'n1', 'n2'].forEach((node) => run.cluster.start(node))],
      [47, (run) => run.cancelRunning(2)],
    ],
  },
  // 7. Workers begin new agent epochs and discard exited tasks. No task runs twice at the same time, and no
  //    job is lost.
  {
    name: 'all controllers are down for longer than a lease',
    seed: 37,
    taskDurationRangeS: [15, 60],
    faults: [
      [40, (run) => ['n0', 'n1', 'n2'].forEach((node) => run.cluster.stop(node))],
      [59, (run) => ['n0', 'n1', 'n2'].forEach((node) => run.cluster.start(node))],
    ],
  },
  // 8. A holder without the key-value store and peers stops answering its workers when its lease may have
  //    expired, so that the leases of the workers expire in time.
  {
    name: 'the holder loses the store and its peers, not its workers; jobs are cancelled at its successor',
    seed: 38,
    jobs: 10,
    taskDurationRangeS: [80, 120],
    faults: [
      ...faultAt(40, 'isolated', 2),
      [41, (run) => run.cancelRunning(4)],
      [50, (run) => run.cancelRunning(3)],
    ],
  },
  // 9. Direct commands renew no lease: tasks on such a machine end one lease after its last answered
  //    heartbeat.
  {
    name: 'workers reach no controller while direct commands reach the workers',
    seed: 39,
    taskDurationRangeS: [15, 60],
    faults: [...faultAt(30, 'mute', 1), ...faultAt(45, 'mute', 7), [50, (run) => run.cancelRunning(2)]],
  },
  // 10. The final record and the cancellation are conditional on the same key, so all controllers see the
  //     same one of them succeed.
  {
    name: 'jobs are cancelled when their last task ends, or polled',
    seed: 40,
    jobs: 16,
    taskDurationRangeS: [6, 14],
    cancelAtEndProbability: 0.6,
    faults: [],
  },
  // 11. State that a holder keeps only in memory (quarantined and unreachable machines, waiting times) is
  //     lost ten times.
  {
    name: 'ten changes of holder in two minutes, with an outage in between',
    seed: 41,
    taskDurationRangeS: [15, 60],
    faults: [
      ...faultAt(20, 'changes', 1),
      [70, (run) => run.environment.state.setOutage(true)],
      [88, (run) => run.environment.state.setOutage(false)],
      [92, (run) => run.cancelRunning(3)],
    ],
  },
  // 12. A new holder knows bindings only from the records. Machines that receive none of its messages prove
  //     nothing about their tasks.
  {
    name: 'a holder stops while machines with long tasks are cut off or receive nothing',
    seed: 42,
    jobs: 8,
    taskDurationRangeS: [70, 110],
    faults: [
      ...faultAt(35, 'deaf', 5),
      ...faultAt(36, 'cut', 6),
      [38, (run) => run.cluster.stop(run.busiestNode())],
      [44, (run) => ['n0', 'n1', 'n2'].forEach((node) => run.cluster.start(node))],
    ],
  },
  // 13. An old copy of a heartbeat is not acknowledged, neither by a holder that received newer heartbeats
  //     nor by one that received none.
  {
    name: 'old worker heartbeats after newer ones, from earlier agent epochs and attempts, across takeovers',
    seed: 43,
    taskDurationRangeS: [10, 40],
    faults: [
      [10, (run) => (run.environment.lateHeartbeatProbability = 0.5)],
      ...faultAt(30, 'cut', 2),
      [45, (run) => ['n0', 'n1', 'n2'].forEach((node) => run.cluster.stop(node))],
      [45.2, (run) => ['n0', 'n1', 'n2'].forEach((node) => run.cluster.start(node))],
      ...faultAt(55, 'roll', 3),
      [110, (run) => (run.environment.lateHeartbeatProbability = 0)],
    ],
  },
  // 14. A worker forgets an exited task only after the run record contains the exit, so a new holder finds
  //     the exit on the machine or in the record.
  {
    name: 'tasks of one job end far apart, with changes of holder in between',
    seed: 44,
    jobs: 12,
    taskDurationRangeS: [5, 25],
    staggeredTaskEnds: true,
    faults: [20, 34, 48, 62].flatMap((start, k) => faultAt(start, 'crashBusiest', k)),
  },
  // 15. More work than capacity, over links that lose many messages: no task is bound twice or waits forever.
  {
    name: 'more work than capacity, over links that lose messages',
    seed: 45,
    jobs: 22,
    submissionIntervalS: 1,
    taskDurationRangeS: [15, 40],
    lossProbability: 0.02,
    faults: [
      [10, (run) => (run.environment.maxStoreDelayMs = 600)],
      [90, (run) => (run.environment.maxStoreDelayMs = 0)],
      [91, (run) => (run.environment.lossProbability = 0)],
    ],
  },
  // 16. Claims are handed over and back, all controllers stop, and one restarts within a second.
  {
    name: 'controllers hand claims over and back, all stop, and one restarts within a second',
    seed: 46,
    taskDurationRangeS: [15, 50],
    faults: [
      ...faultAt(25, 'roll', 4),
      [60, (run) => ['n0', 'n1', 'n2'].forEach((node) => run.cluster.stop(node))],
      [60.4, (run) => run.cluster.start('n1')],
      [70, (run) => run.cluster.start('n0')],
      [71, (run) => run.cluster.start('n2')],
      [90, (run) => ['n0', 'n1', 'n2'].forEach((node) => run.cluster.stop(node))],
      [90.1, (run) => run.cluster.start('n2')],
      [108, (run) => ['n0', 'n1'].forEach((node) => run.cluster.start(node))],
    ],
  },
  // 17. The remaining tasks of an earlier attempt tie their job to its zone until they are proven gone.
  {
    name: 'one-zone gangs and arrays lose machines, some for good',
    seed: 47,
    jobs: 16,
    submissionIntervalS: 2,
    taskDurationRangeS: [20, 50],
    faults: [
      ...faultAt(25, 'cut', 8),
      ...faultAt(28, 'dies', 1),
      ...faultAt(45, 'dies', 2),
      ...faultAt(46, 'hang', 4),
      ...faultAt(60, 'cut', 5),
      ...faultAt(61, 'crashBusiest', 6),
    ],
  },
  // 18. The controller inside the zone stops answering when its claim may have expired. The messages that
  //     were held back arrive after other controllers have taken over.
  {
    name: 'a zone with workers and a controller is cut off for longer than a lease; its messages arrive late',
    seed: 48,
    taskDurationRangeS: [20, 70],
    faults: [
      [
        35,
        (run) => {
          run.environment.holdMessages('n1', ['state', 'cloud', 'n0', 'n2', 'user']);
          for (const node of ['n0', 'n2'])
            run.environment.holdMessages(
              node,
              [...run.environment.machines.values()].filter((m) => m.zone === 'y').map((m) => m.id),
            );
        },
      ],
      [42, (run) => run.cancelRunning(4)],
      [65, (run) => ['n0', 'n1', 'n2'].forEach((node) => run.environment.holdMessages(node, []))],
    ],
  },

  // Pipelines: no job starts before its dependencies are done, and cancelling a job cancels the jobs that
  // depend on it.
  {
    name: 'pipelines across shards, holders stop between the stages',
    seed: 81,
    jobs: 6,
    pipelines: 6,
    faults: [18, 30, 41, 53].flatMap((start, k) => faultAt(start, 'crashBusiest', k)),
  },
  {
    name: 'pipelines are cancelled while holders are cut off, refused and replaced, then an outage',
    seed: 82,
    jobs: 5,
    pipelines: 7,
    submissionIntervalS: 2,
    faults: [
      [18, (run) => run.cancelPipelines(1)],
      ...faultAt(24, 'isolated', 3),
      [25, (run) => run.cancelPipelines(2)],
      [40, (run) => run.environment.state.refused.add(run.busiestNode())],
      [40.2, (run) => run.cancelPipelines(2)],
      [41, (run) => run.environment.state.setOutage(true)],
      [66, (run) => run.environment.state.setOutage(false)],
      [67, (run) => run.environment.state.refused.clear()],
    ],
  },
  {
    name: 'pipelines under late transactions, late heartbeats and copies, all controllers down in between',
    seed: 83,
    jobs: 5,
    pipelines: 6,
    faults: [
      ...faultAt(10, 'lateWrites', 2),
      ...faultAt(12, 'lateReports', 3),
      ...faultAt(14, 'copies', 4),
      [30, (run) => run.cancelPipelines(1)],
      ...faultAt(36, 'crashAll', 1),
      ...faultAt(60, 'lateWrites', 5),
      [62, (run) => run.cancelPipelines(1)],
    ],
  },
];

for (const row of rows)
  test(`meeting: ${row.name}`, { timeout: 240_000 }, async () =>
    assert.deepEqual(await runScenario(row), []),
  );
