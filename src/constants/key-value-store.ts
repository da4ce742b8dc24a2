/**
 * Access to the key-value store: timeouts, rates, and sizes of values and transactions. Times are in ms,
 * sizes in bytes, rates in requests or changes a second.
 */

/** Timeout of a read of one key, or of a transaction. */
export const STORE_REQUEST_TIMEOUT_MS = 1_500;
/** Timeout of a list of one page. */
export const STORE_LIST_TIMEOUT_MS = 2 * STORE_REQUEST_TIMEOUT_MS;
/** Timeout of a lease request; several must fit in one lease. */
export const LEASE_REQUEST_TIMEOUT_MS = 1_000;
/** Pause after a request that failed. */
export const STORE_RETRY_DELAY_MS = 300;
/** Entries of one page of a list; the store's own bound is 1,000. */
export const LIST_PAGE_ENTRIES = 500;
/** Sockets for reads and transactions. */
export const STORE_SOCKETS = 12;
/** Sockets for watches. */
export const WATCH_SOCKETS = 4;
/** Sockets for leases, so that a renewal never waits for another call. */
export const LEASE_SOCKETS = 2;

/** How long the store may hold a watch open when nothing changes. */
export const WATCH_TIMEOUT_MS = 4_000;
/** Timeout of the request that carries a watch. */
export const WATCH_REQUEST_TIMEOUT_MS = WATCH_TIMEOUT_MS + STORE_REQUEST_TIMEOUT_MS;
/** Part of the request rate that watches may use: each change ends the watch of every controller. */
export const WATCH_REQUEST_FRACTION = 0.1;
/** Age up to which users are answered from this controller's copy of the keys: more than two watches. */
export const CACHE_FRESHNESS_MS = 10_000;

/** How long users' reads wait for others, to be confirmed in one request. */
export const LINEARIZABLE_READ_BATCH_DELAY_MS = 250;
/** Conditions in one such request, as a multiple of the changes that a transaction may hold. */
export const LINEARIZABLE_READ_BATCH_FACTOR = 2;
/** Attempts to confirm a batch, since each conflict leaves the others unconfirmed. */
export const LINEARIZABLE_READ_ATTEMPTS = 3;

/** Pause before a user's call that the store had no rate left for is sent again. */
export const RATE_LIMITED_RETRY_DELAY_MS = 120;
/** How often such a call is sent again. */
export const MAX_RATE_LIMITED_RETRIES = 6;
/** Part of the common rate that is divided evenly, so that an idle controller can act at once. */
export const EVENLY_DIVIDED_RATE_FRACTION = 0.5;
/** Window over which a controller's demand for rate is measured. */
export const RATE_DEMAND_WINDOW_MS = 2_000;
/** Part of a controller's rate that only lease requests and users' calls may use. */
export const RATE_RESERVE_FRACTION = 0.35;
/** Part of that reserve that transactions which bind tasks leave alone. */
export const BIND_RESERVE_FRACTION = 0.5;
/** Part of a second's rate by which lease requests and writes of shard leases may overdraw it. */
export const VITAL_OVERDRAFT_FRACTION = 0.1;
/** Part of a second's rate that must be available before a batch passes; the rest is paid back afterwards. */
export const BATCH_ADMISSION_FRACTION = 0.25;
/** Longest wait for rate before a call is given up as not carried out. */
export const RATE_QUEUE_TIMEOUT_MS = 2_000;
/** Shortest pause between two checks of the queues for rate. */
export const MIN_RATE_QUEUE_CHECK_INTERVAL_MS = 10;
/** Longest pause between two checks of the queues, since the rate may change in between. */
export const MAX_RATE_QUEUE_CHECK_INTERVAL_MS = 250;

/** Part of a second's change rate that one transaction holds; a larger one would hold up the others. */
export const TRANSACTION_RATE_FRACTION = 0.6;
/** Changes that one transaction may hold however low the rate. */
export const MIN_TRANSACTION_CHANGES = 6;
/** Size of one transaction; its frame is limited to 64 KiB (protocol). */
export const MAX_TRANSACTION_BYTES = 56 * 1024;
/** Estimated size of a batch of records; the rest of the transaction is left for the estimate's error. */
export const MAX_RECORD_BATCH_BYTES = MAX_TRANSACTION_BYTES / 2;

/** Part of the largest value that a record's estimated size may take, for escapes and longer names. */
export const VALUE_FILL_FRACTION = 0.85;
/** Brackets around an array in JSON. */
export const JSON_BRACKETS_BYTES = 2;
/** Comma after an element of an array in JSON. */
export const JSON_COMMA_BYTES = 1;
/** Tasks in one run record; 128 bindings of about 25 bytes stay below 4 KiB. */
export const TASKS_PER_RUN_RECORD = 128;
/** A run record without its bindings: bit field, attempt, number of parts, and braces. */
export const RUN_RECORD_OVERHEAD_BYTES = 96;
/** A run's key, in a write and in a condition, with the names of their fields. */
export const RUN_WRITE_OVERHEAD_BYTES = 160;
/** Estimate of a run record on the wire without its bindings. */
export const ESTIMATED_RUN_RECORD_BYTES = 120;
/** Estimate of one binding on the wire: an index, a machine's name and an attempt. */
export const ESTIMATED_BINDING_BYTES = 40;
/** Names of images in a machine's record. */
export const MAX_IMAGE_NAMES_BYTES = 512;
/** Part of the largest value that the names of images may take. */
export const IMAGE_NAMES_VALUE_FRACTION = 0.25;
/** A part of a dependency list without the ids. */
export const DEPENDENCY_LIST_OVERHEAD_BYTES = 64;
