/** Reservations: machines of one zone that are kept free for a job that finds no room. */

/** Part of its class's loosest start target for which a gang waits before machines are reserved for it. */
export const RESERVATION_DELAY_TARGET_FRACTION = 1 / 2;
/** Longest such wait. */
export const MAX_RESERVATION_DELAY_MS = 100_000;
/** The wait of a gang whose class has no start target. */
export const DEFAULT_RESERVATION_DELAY_MS = 60_000;
/** The wait of an array or service of which nothing runs yet; one machine is reserved for it. */
export const ARRAY_RESERVATION_DELAY_MS = 100_000;
/** Age at which a reservation that led to no start is given up; another may begin in another zone. */
export const MAX_RESERVATION_AGE_MS = 100_000;
