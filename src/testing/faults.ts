/** The faults of scenarios: what happens to controllers, machines, store and network, and when. */
import { SeededRandom } from './seeded-random.js';
import type { Scenario, ScenarioRun } from './scenario.js';

/** A fault: its actions, each with its time in s from the start of the fault. */
export type Fault = (random: SeededRandom) => readonly (readonly [number, (run: ScenarioRun) => void])[];

/** A fault that starts with `on` and ends with `off`, `forS` seconds later. */
const temporaryFault = (
  on: (run: ScenarioRun) => void,
  off: (run: ScenarioRun) => void,
  forS: number,
): ReturnType<Fault> => [
  [0, on],
  [forS, off],
];
/** A temporary fault of the nodes or machines that `choose` returns when the fault starts. */
const temporaryFaultOn = <T>(
  choose: (run: ScenarioRun) => T,
  set: (run: ScenarioRun, found: T, on: boolean) => void,
  forS: number,
): ReturnType<Fault> => {
  let found: T | undefined;
  return temporaryFault(
    (run) => {
      found = choose(run);
      set(run, found, true);
    },
    (run) => {
      if (found !== undefined) set(run, found, false);
    },
    forS,
  );
};
/** The machines with the most tasks. */
const fullestMachines = (run: ScenarioRun, count: number): string[] =>
  run.machinesWithTasks().slice(0, count);
const ALL_NODES = ['n0', 'n1', 'n2'];
const machinesIn = (run: ScenarioRun, zone: string): string[] =>
  [...run.environment.machines.values()]
    .filter((machine) => machine.zone === zone)
    .map((machine) => machine.id);

/**
 * The faults of drawn scenarios by name. `hunt.ts` draws them by index: a change of their number or order
 * changes the scenarios of all seeds.
 */
