/**
 * A clock that tells whether a lease may still be relied on. The steady clock of a suspended host stands
 * still while leases expire elsewhere; the time of day goes on, but somebody may set it. Time counts as
 * passed when either of the two says so: a suspension and a jump forward both make a lease look older than
 * it is, which costs at most the duty, and a jump back gives nothing.
 *
 * Evidence that something is *over* elsewhere (a worker's lease, say) must not use this clock: it may run
 * ahead.
 *
 * State: each clock owns its anchor (a reading of both sources) and the time that it has added.
 */

/**
 * ms: the anchor is renewed this often, so that drift between the two clocks never adds up to a difference
 * that counts.
 */
const ANCHOR_RENEWAL_INTERVAL_MS = 5_000;
/** ms: two clocks are read one after the other, and a timer's turn may end in between. */
const READING_DELAY_TOLERANCE_MS = 20;
/**
 * Clocks read as bounded by their error on both sides: an error of either sign may begin and end the
 * interval.
 */
const READINGS_PER_INTERVAL = 2;

/** What the clock reads. */
export interface ClockSources {
  /** ms, steady. */
  readonly steady: () => number;
  /** ms since the epoch. */
  readonly timeOfDay: () => number;
  /** ms: how far the time of day may be from true time. */
  readonly timeOfDayErrorMs: number;
}

/** A steady clock that also counts the time for which its host stood still. */
export class SuspensionAwareClock {
  private anchorSteady: number;
  private anchorTimeOfDay: number;
  /** ms: suspensions and jumps forward so far. */
  private addedMs = 0;
  /** ms: differences up to this much are clock error, not suspension. */
  readonly toleranceMs: number;

  constructor(
    private readonly sources: ClockSources,
    /** Told of each suspension or jump forward that was found (ms). */
    private readonly onGap: (gapMs: number) => void = () => undefined,
  ) {
    this.toleranceMs = READINGS_PER_INTERVAL * sources.timeOfDayErrorMs + READING_DELAY_TOLERANCE_MS;
    this.anchorSteady = sources.steady();
    this.anchorTimeOfDay = sources.timeOfDay();
  }

  /** ms: never goes back, never behind the steady clock's own pace. */
  readonly now = (): number => {
    const steady = this.sources.steady();
    const timeOfDay = this.sources.timeOfDay();
    const gapMs = timeOfDay - this.anchorTimeOfDay - (steady - this.anchorSteady);
    if (gapMs > this.toleranceMs) {
      this.addedMs += gapMs;
      this.setAnchor(steady, timeOfDay);
      this.onGap(gapMs);
    } else if (gapMs < -this.toleranceMs || steady - this.anchorSteady >= ANCHOR_RENEWAL_INTERVAL_MS) {
      this.setAnchor(steady, timeOfDay);
    }
    return steady + this.addedMs;
  };

  private setAnchor(steady: number, timeOfDay: number): void {
    this.anchorSteady = steady;
    this.anchorTimeOfDay = timeOfDay;
  }
}
