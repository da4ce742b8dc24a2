/**
 * Runs drawn scenarios with combined faults against the stand-ins, for more seeds than the tests run:
 * `node target/testing/hunt.js FROM TO [fault fault]` runs the seeds and prints those that violate a rule;
 * `repeatedCommands` is drawn only where it is named.
 */
import { ScenarioRun, type Scenario } from './scenario.js';
import { faultNamed, FAULTS } from './faults.js';
import { SeededRandom } from './seeded-random.js';

/** Draws a scenario from a seed: the wanted faults, filled up to three with random ones. */
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
    const fault = faultNamed(name)?.(random) ?? [];
    for (const [offset, happen] of fault) faults.push([at + offset, happen]);
    at += random.below(100) / 10 + (random.chance(0.3) ? 15 : 0);
  }
  const long = random.chance(0.5);
  const pipelines = seed % 2 === 0;
  if (pipelines)
    for (const after of [3, 9, 20]) faults.push([at + after - 12, (run) => run.cancelPipelines(1)]);
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
    const scenario = drawScenario(seed, wanted);
    const found = await new ScenarioRun(scenario).run();
    if (found.length === 0) continue;
    violatingScenarios += 1;
    process.stdout.write(`${seed} [${scenario.names}] ${found.slice(0, 6).join('; ')}\n`);
  }
  process.stdout.write(`${from} to ${to ?? from}: ${violatingScenarios} scenarios violated a rule\n`);
}
