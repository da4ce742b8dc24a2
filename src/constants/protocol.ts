/** Versions of the protocol between controllers. A controller that sends no version counts as version 0. */

/** The version of this controller. */
export const PROTOCOL_VERSION = 2;
/** First version whose orders between controllers carry fencing tokens. */
export const FENCED_ORDERS_PROTOCOL_VERSION = 2;
/** First version that acknowledges cancellations. */
export const ACKNOWLEDGEMENT_PROTOCOL_VERSION = 1;
/** First version that supports jobs that depend on other jobs. */
export const PIPELINES_PROTOCOL_VERSION = 1;
/**
 * Interval between two checks whether every controller has announced its version. An upgrade takes minutes.
 */
export const PROTOCOL_VERSION_CHECK_INTERVAL_MS = 2_000;
