/** Tests of the part of a core that placement rounds may use. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  MIN_PLACEMENT_ROUND_PAUSE_MS,
  PLACEMENT_ROUND_CORE_FRACTION,
  ROUND_AVERAGE_WEIGHT,
} from '../constants/placement.js';
import { pauseMs, RoundPacer } from './round-pacer.js';

const cases: readonly { name: string; roundMs: number; coreFraction: number; usedFraction: number }[] = [
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
for (const row of cases) {
  // Guards against rounds with hundreds of waiting gangs, which used most of a core.
  test(`rounds: ${row.name} leaves most of the core to heartbeats and users`, () => {
    const pause = pauseMs(row.roundMs, row.coreFraction);
    assert.ok(pause >= MIN_PLACEMENT_ROUND_PAUSE_MS);
    const fraction = row.roundMs / (row.roundMs + pause);
    assert.ok(
      fraction <= Math.min(1, row.coreFraction) * PLACEMENT_ROUND_CORE_FRACTION + 1e-9,
      `${fraction} of a core`,
    );
    assert.ok(Math.abs(fraction - row.usedFraction) < 0.001, `${fraction} of a core`);
  });
}

test('rounds: a single expensive round does not stop placement, and later pauses make up for it', () => {
  // For example a round during which the engine collects garbage.
  const pacer = new RoundPacer(0.136);
  const usualMs = 5;
  for (let k = 0; k < 50; k += 1) pacer.pauseAfter(usualMs);
  const usualPause = pacer.pauseAfter(usualMs);
  const pauses = [pacer.pauseAfter(60), ...Array.from({ length: 60 }, () => pacer.pauseAfter(usualMs))];
  assert.ok(Math.max(...pauses) <= pauseMs(usualMs + 60 * ROUND_AVERAGE_WEIGHT, 0.136));
  const extraMs = pauses.reduce((sum, pause) => sum + pause - usualPause, 0);
  assert.ok(extraMs > pauseMs(59, 0.136) * 0.8, `${extraMs} ms`);
});
