/**
 * In histories of pauses, suspensions, clock jumps, and lost and late messages no late effect of a replaced
 * holder is carried out.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { HistorySimulation, type HistoryStep } from './testing/history.js';

/**
 * Number of histories in CI. For a manual run, `FENCING_HISTORIES` sets the number, and `FENCING_SEED` the
 * seed.
 */
const HISTORIES = Number(process.env.FENCING_HISTORIES ?? 400);
const SEED = Number(process.env.FENCING_SEED ?? 20_261_202);
const PROCESSES = 3;
const HOUR_MS = 3_600_000;
/** Maximum length of a shrunk history that is easy to read: two paused requests. */
const READABLE_STEPS = 20;

const anyProcess = fc.nat({ max: PROCESSES - 1 });
const advanceBy = (ms: number): HistoryStep => ({ _tag: 'advance', ms });

const single: fc.Arbitrary<HistoryStep> = fc.oneof(
  { weight: 6, arbitrary: fc.integer({ min: 1, max: 4_000 }).map(advanceBy) },
  { weight: 6, arbitrary: anyProcess.map((process): HistoryStep => ({ _tag: 'provision', process })) },
  { weight: 1, arbitrary: anyProcess.map((process): HistoryStep => ({ _tag: 'stop', process })) },
  { weight: 1, arbitrary: anyProcess.map((process): HistoryStep => ({ _tag: 'suspend', process })) },
  { weight: 3, arbitrary: anyProcess.map((process): HistoryStep => ({ _tag: 'resume', process })) },
  {
    weight: 1,
    arbitrary: fc
      .tuple(anyProcess, fc.integer({ min: -HOUR_MS, max: HOUR_MS }))
      .map(([process, ms]): HistoryStep => ({ _tag: 'setTime', process, ms })),
  },
  {
    weight: 3,
    arbitrary: fc
      .tuple(fc.nat({ max: 9 }), fc.boolean())
      .map(([index, again]): HistoryStep => ({ _tag: 'deliver', index, again })),
  },
  {
    weight: 1,
    arbitrary: fc
      .constantFrom('answer lost' as const, 'late' as const, 'refused' as const)
      .map((how): HistoryStep => ({ _tag: 'nextWrite', how })),
  },
  { weight: 1, arbitrary: fc.constant<HistoryStep>({ _tag: 'deliverWrites' }) },
);

/**
 * A process sends a request, and is paused for about the duration of a lease at some point. Single random
 * steps rarely result in this.
 */
const pausedRequest: fc.Arbitrary<readonly HistoryStep[]> = fc
  .record({
    process: anyProcess,
    how: fc.constantFrom('stop' as const, 'suspend' as const),
    stepsBefore: fc.nat({ max: 2 }),
    pauses: fc.array(fc.integer({ min: 500, max: 4_000 }), { minLength: 1, maxLength: 5 }),
  })
  .map(({ process, how, stepsBefore, pauses }): readonly HistoryStep[] => [
    advanceBy(1),
    advanceBy(1),
    { _tag: 'provision', process },
    ...Array.from({ length: stepsBefore }, () => advanceBy(1)),
    { _tag: how, process },
    ...pauses.map(advanceBy),
    { _tag: 'resume', process },
  ]);

const history: fc.Arbitrary<readonly HistoryStep[]> = fc
  .array(
    fc.oneof(
      { weight: 3, arbitrary: single.map((step): readonly HistoryStep[] => [step]) },
      { weight: 1, arbitrary: pausedRequest },
    ),
    { minLength: 4, maxLength: 30 },
  )
  .map((parts) => parts.flat());

const runHistory = async (
  steps: readonly HistoryStep[],
  enforceFencing: boolean,
): Promise<HistorySimulation> => {
  const simulation = new HistorySimulation(PROCESSES, enforceFencing);
  await simulation.run(steps);
  return simulation;
};

test(`histories: no late action is carried out in ${HISTORIES} random ones`, async () => {
  let refused = 0;
  await fc.assert(
    fc.asyncProperty(history, async (steps) => {
      const simulation = await runHistory(steps, true);
      refused += simulation.audit.refusalCount;
      assert.deepEqual(simulation.violations, []);
    }),
    { seed: SEED, numRuns: HISTORIES },
  );
  // Histories without a late action would not test fencing.
  assert.ok(refused > 0, 'some late actions were refused');
  if (process.env.FENCING_HISTORIES !== undefined)
    console.log(`${HISTORIES} histories from seed ${SEED}: ${refused} late actions refused, none landed`);
});

