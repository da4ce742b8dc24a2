import {
  MIN_PLACEMENT_ROUND_PAUSE_MS,
  PLACEMENT_ROUND_CORE_FRACTION,
  ROUND_AVERAGE_WEIGHT,
} from '../constants/placement.js';

/**
 * ms of rest that a round of so much processor time earns: its node has a part of a core, and rounds a part
 * of that.
 */
export const restMs = (processorMs: number, coreFraction: number): number =>
  Math.max(
    MIN_PLACEMENT_ROUND_PAUSE_MS,
    processorMs * (1 / (Math.min(1, coreFraction) * PLACEMENT_ROUND_CORE_FRACTION) - 1),
  );

/**
 * How long placement rests between rounds. It goes by the processor time of the last rounds, averaged: a
 * single round during which the engine collected garbage, or which stood still because the node had used up
 * its part of a core, would else earn a rest of many seconds, in which nothing is placed.
 */
export class RoundPacer {
  /** ms; null: no round yet. */
  private average: number | null = null;

  constructor(private readonly coreFraction: number) {}

  /** Takes note of a round's processor time (ms); returns the rest before the next (ms). */
  restAfter(processorMs: number): number {
    // The first is as dear as the next few: nothing is compiled yet, and everything waits.
    const before = this.average ?? processorMs;
    this.average = before + (processorMs - before) * ROUND_AVERAGE_WEIGHT;
    return restMs(this.average, this.coreFraction);
  }
}