export const FAULTS: Readonly<Record<string, Fault>> = {
  outage: (random) =>
    temporaryFault(
      (run) => run.environment.state.setOutage(true),
      (run) => run.environment.state.setOutage(false),
      5 + random.below(55),
    ),
  slowState: (random) =>
    temporaryFault(
      (run) => (run.environment.maxStoreDelayMs = 1_200),
      (run) => (run.environment.maxStoreDelayMs = 0),
      20 + random.below(30),
    ),
  refusedBusiest: (random) =>
    temporaryFaultOn(
      (run) => run.busiestNode(),
      (run, node, on) =>
        on ? run.environment.state.refused.add(node) : run.environment.state.refused.delete(node),
      3 + random.below(30),
    ),
  refusedLeader: (random) =>
    temporaryFaultOn(
      (run) => run.holder('L'),
      (run, node, on) =>
        on ? run.environment.state.refused.add(node) : run.environment.state.refused.delete(node),
      3 + random.below(30),
    ),
  isolated: (random) =>
    temporaryFaultOn(
      (run) => run.busiestNode(),
      (run, node, on) => run.isolate(node, on),
      8 + random.below(30),
    ),
  peersRefuse: (random) =>
    temporaryFault(
      (run) =>
        ALL_NODES.forEach((node) =>
          run.environment.partition(
            node,
            ALL_NODES.map((other) => `mesh-${other}`),
          ),
        ),
      (run) => ALL_NODES.forEach((node) => run.environment.partition(node, [])),
      10 + random.below(30),
    ),
  lateWrites: (random) =>
    temporaryFault(
      (run) => (run.environment.lateWriteProbability = 0.2),
      (run) => (run.environment.lateWriteProbability = 0),
      15 + random.below(30),
    ),
  lateReports: (random) =>
    temporaryFault(
      (run) => (run.environment.lateHeartbeatProbability = 0.3),
      (run) => (run.environment.lateHeartbeatProbability = 0),
      30 + random.below(60),
    ),
  copies: (random) =>
    temporaryFault(
      (run) => {
        run.environment.duplicateProbability = 0.1;
        run.environment.duplicateDelaysMs = [1_000, 6_000, 20_000, 40_000];
      },
      (run) => (run.environment.duplicateProbability = 0),
      30 + random.below(60),
    ),
  loss: (random) =>
    temporaryFault(
      (run) => (run.environment.lossProbability = 0.03),
      (run) => (run.environment.lossProbability = 0),
      20 + random.below(40),
    ),
  deaf: (random) =>
    temporaryFaultOn(
      (run) => fullestMachines(run, 1 + random.below(3)),
      (run, ids, on) =>
        ids.forEach((id) => Object.assign(run.environment.machines.get(id) ?? {}, { deaf: on })),
      5 + random.below(50),
    ),
  mute: (random) =>
    temporaryFaultOn(
      (run) => fullestMachines(run, 1 + random.below(3)),
      (run, ids, on) =>
        ids.forEach((id) => Object.assign(run.environment.machines.get(id) ?? {}, { mute: on })),
      5 + random.below(50),
    ),
  cut: (random) =>
    temporaryFaultOn(
      (run) => fullestMachines(run, 1 + random.below(3)),
      (run, ids, on) =>
        ids.forEach((id) => Object.assign(run.environment.machines.get(id) ?? {}, { isPartitioned: on })),
      5 + random.below(40),
    ),
  hang: (random) => {
    const forS = 3 + random.below(40);
    return [
      [
        0,
        (run) =>
          fullestMachines(run, 1 + random.below(4)).forEach((id) =>
            Object.assign(run.environment.machines.get(id) ?? {}, { hungUntil: Date.now() + forS * 1_000 }),
          ),
      ],
      [forS, () => undefined],
    ];
  },
  /** Jobs are cancelled at the moment when their machines start to hang. */
  cancelHung: (random) => {
    const forS = 3 + random.below(45);
    return [
      [
        0,
        (run) => {
          const ids = fullestMachines(run, 3);
          run.cancelOn(ids);
          ids.forEach((id) =>
            Object.assign(run.environment.machines.get(id) ?? {}, { hungUntil: Date.now() + forS * 1_000 }),
          );
        },
      ],
      [forS, () => undefined],
    ];
  },
  cancels: (random) => [[0, (run) => run.cancelRunning(2 + random.below(6))]],
  dies: (random) => [
    [
      0,
      (run) =>
        fullestMachines(run, 1 + random.below(3)).forEach((id) => run.environment.terminateMachine(id)),
    ],
  ],
  crashBusiest: (random) => {
    let node = 'n0';
    return [
      [
        0,
        (run) => {
          node = run.busiestNode();
          run.cluster.stop(node);
        },
      ],
      [random.chance(0.5) ? 0.1 : 1 + random.below(12), (run) => run.cluster.start(node)],
    ];
  },
  crashAll: (random) => [
    [0, (run) => ALL_NODES.forEach((node) => run.cluster.stop(node))],
    [
      random.chance(0.5) ? 0.2 + random.below(4) : LEASE_S + 2 + random.below(10),
      (run) => ALL_NODES.forEach((node) => run.cluster.start(node)),
    ],
  ],
  roll: (random) => {
    const gapS = 2 + random.below(8);
    return ALL_NODES.flatMap((node, k) => [
      [k * gapS, (run: ScenarioRun) => run.cluster.stop(node)] as const,
      [k * gapS + 0.1 + random.below(3), (run: ScenarioRun) => run.cluster.start(node)] as const,
    ]);
  },
  /** The holder of the shard with the most runs is stopped and restarted ten times within two minutes. */
  changes: () =>
    Array.from({ length: 10 }, (_, k) => {
      let node = 'n0';
      return [
        [
          k * 12,
          (run: ScenarioRun) => {
            node = run.busiestNode();
            run.cluster.stop(node);
          },
        ] as const,
        [k * 12 + 5.5, (run: ScenarioRun) => run.cluster.start(node)] as const,
      ];
    }).flat(),
  /**
   * Zone `y`, with its workers and controller `n1`, is partitioned; messages are delivered when the partition
   * ends.
   */
  zoneCut: (random) =>
    temporaryFault(
      (run) => {
        run.environment.holdMessages('n1', ['state', 'cloud', 'n0', 'n2']);
        for (const node of ['n0', 'n2']) run.environment.holdMessages(node, machinesIn(run, 'y'));
      },
      (run) => ['n0', 'n1', 'n2'].forEach((node) => run.environment.holdMessages(node, [])),
      8 + random.below(40),
    ),
  heldReports: (random) =>
    temporaryFaultOn(
      (run) => ({ node: run.busiestNode(), ids: fullestMachines(run, 4) }),
      (run, found, on) => run.environment.holdMessages(found.node, on ? found.ids : []),
      4 + random.below(30),
    ),
};
/** Delays of repeated commands, from less than a heartbeat interval to long after tasks are forgotten. */
const REPEAT_DELAYS_MS: readonly number[] = [500, 5_000, 20_000, 35_000, 50_000, 65_000, 80_000, 110_000];

/** Faults that are played only where they are named, so that the drawn scenarios of all seeds stay the same. */
const NAMED_FAULTS: Readonly<Record<string, Fault>> = {
  /** Every direct command that a worker executes is delivered to it again and again. */
  repeatedCommands: () => [
    [0, (run) => (run.environment.repeatedCommandDelaysMs = REPEAT_DELAYS_MS)],
    [120, (run) => (run.environment.repeatedCommandDelaysMs = [])],
  ],
};

/** The fault of this name; undefined: there is none. */
export const faultNamed = (name: string): Fault | undefined => FAULTS[name] ?? NAMED_FAULTS[name];

/** The actions of a fault that begins at this second; its parameters are drawn from the seed. */
export const faultAt = (start: number, name: string, seed: number): Scenario['faults'] =>
  (faultNamed(name)?.(new SeededRandom(seed)) ?? []).map(
    ([offset, action]) => [start + offset, action] as const,
  );

/** s: the workers' lease of the stand-in deployment. */
const LEASE_S = 15;
