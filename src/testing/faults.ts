import type { SeededRandom } from './seeded-random.js';
import type { ScenarioRun } from './scenario.js';

/** One trouble: what happens when, in s from its begin. */
export type Fault = (random: SeededRandom) => readonly (readonly [number, (day: ScenarioRun) => void])[];

/** Something that holds for a while. */
const temporaryFault = (
  on: (day: ScenarioRun) => void,
  off: (day: ScenarioRun) => void,
  forS: number,
): ReturnType<Fault> => [
  [0, on],
  [forS, off],
];
/** The same for whatever `choose` finds at its begin. */
const temporaryFaultOn = <T>(
  choose: (day: ScenarioRun) => T,
  set: (day: ScenarioRun, found: T, on: boolean) => void,
  forS: number,
): ReturnType<Fault> => {
  let found: T | undefined;
  return temporaryFault(
    (day) => {
      found = choose(day);
      set(day, found, true);
    },
    (day) => {
      if (found !== undefined) set(day, found, false);
    },
    forS,
  );
};
const fullestMachines = (day: ScenarioRun, count: number): string[] =>
  day.machinesWithTasks().slice(0, count);
const ALL_NODES = ['n0', 'n1', 'n2'];
const machinesIn = (day: ScenarioRun, zone: string): string[] =>
  [...day.environment.machines.values()]
    .filter((machine) => machine.zone === zone)
    .map((machine) => machine.id);

