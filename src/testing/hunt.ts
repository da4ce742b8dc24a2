/**
 * Days drawn from pairs of troubles against our own stand-ins, for days beyond those of the tests:
 * `node target/testing/hunt.js FROM TO [trouble trouble]` plays the seeds and prints those that broke a rule.
 */
import { Play, type Day } from './scenario.js';
import { TROUBLES } from './faults.js';
import { Luck } from './seeded-random.js';

/** A day with troubles drawn from a seed. */
export const drawDay = (seed: number, wanted: readonly string[] = []): Day & { readonly names: string } => {
  const luck = new Luck(seed);
  const all = Object.keys(TROUBLES);
  const names: string[] = [...wanted];
  while (names.length < 3) names.push(all[luck.below(all.length)] ?? 'outage');
  let at = 25 + luck.below(30);
  const troubles: Day['troubles'][number][] = [];
  for (const name of names) {
    const trouble = TROUBLES[name]?.(luck) ?? [];
    for (const [offset, happen] of trouble) troubles.push([at + offset, happen]);
    at += luck.below(100) / 10 + (luck.chance(0.3) ? 15 : 0);
  }
  const long = luck.chance(0.5);
  const pipelines = seed % 2 === 0;
  if (pipelines)
    for (const after of [3, 9, 20]) troubles.push([at + after - 12, (day) => day.cancelPipelines(1)]);
  return {
    names: names.join(' '),
    seed,
    jobs: pipelines ? 5 : 10 + luck.below(8),
    pipelines: pipelines ? 4 + luck.below(4) : 0,
    everyS: 2 + luck.below(4),
    runS: long ? [40, 110] : [6, 25],
    troubles,
  };
};

const [from, to, ...wanted] = process.argv.slice(2);
if (process.argv[1]?.endsWith('hunt.js') && from !== undefined) {
  let broken = 0;
  for (let seed = Number(from); seed <= Number(to ?? from); seed += 1) {
    const day = drawDay(seed, wanted);
    const found = await new Play(day).run();
    if (found.length === 0) continue;
    broken += 1;
    process.stdout.write(`${seed} [${day.names}] ${found.slice(0, 6).join('; ')}\n`);
  }
  process.stdout.write(`${from} to ${to ?? from}: ${broken} days broke a rule\n`);
}
