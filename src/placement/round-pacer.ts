/**
 * How long placement rests between rounds, by the processor time that rounds take. Owns the running average;
 * `RoundLoop` asks it after each round.
 */
import {
  MIN_PLACEMENT_ROUND_PAUSE_MS,
  PLACEMENT_ROUND_CORE_FRACTION,
  ROUND_AVERAGE_WEIGHT,
} from '../constants/placement.js';

/**
 * ms of rest that a round of so much processor time (ms) earns: the process has a fraction of a core, and
 * rounds a fraction of that.
 */
export const pauseMs = (processorMs: number, coreFraction: number): number =>
  Math.max(
    MIN_PLACEMENT_ROUND_PAUSE_MS,
    processorMs * (1 / (Math.min(1, coreFraction) * PLACEMENT_ROUND_CORE_FRACTION) - 1),
  );

/**
 * Paces rounds by the average over the last ones: a single round during which the engine collected garbage,
 * or which stood still because the process had used up its part of a core, would else earn a rest of many
 * seconds, in which nothing is placed.
 */
export class RoundPacer {
  /** ms; null: no round yet. */
  private average: number | null = null;

  constructor(private readonly coreFraction: number) {}

  /** Takes note of a round's processor time (ms); returns the rest before the next (ms). */
  pauseAfter(processorMs: number): number {
    // The first costs as much as the next few: nothing is compiled yet, and everything waits.
    const before = this.average ?? processorMs;
    this.average = before + (processorMs - before) * ROUND_AVERAGE_WEIGHT;
    return pauseMs(this.average, this.coreFraction);
  }
}
