/** The clocks of one controller, built once by the context. The lease clock keeps what it has counted. */
import { SuspensionAwareClock } from '@dalegate/fencing';
import { log } from '../log.js';
import type { Features } from '../settings/features.js';
import type { Ports } from './ports.js';

/** The clocks of one controller. */
export interface Clocks {
  /** ms, steady. Evidence that something is over elsewhere is measured by it, since it never runs ahead. */
  readonly steady: () => number;
  /**
   * ms, steady, counting suspensions of the host. What is known of the key-value store and of peers ages by
   * it.
   */
  readonly lease: () => number;
  /** ms since the epoch. */
  readonly wall: () => number;
}

/** Creates the clocks; without fencing the lease clock is the steady one. */
export const createClocks = (ports: Ports, features: Features, clockErrorMs: number): Clocks => {
  const { now: steady, wall } = ports;
  if (!features.fencing) return { steady, lease: steady, wall };
  const clock = new SuspensionAwareClock(
    { steady, timeOfDay: wall, timeOfDayErrorMs: clockErrorMs },
    (gapMs) => log.info({ event: 'clock.suspension_detected', gapMs }),
  );
  return { steady, lease: clock.now, wall };
};
