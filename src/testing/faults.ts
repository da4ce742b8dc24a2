import type { Luck } from './seeded-random.js';
import type { Play } from './scenario.js';

/** One trouble: what happens when, in s from its begin. */
export type Trouble = (luck: Luck) => readonly (readonly [number, (day: Play) => void])[];

/** Something that holds for a while. */
const spell = (on: (day: Play) => void, off: (day: Play) => void, forS: number): ReturnType<Trouble> => [
  [0, on],
  [forS, off],
];
/** The same for whatever `choose` finds at its begin. */
const spellOf = <T>(
  choose: (day: Play) => T,
  set: (day: Play, found: T, on: boolean) => void,
  forS: number,
): ReturnType<Trouble> => {
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
const some = (day: Play, count: number): string[] => day.working().slice(0, count);
const NODES_ALL = ['n0', 'n1', 'n2'];
const machinesIn = (day: Play, zone: string): string[] =>
  [...day.world.machines.values()].filter((machine) => machine.zone === zone).map((machine) => machine.id);

/** The troubles that our own drawn days are made of; their names are for messages. */
export const TROUBLES: Readonly<Record<string, Trouble>> = {
  outage: (luck) =>
    spell(
      (day) => day.world.state.outage(true),
      (day) => day.world.state.outage(false),
      5 + luck.below(55),
    ),
  slowState: (luck) =>
    spell(
      (day) => (day.world.stateSlowMs = 1_200),
      (day) => (day.world.stateSlowMs = 0),
      20 + luck.below(30),
    ),
  refusedBusiest: (luck) =>
    spellOf(
      (day) => day.busiest(),
      (day, node, on) => (on ? day.world.state.refused.add(node) : day.world.state.refused.delete(node)),
      3 + luck.below(30),
    ),
  refusedLeader: (luck) =>
    spellOf(
      (day) => day.holder('L'),
      (day, node, on) => (on ? day.world.state.refused.add(node) : day.world.state.refused.delete(node)),
      3 + luck.below(30),
    ),
  isolated: (luck) =>
    spellOf(
      (day) => day.busiest(),
      (day, node, on) => day.isolate(node, on),
      8 + luck.below(30),
    ),
  peersRefuse: (luck) =>
    spell(
      (day) =>
        NODES_ALL.forEach((node) =>
          day.world.sever(
            node,
            NODES_ALL.map((other) => `mesh-${other}`),
          ),
        ),
      (day) => NODES_ALL.forEach((node) => day.world.sever(node, [])),
      10 + luck.below(30),
    ),
  lateWrites: (luck) =>
    spell(
      (day) => (day.world.lateWrites = 0.2),
      (day) => (day.world.lateWrites = 0),
      15 + luck.below(30),
    ),
  lateReports: (luck) =>
    spell(
      (day) => (day.world.lateReports = 0.3),
      (day) => (day.world.lateReports = 0),
      30 + luck.below(60),
    ),
  copies: (luck) =>
    spell(
      (day) => {
        day.world.copies = 0.1;
        day.world.copyAfter = [1_000, 6_000, 20_000, 40_000];
      },
      (day) => (day.world.copies = 0),
      30 + luck.below(60),
    ),
  loss: (luck) =>
    spell(
      (day) => (day.world.loss = 0.03),
      (day) => (day.world.loss = 0),
      20 + luck.below(40),
    ),
  deaf: (luck) =>
    spellOf(
      (day) => some(day, 1 + luck.below(3)),
      (day, ids, on) => ids.forEach((id) => Object.assign(day.world.machines.get(id) ?? {}, { deaf: on })),
      5 + luck.below(50),
    ),
  mute: (luck) =>
    spellOf(
      (day) => some(day, 1 + luck.below(3)),
      (day, ids, on) => ids.forEach((id) => Object.assign(day.world.machines.get(id) ?? {}, { mute: on })),
      5 + luck.below(50),
    ),
  cut: (luck) =>
    spellOf(
      (day) => some(day, 1 + luck.below(3)),
      (day, ids, on) => ids.forEach((id) => Object.assign(day.world.machines.get(id) ?? {}, { cut: on })),
      5 + luck.below(40),
    ),
  hang: (luck) => {
    const forS = 3 + luck.below(40);
    return [
      [
        0,
        (day) =>
          some(day, 1 + luck.below(4)).forEach((id) =>
            Object.assign(day.world.machines.get(id) ?? {}, { hungUntil: Date.now() + forS * 1_000 }),
          ),
      ],
      [forS, () => undefined],
    ];
  },
  /** Called off while their machines hang, or just before. */
  cancelHung: (luck) => {
    const forS = 3 + luck.below(45);
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
  cancels: (luck) => [[0, (day) => day.cancelRunning(2 + luck.below(6))]],
  dies: (luck) => [[0, (day) => some(day, 1 + luck.below(3)).forEach((id) => day.world.kill(id))]],
  crashBusiest: (luck) => {
    let node = 'n0';
    return [
      [
        0,
        (day) => {
          node = day.busiest();
          day.cluster.down(node);
        },
      ],
      [luck.chance(0.5) ? 0.1 : 1 + luck.below(12), (day) => day.cluster.up(node)],
    ];
  },
  crashAll: (luck) => [
    [0, (day) => NODES_ALL.forEach((node) => day.cluster.down(node))],
    [
      luck.chance(0.5) ? 0.2 + luck.below(4) : LEASE_S + 2 + luck.below(10),
      (day) => NODES_ALL.forEach((node) => day.cluster.up(node)),
    ],
  ],
  roll: (luck) => {
    const gapS = 2 + luck.below(8);
    return NODES_ALL.flatMap((node, k) => [
      [k * gapS, (day: Play) => day.cluster.down(node)] as const,
      [k * gapS + 0.1 + luck.below(3), (day: Play) => day.cluster.up(node)] as const,
    ]);
  },
  /** The leaders change ten times within two minutes. */
  changes: () =>
    Array.from({ length: 10 }, (_, k) => {
      let node = 'n0';
      return [
        [
          k * 12,
          (day: Play) => {
            node = day.busiest();
            day.cluster.down(node);
          },
        ] as const,
        [k * 12 + 5.5, (day: Play) => day.cluster.up(node)] as const,
      ];
    }).flat(),
  /** A zone with its workers and one controller: from all others, and what was said meanwhile comes late. */
  zoneCut: (luck) =>
    spell(
      (day) => {
        day.world.hold('n1', ['state', 'cloud', 'n0', 'n2']);
        for (const node of ['n0', 'n2']) day.world.hold(node, machinesIn(day, 'y'));
      },
      (day) => ['n0', 'n1', 'n2'].forEach((node) => day.world.hold(node, [])),
      8 + luck.below(40),
    ),
  heldReports: (luck) =>
    spellOf(
      (day) => ({ node: day.busiest(), ids: some(day, 4) }),
      (day, found, on) => day.world.hold(found.node, on ? found.ids : []),
      4 + luck.below(30),
    ),
};
const LEASE_S = 15;
