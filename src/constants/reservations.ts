/** Reservations: machines of one zone that are kept free for a waiting job that no zone has capacity for. */

/**
 * Fraction of its class's loosest start target for which a gang waits before machines are reserved for it.
 */
export const RESERVATION_DELAY_TARGET_FRACTION = 1 / 2;
/** Maximum of that waiting time. */
export const MAX_RESERVATION_DELAY_MS = 100_000;
/** Waiting time of a gang whose class has no start target. */
export const DEFAULT_RESERVATION_DELAY_MS = 60_000;
/** Waiting time of an array or service with no running task. One machine is reserved for it. */
export const ARRAY_RESERVATION_DELAY_MS = 100_000;
/**
 * Age at which a reservation that led to no start is given up. Another one may then begin in another zone.
 */
export const MAX_RESERVATION_AGE_MS = 100_000;
