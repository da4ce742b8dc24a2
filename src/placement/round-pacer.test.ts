/** What placement rounds may cost of a core. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  MIN_PLACEMENT_ROUND_PAUSE_MS,
  PLACEMENT_ROUND_CORE_FRACTION,
  ROUND_AVERAGE_WEIGHT,
} from '../constants/placement.js';
import { pauseMs, RoundPacer } from './round-pacer.js';

const rests: readonly { name: string; roundMs: number; coreFraction: number; usedFraction: number }[] = [
  { name: 'a short round', roundMs: 0.5, coreFraction: 0.136, usedFraction: 0.002 },
  {
    name: 'a round of a backlog on a small part of a core',
    roundMs: 30,
    coreFraction: 0.136,
    usedFraction: 0.0163,
  },
  { name: 'the same on a larger part', roundMs: 60, coreFraction: 0.357, usedFraction: 0.0428 },
  { name: 'a whole core', roundMs: 200, coreFraction: 1, usedFraction: 0.12 },
  { name: 'several cores, of which one process uses one', roundMs: 200, coreFraction: 4, usedFraction: 0.12 },
];
for (const row of rests) {
  // Rounds of hundreds of waiting gangs leave most of a core to everything else.
  test(`rounds: ${row.name} leaves the rest to reports and users`, () => {
    const rest = pauseMs(row.roundMs, row.coreFraction);
    assert.ok(rest >= MIN_PLACEMENT_ROUND_PAUSE_MS);
    const part = row.roundMs / (row.roundMs + rest);
    assert.ok(
      part <= Math.min(1, row.coreFraction) * PLACEMENT_ROUND_CORE_FRACTION + 1e-9,
      `${part} of a core`,
    );
    assert.ok(Math.abs(part - row.usedFraction) < 0.001, `${part} of a core`);
  });
}

test('rounds: a single costly one does not stop placement, and its cost is still paid for', () => {
  // A collection of garbage within a round, for instance.
  const pacer = new RoundPacer(0.136);
  const usual = 5;
  for (let k = 0; k < 50; k += 1) pacer.pauseAfter(usual);
  const usualRest = pacer.pauseAfter(usual);
  const rests = [pacer.pauseAfter(60), ...Array.from({ length: 60 }, () => pacer.pauseAfter(usual))];
  assert.ok(Math.max(...rests) <= pauseMs(usual + 60 * ROUND_AVERAGE_WEIGHT, 0.136));
  const more = rests.reduce((sum, rest) => sum + rest - usualRest, 0);
  assert.ok(more > pauseMs(59, 0.136) * 0.8, `${more} ms`);
});
