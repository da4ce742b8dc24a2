import type { SeededRandom } from './seeded-random.js';
import type { ScenarioRun } from './scenario.js';

/** One trouble: what happens when, in s from its begin. */
export type Fault = (random: SeededRandom) => readonly (readonly [number, (day: ScenarioRun) => void])[];

/** Something that holds for a while. */
const spell = (
  on: (day: ScenarioRun) => void,
  off: (day: ScenarioRun) => void,
  forS: number,
): ReturnType<Fault> => [
  [0, on],
  [forS, off],
];
/** The same for whatever `choose` finds at its begin. */
const spellOf = <T>(
  choose: (day: ScenarioRun) => T,
  set: (day: ScenarioRun, found: T, on: boolean) => void,
  forS: number,
): ReturnType<Fault> => {
  let found: T | undefined;
  return spell(
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
const some = (day: ScenarioRun, count: number): string[] => day.working().slice(0, count);
const NODES_ALL = ['n0', 'n1', 'n2'];
const machinesIn = (day: ScenarioRun, zone: string): string[] =>
  [...day.world.machines.values()].filter((machine) => machine.zone === zone).map((machine) => machine.id);

/** The troubles that our own drawn days are made of; their names are for messages. */
export const FAULTS: Readonly<Record<string, Fault>> = {
  outage: (random) =>
    spell(
      (day) => day.world.state.outage(true),
      (day) => day.world.state.outage(false),
      5 + random.below(55),
    ),
  slowState: (random) =>
    spell(
      (day) => (day.world.stateSlowMs = 1_200),
      (day) => (day.world.stateSlowMs = 0),
      20 + random.below(30),
    ),
  refusedBusiest: (random) =>
    spellOf(
      (day) => day.busiest(),
      (day, node, on) => (on ? day.world.state.refused.add(node) : day.world.state.refused.delete(node)),
      3 + random.below(30),
    ),
  refusedLeader: (random) =>
    spellOf(
      (day) => day.holder('L'),
      (day, node, on) => (on ? day.world.state.refused.add(node) : day.world.state.refused.delete(node)),
      3 + random.below(30),
    ),
  isolated: (random) =>
    spellOf(
      (day) => day.busiest(),
      (day, node, on) => day.isolate(node, on),
      8 + random.below(30),
    ),
  peersRefuse: (random) =>
    spell(
      (day) =>
        NODES_ALL.forEach((node) =>
          day.world.sever(
            node,
            NODES_ALL.map((other) => `mesh-${other}`),
          ),
        ),
      (day) => NODES_ALL.forEach((node) => day.world.sever(node, [])),
      10 + random.below(30),
    ),
  lateWrites: (random) =>
    spell(
      (day) => (day.world.lateWrites = 0.2),
      (day) => (day.world.lateWrites = 0),
      15 + random.below(30),
    ),
  lateReports: (random) =>
    spell(
      (day) => (day.world.lateReports = 0.3),
      (day) => (day.world.lateReports = 0),
      30 + random.below(60),
    ),
  copies: (random) =>
    spell(
      (day) => {
        day.world.copies = 0.1;
        day.world.copyAfter = [1_000, 6_000, 20_000, 40_000];
      },
      (day) => (day.world.copies = 0),
      30 + random.below(60),
    ),
  loss: (random) =>
    spell(
      (day) => (day.world.loss = 0.03),
      (day) => (day.world.loss = 0),
      20 + random.below(40),
    ),
  deaf: (random) =>
    spellOf(
      (day) => some(day, 1 + random.below(3)),
      (day, ids, on) => ids.forEach((id) => Object.assign(day.world.machines.get(id) ?? {}, { deaf: on })),
      5 + random.below(50),
    ),
  mute: (random) =>
    spellOf(
      (day) => some(day, 1 + random.below(3)),
      (day, ids, on) => ids.forEach((id) => Object.assign(day.world.machines.get(id) ?? {}, { mute: on })),
      5 + random.below(50),
    ),
  cut: (random) =>
    spellOf(
      (day) => some(day, 1 + random.below(3)),
      (day, ids, on) => ids.forEach((id) => Object.assign(day.world.machines.get(id) ?? {}, { cut: on })),
      5 + random.below(40),
    ),
  hang: (random) => {
    const forS = 3 + random.below(40);
    return [
      [
        0,
        (day) =>
          some(day, 1 + random.below(4)).forEach((id) =>
            Object.assign(day.world.machines.get(id) ?? {}, { hungUntil: Date.now() + forS * 1_000 }),
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
          const ids = some(day, 3);
          day.cancelOn(ids);
          ids.forEach((id) =>
            Object.assign(day.world.machines.get(id) ?? {}, { hungUntil: Date.now() + forS * 1_000 }),
          );
        },
      ],
      [forS, () => undefined],
    ];
  },
  cancels: (random) => [[0, (day) => day.cancelRunning(2 + random.below(6))]],
  dies: (random) => [[0, (day) => some(day, 1 + random.below(3)).forEach((id) => day.world.kill(id))]],
  crashBusiest: (random) => {
    let node = 'n0';
    return [
      [
        0,
        (day) => {
          node = day.busiest();
          day.cluster.down(node);
        },
      ],
      [random.chance(0.5) ? 0.1 : 1 + random.below(12), (day) => day.cluster.up(node)],
    ];
  },
  crashAll: (random) => [
    [0, (day) => NODES_ALL.forEach((node) => day.cluster.down(node))],
    [
      random.chance(0.5) ? 0.2 + random.below(4) : LEASE_S + 2 + random.below(10),
      (day) => NODES_ALL.forEach((node) => day.cluster.up(node)),
    ],
  ],
  roll: (random) => {
    const gapS = 2 + random.below(8);
    return NODES_ALL.flatMap((node, k) => [
      [k * gapS, (day: ScenarioRun) => day.cluster.down(node)] as const,
      [k * gapS + 0.1 + random.below(3), (day: ScenarioRun) => day.cluster.up(node)] as const,
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
            node = day.busiest();
            day.cluster.down(node);
          },
        ] as const,
        [k * 12 + 5.5, (day: ScenarioRun) => day.cluster.up(node)] as const,
      ];
    }).flat(),
  /** A zone with its workers and one controller: from all others, and what was said meanwhile comes late. */
  zoneCut: (random) =>
    spell(
      (day) => {
        day.world.hold('n1', ['state', 'cloud', 'n0', 'n2']);
        for (const node of ['n0', 'n2']) day.world.hold(node, machinesIn(day, 'y'));
      },
      (day) => ['n0', 'n1', 'n2'].forEach((node) => day.world.hold(node, [])),
      8 + random.below(40),
    ),
  heldReports: (random) =>
    spellOf(
      (day) => ({ node: day.busiest(), ids: some(day, 4) }),
      (day, found, on) => day.world.hold(found.node, on ? found.ids : []),
      4 + random.below(30),
    ),
};
const LEASE_S = 15;
