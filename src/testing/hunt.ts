/**
 * Days drawn from pairs of troubles against our own stand-ins, for days beyond those of the tests:
 * `node target/testing/hunt.js FROM TO [trouble trouble]` plays the seeds and prints those that broke a rule.
 */
import { ScenarioRun, type Scenario } from './scenario.js';
import { FAULTS } from './faults.js';
import { SeededRandom } from './seeded-random.js';

/** A day with troubles drawn from a seed. */
export const drawScenario = (
  seed: number,
  wanted: readonly string[] = [],
): Scenario & { readonly names: string } => {
  const random = new SeededRandom(seed);
  const all = Object.keys(FAULTS);
  const names: string[] = [...wanted];
  while (names.length < 3) names.push(all[random.below(all.length)] ?? 'outage');
  let at = 25 + random.below(30);
  const faults: Scenario['faults'][number][] = [];
  for (const name of names) {
    const fault = FAULTS[name]?.(random) ?? [];
    for (const [offset, happen] of fault) faults.push([at + offset, happen]);
    at += random.below(100) / 10 + (random.chance(0.3) ? 15 : 0);
  }
  const long = random.chance(0.5);
  const pipelines = seed % 2 === 0;
  if (pipelines)
    for (const after of [3, 9, 20]) faults.push([at + after - 12, (day) => day.cancelPipelines(1)]);
  return {
    names: names.join(' '),
    seed,
    jobs: pipelines ? 5 : 10 + random.below(8),
    pipelines: pipelines ? 4 + random.below(4) : 0,
    submissionIntervalS: 2 + random.below(4),
    taskDurationRangeS: long ? [40, 110] : [6, 25],
    faults,
  };
};

const [from, to, ...wanted] = process.argv.slice(2);
if (process.argv[1]?.endsWith('hunt.js') && from !== undefined) {
  let violatingScenarios = 0;
  for (let seed = Number(from); seed <= Number(to ?? from); seed += 1) {
    const day = drawScenario(seed, wanted);
    const found = await new ScenarioRun(day).run();
    if (found.length === 0) continue;
    violatingScenarios += 1;
    process.stdout.write(`${seed} [${day.names}] ${found.slice(0, 6).join('; ')}\n`);
  }
  process.stdout.write(`${from} to ${to ?? from}: ${violatingScenarios} days broke a rule\n`);
}
