/**
 * Access to the key-value store: timeouts, rates, and sizes of values and transactions. Times are in ms,
 * sizes in bytes, rates in requests or changes per second.
 */

/** Timeout of a read of one key, and of a transaction. */
export const STORE_REQUEST_TIMEOUT_MS = 1_500;
/** Timeout of a request for one page of a list. */
export const STORE_LIST_TIMEOUT_MS = 2 * STORE_REQUEST_TIMEOUT_MS;
/** Timeout of a lease request. Several such timeouts must fit into the lifetime of a lease. */
export const LEASE_REQUEST_TIMEOUT_MS = 1_000;
/** Delay before a failed request is repeated. */
export const STORE_RETRY_DELAY_MS = 300;
/** Number of entries on one page of a list. The key-value store allows at most 1,000. */
export const LIST_PAGE_ENTRIES = 500;
/** Maximum number of sockets for reads and transactions. */
export const STORE_SOCKETS = 12;
/** Maximum number of sockets for watches. */
export const WATCH_SOCKETS = 4;
/**
 * Maximum number of sockets for leases. They are separate, so that a renewal never waits for another request.
 */
export const LEASE_SOCKETS = 2;

/** Time for which the key-value store may hold a watch open while nothing changes. */
export const WATCH_TIMEOUT_MS = 4_000;
/** Timeout of the HTTP request of a watch. */
export const WATCH_REQUEST_TIMEOUT_MS = WATCH_TIMEOUT_MS + STORE_REQUEST_TIMEOUT_MS;
/** Fraction of the request rate that watches may use. Each change ends the watch of every controller. */
export const WATCH_REQUEST_FRACTION = 0.1;
/** Maximum age of this controller's copy of the keys for answers to users. It is longer than two watches. */
export const CACHE_FRESHNESS_MS = 10_000;

/** Time for which a user's read waits for other reads, so that one request confirms all of them. */
export const LINEARIZABLE_READ_BATCH_DELAY_MS = 250;
/**
 * Maximum number of conditions in one such request, as a multiple of the maximum number of changes in a
 * transaction.
 */
export const LINEARIZABLE_READ_BATCH_FACTOR = 2;
/** Number of attempts to confirm a batch. A conflict on some keys leaves the other keys unconfirmed. */
export const LINEARIZABLE_READ_ATTEMPTS = 3;

/** Delay before a user's request that the key-value store rejected with status 429 is repeated. */
export const RATE_LIMITED_RETRY_DELAY_MS = 120;
/** Maximum number of retries of such a request. */
export const MAX_RATE_LIMITED_RETRIES = 6;
/**
 * Fraction of the total rate that is divided evenly among the controllers, so that an idle controller can act
 * at once. The remainder is divided by demand.
 */
export const EVENLY_DIVIDED_RATE_FRACTION = 0.5;
/** Length of the window over which a controller's demand for rate is measured. */
export const RATE_DEMAND_WINDOW_MS = 2_000;
/** Fraction of a controller's rate that is reserved for lease requests and users' requests. */
export const RATE_RESERVE_FRACTION = 0.35;
/** Fraction of that reserve that transactions which bind tasks leave unused. */
export const BIND_RESERVE_FRACTION = 0.5;
/** Fraction of one second's rate by which lease requests and writes of claims may overdraw the rate. */
export const VITAL_OVERDRAFT_FRACTION = 0.1;
/**
 * Fraction of one second's rate that must be available before a batch is sent. The batch overdraws the rate
 * by the remainder, and later requests wait until that is repaid.
 */
export const BATCH_ADMISSION_FRACTION = 0.25;
/** Maximum time that a request waits for rate. After that it fails without having been sent. */
export const RATE_QUEUE_TIMEOUT_MS = 2_000;
/** Minimum interval between two checks of the queues of requests that wait for rate. */
export const MIN_RATE_QUEUE_CHECK_INTERVAL_MS = 10;
/** Maximum interval between two such checks. The rate may change between checks. */
export const MAX_RATE_QUEUE_CHECK_INTERVAL_MS = 250;

/**
 * Maximum size of one transaction as a fraction of one second's change rate. A larger transaction would delay
 * the others.
 */
export const TRANSACTION_RATE_FRACTION = 0.6;
/** Number of changes that one transaction may hold even if the rate is lower. */
export const MIN_TRANSACTION_CHANGES = 6;
/** Maximum size of one transaction, below the 64 KiB limit of its frame (protocol). */
export const MAX_TRANSACTION_BYTES = 56 * 1024;
/**
 * Maximum estimated size of a batch of records. The remainder of the transaction allows for the error of the
 * estimate.
 */
export const MAX_RECORD_BATCH_BYTES = MAX_TRANSACTION_BYTES / 2;

/**
 * Maximum estimated size of a record as a fraction of the maximum value size. The remainder allows for
 * escapes and longer names.
 */
export const VALUE_FILL_FRACTION = 0.85;
/** Size of the brackets around a JSON array. */
export const JSON_BRACKETS_BYTES = 2;
/** Size of the comma after an element of a JSON array. */
export const JSON_COMMA_BYTES = 1;
/** Number of tasks in one run record. 128 bindings of about 25 bytes stay below 4 KiB. */
export const TASKS_PER_RUN_RECORD = 128;
/** Size of a run record without its bindings: bit field, attempt, number of parts, and braces. */
export const RUN_RECORD_OVERHEAD_BYTES = 96;
/** Size of a run's key in a write and in a condition, with the names of their fields. */
export const RUN_WRITE_OVERHEAD_BYTES = 160;
/** Estimated size on the wire of a run record without its bindings. */
export const ESTIMATED_RUN_RECORD_BYTES = 120;
/** Estimated size on the wire of one binding: a task index, a machine name and an attempt number. */
export const ESTIMATED_BINDING_BYTES = 40;
/** Maximum size of the image names in a machine record. */
export const MAX_IMAGE_NAMES_BYTES = 512;
/** Maximum size of the image names as a fraction of the maximum value size. */
export const IMAGE_NAMES_VALUE_FRACTION = 0.25;
/** Size of one part of a dependency list without the job ids. */
export const DEPENDENCY_LIST_OVERHEAD_BYTES = 64;