/** The troubles that our own drawn days are made of; their names are for messages. */
export const FAULTS: Readonly<Record<string, Fault>> = {
  outage: (random) =>
    temporaryFault(
      (day) => day.environment.state.setOutage(true),
      (day) => day.environment.state.setOutage(false),
      5 + random.below(55),
    ),
  slowState: (random) =>
    temporaryFault(
      (day) => (day.environment.maxStoreDelayMs = 1_200),
      (day) => (day.environment.maxStoreDelayMs = 0),
      20 + random.below(30),
    ),
  refusedBusiest: (random) =>
    temporaryFaultOn(
      (day) => day.busiestNode(),
      (day, node, on) =>
        on ? day.environment.state.refused.add(node) : day.environment.state.refused.delete(node),
      3 + random.below(30),
    ),
  refusedLeader: (random) =>
    temporaryFaultOn(
      (day) => day.holder('L'),
      (day, node, on) =>
        on ? day.environment.state.refused.add(node) : day.environment.state.refused.delete(node),
      3 + random.below(30),
    ),
  isolated: (random) =>
    temporaryFaultOn(
      (day) => day.busiestNode(),
      (day, node, on) => day.isolate(node, on),
      8 + random.below(30),
    ),
  peersRefuse: (random) =>
    temporaryFault(
      (day) =>
        ALL_NODES.forEach((node) =>
          day.environment.partition(
            node,
            ALL_NODES.map((other) => `mesh-${other}`),
          ),
        ),
      (day) => ALL_NODES.forEach((node) => day.environment.partition(node, [])),
      10 + random.below(30),
    ),
  lateWrites: (random) =>
    temporaryFault(
      (day) => (day.environment.lateWriteProbability = 0.2),
      (day) => (day.environment.lateWriteProbability = 0),
      15 + random.below(30),
    ),
  lateReports: (random) =>
    temporaryFault(
      (day) => (day.environment.lateHeartbeatProbability = 0.3),
      (day) => (day.environment.lateHeartbeatProbability = 0),
      30 + random.below(60),
    ),
  copies: (random) =>
    temporaryFault(
      (day) => {
        day.environment.duplicateProbability = 0.1;
        day.environment.duplicateDelaysMs = [1_000, 6_000, 20_000, 40_000];
      },
      (day) => (day.environment.duplicateProbability = 0),
      30 + random.below(60),
    ),
  loss: (random) =>
    temporaryFault(
      (day) => (day.environment.lossProbability = 0.03),
      (day) => (day.environment.lossProbability = 0),
      20 + random.below(40),
    ),
  deaf: (random) =>
    temporaryFaultOn(
      (day) => fullestMachines(day, 1 + random.below(3)),
      (day, ids, on) =>
        ids.forEach((id) => Object.assign(day.environment.machines.get(id) ?? {}, { deaf: on })),
      5 + random.below(50),
    ),
  mute: (random) =>
    temporaryFaultOn(
      (day) => fullestMachines(day, 1 + random.below(3)),
      (day, ids, on) =>
        ids.forEach((id) => Object.assign(day.environment.machines.get(id) ?? {}, { mute: on })),
      5 + random.below(50),
    ),
  cut: (random) =>
    temporaryFaultOn(
      (day) => fullestMachines(day, 1 + random.below(3)),
      (day, ids, on) =>
        ids.forEach((id) => Object.assign(day.environment.machines.get(id) ?? {}, { cut: on })),
      5 + random.below(40),
    ),
  hang: (random) => {
    const forS = 3 + random.below(40);
    return [
      [
        0,
        (day) =>
          fullestMachines(day, 1 + random.below(4)).forEach((id) =>
            Object.assign(day.environment.machines.get(id) ?? {}, { hungUntil: Date.now() + forS * 1_000 }),
          ),
      ],
      [forS, () => undefined],
    ];
  },
  /** Called off while their machines hang, or just before. */
  cancelHung: (random) => {
    const forS = 3 + random.below(45);
    return [
      [
        0,
        (day) => {
          const ids = fullestMachines(day, 3);
          day.cancelOn(ids);
          ids.forEach((id) =>
            Object.assign(day.environment.machines.get(id) ?? {}, { hungUntil: Date.now() + forS * 1_000 }),
          );
        },
      ],
      [forS, () => undefined],
    ];
  },
  cancels: (random) => [[0, (day) => day.cancelRunning(2 + random.below(6))]],
  dies: (random) => [
    [
      0,
      (day) =>
        fullestMachines(day, 1 + random.below(3)).forEach((id) => day.environment.terminateMachine(id)),
    ],
  ],
  crashBusiest: (random) => {
    let node = 'n0';
    return [
      [
        0,
        (day) => {
          node = day.busiestNode();
          day.cluster.stop(node);
        },
      ],
      [random.chance(0.5) ? 0.1 : 1 + random.below(12), (day) => day.cluster.start(node)],
    ];
  },
  crashAll: (random) => [
    [0, (day) => ALL_NODES.forEach((node) => day.cluster.stop(node))],
    [
      random.chance(0.5) ? 0.2 + random.below(4) : LEASE_S + 2 + random.below(10),
      (day) => ALL_NODES.forEach((node) => day.cluster.start(node)),
    ],
  ],
  roll: (random) => {
    const gapS = 2 + random.below(8);
    return ALL_NODES.flatMap((node, k) => [
      [k * gapS, (day: ScenarioRun) => day.cluster.stop(node)] as const,
      [k * gapS + 0.1 + random.below(3), (day: ScenarioRun) => day.cluster.start(node)] as const,
    ]);
  },
  /** The leaders change ten times within two minutes. */
  changes: () =>
    Array.from({ length: 10 }, (_, k) => {
      let node = 'n0';
      return [
        [
          k * 12,
          (day: ScenarioRun) => {
            node = day.busiestNode();
            day.cluster.stop(node);
          },
        ] as const,
        [k * 12 + 5.5, (day: ScenarioRun) => day.cluster.start(node)] as const,
      ];
    }).flat(),
  /** A zone with its workers and one controller: from all others, and what was said meanwhile comes late. */
  zoneCut: (random) =>
    temporaryFault(
      (day) => {
        day.environment.holdMessages('n1', ['state', 'cloud', 'n0', 'n2']);
        for (const node of ['n0', 'n2']) day.environment.holdMessages(node, machinesIn(day, 'y'));
      },
      (day) => ['n0', 'n1', 'n2'].forEach((node) => day.environment.holdMessages(node, [])),
      8 + random.below(40),
    ),
  heldReports: (random) =>
    temporaryFaultOn(
      (day) => ({ node: day.busiestNode(), ids: fullestMachines(day, 4) }),
      (day, found, on) => day.environment.holdMessages(found.node, on ? found.ids : []),
      4 + random.below(30),
    ),
};
const LEASE_S = 15;
