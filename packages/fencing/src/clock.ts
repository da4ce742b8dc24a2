/**
 * A clock for deciding whether a lease may still be valid. The steady clock of a suspended host stops while
 * leases expire elsewhere; the wall clock continues, but an operator may set it. This clock counts time as
 * elapsed if either of the two shows it, and thus counts suspensions. A forward jump of the wall clock makes
 * a lease look older than it is; at worst, this process then loses its duty. A backward jump does not make a
 * lease look younger.
 *
 * Evidence that something has *ended* elsewhere, for example a worker's lease, must not be measured with this
 * clock, since it may run ahead of real time.
 *
 * State: each clock owns its anchor (a reading of both sources) and the time that it has added.
 */

/**
 * ms: interval at which the anchor is renewed, so that the drift between the two clocks never adds up to a
 * difference above the tolerance.
 */
const ANCHOR_RENEWAL_INTERVAL_MS = 5_000;
/**
 * ms: tolerated delay between the readings of the two clocks, since the process may be descheduled in
 * between.
 */
const READING_DELAY_TOLERANCE_MS = 20;
/** An interval is measured with two readings, and each of them may have an error of either sign. */
const READINGS_PER_INTERVAL = 2;

/** The two clocks that a {@link SuspensionAwareClock} reads. */
export interface ClockSources {
  /** The steady clock, in ms: it is never set, and stops while the host is suspended. */
  readonly steady: () => number;
  /** The wall clock, in ms since the epoch. */
  readonly timeOfDay: () => number;
  /** ms: maximum deviation of the wall clock from true time. */
  readonly timeOfDayErrorMs: number;
}

/** A steady clock that also counts the time for which its host was suspended. */
export class SuspensionAwareClock {
  private anchorSteady: number;
  private anchorTimeOfDay: number;
  /** ms: total of the suspensions and forward jumps that were detected. */
  private addedMs = 0;
  /** ms: a difference between the clocks up to this value is clock error, not a suspension. */
  readonly toleranceMs: number;

  constructor(
    private readonly sources: ClockSources,
    /** Called with the length (ms) of each suspension or forward jump that was detected. */
    private readonly onGap: (gapMs: number) => void = () => undefined,
  ) {
    this.toleranceMs = READINGS_PER_INTERVAL * sources.timeOfDayErrorMs + READING_DELAY_TOLERANCE_MS;
    this.anchorSteady = sources.steady();
    this.anchorTimeOfDay = sources.timeOfDay();
  }

  /** Returns the time in ms: it never decreases, and never advances slower than the steady clock. */
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