test('histories: without fencing the checker finds a late action, and shrinks its history to a few steps', async () => {
  const found = await fc.check(
    fc.asyncProperty(history, async (steps) => (await runHistory(steps, false)).violations.length === 0),
    { seed: SEED, numRuns: HISTORIES },
  );
  assert.ok(found.failed, 'the checker would not notice a missing fence');
  const [steps] = found.counterexample ?? [[]];
  assert.ok(steps.length <= READABLE_STEPS, JSON.stringify(steps));
  const { violations } = await runHistory(steps, false);
  assert.equal(violations[0]?.rule, 'late send');
  assert.deepEqual((await runHistory(steps, true)).violations, [], 'fencing prevents the late action');
});

/** The first process acquires the duty; after the pause a successor holds it. */
const acquireDuty: readonly HistoryStep[] = [advanceBy(1), advanceBy(1), advanceBy(1)];
const pause: readonly HistoryStep[] = [advanceBy(4_000), advanceBy(1_200), advanceBy(10), advanceBy(10)];
const resumeFirst: readonly HistoryStep[] = [{ _tag: 'resume', process: 0 }, advanceBy(10), advanceBy(10)];
const provision: HistoryStep = { _tag: 'provision', process: 0 };
const stop: HistoryStep = { _tag: 'stop', process: 0 };
const suspend: HistoryStep = { _tag: 'suspend', process: 0 };
const deliverRequest: HistoryStep = { _tag: 'deliver', index: 0, again: false };

const scripted: readonly {
  name: string;
  steps: readonly HistoryStep[];
  /** Whether the same history has a violation without fencing. */
  needsFencing: boolean;
}[] = [
  {
    name: 'stopped between decision and intent: the key-value store refuses the intent',
    steps: [
      ...acquireDuty,
      { _tag: 'nextWrite', how: 'late' },
      provision,
      stop,
      ...pause,
      { _tag: 'deliverWrites' },
      ...resumeFirst,
      deliverRequest,
    ],
    needsFencing: false,
  },
  {
    name: 'stopped between intent and call: the call is withheld',
    steps: [...acquireDuty, provision, advanceBy(1), stop, ...pause, ...resumeFirst, deliverRequest],
    needsFencing: true,
  },
  {
    name: 'stopped between call and answer: the successor repeats it, and the late call provisions nothing',
    steps: [
      ...acquireDuty,
      provision,
      advanceBy(1),
      advanceBy(1),
      stop,
      ...pause,
      deliverRequest,
      ...resumeFirst,
    ],
    needsFencing: false,
  },
  {
    name: 'host suspended between intent and call: the steady clock shows no elapsed time',
    steps: [...acquireDuty, provision, advanceBy(1), suspend, ...pause, ...resumeFirst, deliverRequest],
    needsFencing: true,
  },
  {
    name: 'the wall clock of the holder is set back an hour, then its host is suspended',
    steps: [
      ...acquireDuty,
      { _tag: 'setTime', process: 0, ms: -HOUR_MS },
      provision,
      advanceBy(1),
      suspend,
      ...pause,
      ...resumeFirst,
    ],
    needsFencing: true,
  },
  {
    name: 'two changes of holder within one pause',
    steps: [
      ...acquireDuty,
      provision,
      advanceBy(1),
      stop,
      ...pause,
      { _tag: 'provision', process: 1 },
      advanceBy(1),
      { _tag: 'stop', process: 1 },
      ...pause,
      ...resumeFirst,
      { _tag: 'resume', process: 1 },
      advanceBy(10),
      deliverRequest,
      deliverRequest,
    ],
    needsFencing: true,
  },
  {
    name: 'lost and regained by the same process, while a call under the earlier token waits',
    steps: [
      ...acquireDuty,
      provision,
      advanceBy(1),
      stop,
      ...pause,
      { _tag: 'stop', process: 1 },
      { _tag: 'stop', process: 2 },
      advanceBy(4_000),
      advanceBy(1_200),
      { _tag: 'resume', process: 0 },
      advanceBy(1),
      advanceBy(1),
      deliverRequest,
    ],
    needsFencing: true,
  },
  {
    name: 'the wall clock of the holder jumps forward: at most the duty is lost',
    steps: [
      ...acquireDuty,
      { _tag: 'setTime', process: 0, ms: HOUR_MS },
      provision,
      advanceBy(1),
      advanceBy(1),
      deliverRequest,
    ],
    needsFencing: false,
  },
];
for (const row of scripted) {
  test(`history: ${row.name}`, async () => {
    assert.deepEqual((await runHistory(row.steps, true)).violations, []);
    assert.equal(
      (await runHistory(row.steps, false)).violations.length > 0,
      row.needsFencing,
      'without fencing',
    );
  });
}
