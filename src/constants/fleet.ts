/** The leader and the cloud API: scaling out, scaling in, and transfers of machines between shards. */

/** Pause between two rounds of the leader. */
export const LEADER_ROUND_INTERVAL_MS = 250;
/** Interval at which a controller that does not lead checks whether it has become the leader. */
export const LEADERSHIP_CHECK_INTERVAL_MS = 1_000;
/** Time after which an ordered transfer that no shard summary shows counts as not carried out. */
export const TRANSFER_CONFIRMATION_TIMEOUT_MS = 4_000;
/**
 * Additional weight of a machine in the same zone when the leader selects the shard for an adopted machine.
 * The weight is small, so that the zone only decides between otherwise equal shards.
 */
export const SAME_ZONE_WEIGHT = 0.1;

/** Timeout of a request to the cloud, and also of the wait for the rate limit before the request. */
export const CLOUD_REQUEST_TIMEOUT_MS = 6_000;
/** Delay after a failed request to the cloud before a similar request is sent. */
export const CLOUD_RETRY_DELAY_MS = 1_500;
/** Maximum number of sockets to the cloud. */
export const CLOUD_SOCKETS = 4;
/**
 * Fraction of the cloud's rate limit that each controller uses if there are several. Controllers that do not
 * lead seldom send requests to the cloud.
 */
export const CLOUD_RATE_FRACTION = 0.8;
/** Interval between two reads of the catalog. */
export const CATALOG_REFRESH_INTERVAL_MS = 60_000;

/** Interval between two reads of the machine list. */
export const MACHINE_LIST_INTERVAL_MS = 10_000;
/** Number of machines on one page of the machine list. */
export const MACHINE_LIST_PAGE_ITEMS = 500;
/** Minimum age at which a listed machine without a record is adopted, as a multiple of the list's lag. */
export const UNRECORDED_MACHINE_LAG_FACTOR = 2;
/** Time added to that minimum age. */
export const UNRECORDED_MACHINE_SLACK_S = 5;
/**
 * Time after a release for which the cloud may still list the machine, as a multiple of the minimum age at
 * which a listed machine without a record is adopted.
 */
export const RELEASED_MACHINE_LISTING_FACTOR = 4;

/** Maximum number of concurrent provisioning requests. The cloud's rate limit bounds them too. */
export const MAX_CONCURRENT_PROVISIONING_REQUESTS = 4;
/** Maximum number of machines in one provisioning request (protocol). */
export const MAX_MACHINES_PER_PROVISIONING_REQUEST = 50;
/**
 * Maximum number of retries of an unanswered provisioning request. A retry under the same request name
 * provisions nothing more and returns the outcome.
 */
export const MAX_PROVISIONING_RETRIES = 2;
/** Delay between two attempts to settle the requests that an earlier leader left open. */
export const PROVISIONING_RECOVERY_RETRY_DELAY_MS = 500;
/**
 * Time for which a combination of type, zone and kind is not requested after the cloud had no capacity for
 * it.
 */
export const NO_CAPACITY_BACKOFF_MS = 12_000;
/** Maximum of the time after a refusal for lack of capacity; each repeated refusal doubles that time. */
export const MAX_NO_CAPACITY_BACKOFF_MS = 60_000;

/** Maximum number of machines in one release request (protocol). */
export const MAX_MACHINES_PER_RELEASE_REQUEST = 100;
/**
 * Maximum number of records of released machines that one transaction deletes, so that other transactions do
 * not wait long.
 */
export const MAX_RECORD_DELETIONS_PER_TRANSACTION = 16;
/**
 * Number of attempts to delete such records. If all fail, the machines are released again, which has no
 * further effect.
 */
export const RECORD_DELETION_ATTEMPTS = 5;
