/**
 * The clocks of one controller, created once by the context. The lease clock keeps state between readings.
 */
import { SuspensionAwareClock } from '@dalegate/fencing';
import { log } from '../log.js';
import type { Features } from '../settings/features.js';
import type { Ports } from './ports.js';

/** The clocks of one controller. */
export interface Clocks {
  /**
   * The steady clock (ms). It never runs ahead of real time, so the controller uses it to conclude that a
   * period elsewhere, such as the lease of a worker, has ended.
   */
  readonly steady: () => number;
  /**
   * A steady clock that also counts the time for which the host was suspended (ms). It measures the age of
   * information about the key-value store and about peers.
   */
  readonly lease: () => number;
  /** The time of day (ms since the epoch). */
  readonly wall: () => number;
}

/** Creates the clocks. With fencing disabled, the lease clock is the steady clock. */
export const createClocks = (ports: Ports, features: Features, clockErrorMs: number): Clocks => {
  const { now: steady, wall } = ports;
  if (!features.fencing) return { steady, lease: steady, wall };
  const clock = new SuspensionAwareClock(
    { steady, timeOfDay: wall, timeOfDayErrorMs: clockErrorMs },
    (gapMs) => log.info({ event: 'clock.suspension_detected', gapMs }),
  );
  return { steady, lease: clock.now, wall };
};
