/**
 * Computes the pause between placement rounds from the processor time that rounds take. Owns the moving
 * average of that time; `RoundLoop` calls it after each round.
 */
import {
  MIN_PLACEMENT_ROUND_PAUSE_MS,
  PLACEMENT_ROUND_CORE_FRACTION,
  ROUND_AVERAGE_WEIGHT,
} from '../constants/placement.js';

/**
 * ms: the pause after a round that took `processorMs` (ms of processor time). The process may use
 * `coreFraction` of a core, at most a whole one, and rounds may use `PLACEMENT_ROUND_CORE_FRACTION` of that.
 */
export const pauseMs = (processorMs: number, coreFraction: number): number =>
  Math.max(
    MIN_PLACEMENT_ROUND_PAUSE_MS,
    processorMs * (1 / (Math.min(1, coreFraction) * PLACEMENT_ROUND_CORE_FRACTION) - 1),
  );

/**
 * Paces rounds by the moving average of their processor time. If the pause depended on the last round alone,
 * a round during which the engine collected garbage, or a round that stalled because the process had used up
 * its part of a core, would cause a pause of many seconds in which nothing is placed.
 */
export class RoundPacer {
  /** Moving average, in ms; null: no round has run yet. */
  private averageMs: number | null = null;

  constructor(private readonly coreFraction: number) {}

  /** Records a round's processor time (ms); returns the pause before the next round (ms). */
  pauseAfter(processorMs: number): number {
    // The first round counts in full: it takes as much processor time as the next few rounds together, since
    // no code is compiled yet and every job waits.
    const before = this.averageMs ?? processorMs;
    this.averageMs = before + (processorMs - before) * ROUND_AVERAGE_WEIGHT;
    return pauseMs(this.averageMs, this.coreFraction);
  }
}
