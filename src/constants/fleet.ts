/** The leader and the cloud: scaling out and in, and transfers of machines between shards. */

/** Pause between two rounds of the leader. */
export const LEADER_ROUND_INTERVAL_MS = 250;
/** Pause between two checks of a controller whether it leads now. */
export const LEADERSHIP_CHECK_INTERVAL_MS = 1_000;
/** Time after which a transfer that shows nowhere counts as not carried out. */
export const TRANSFER_CONFIRMATION_TIMEOUT_MS = 4_000;
/** What a machine in the same zone counts beyond the others: it only decides between equal shards. */
export const SAME_ZONE_WEIGHT = 0.1;

/** Timeout of a request to the cloud, and of the wait for its rate. */
export const CLOUD_REQUEST_TIMEOUT_MS = 6_000;
/** Pause after a request to the cloud that failed. */
export const CLOUD_RETRY_DELAY_MS = 1_500;
/** Sockets to the cloud. */
export const CLOUD_SOCKETS = 4;
/** Part of the cloud's rate that one of several controllers uses; those that don't lead seldom call. */
export const CLOUD_RATE_FRACTION = 0.8;
/** Pause between two reads of the catalog. */
export const CATALOG_REFRESH_INTERVAL_MS = 60_000;

/** Pause between two reads of the machine list. */
export const MACHINE_LIST_INTERVAL_MS = 10_000;
/** Machines of one page of the list. */
export const MACHINE_LIST_PAGE_ITEMS = 500;
/** Multiple of the list's lag after which a listed machine that nobody knows counts as unknown. */
export const UNRECORDED_MACHINE_LAG_FACTOR = 2;
/** Added to that time. */
export const UNRECORDED_MACHINE_SLACK_S = 5;
/** Multiple of that time for which a returned machine may still be listed. */
export const RELEASED_MACHINE_LISTING_FACTOR = 4;

/** Provisioning requests under way at once; the cloud's rate bounds them too. */
export const MAX_CONCURRENT_PROVISIONING_REQUESTS = 4;
/** Machines of one provisioning request (protocol). */
export const MAX_MACHINES_PER_PROVISIONING_REQUEST = 50;
/** Times that an unanswered provisioning request is repeated under its name, which tells its outcome. */
export const MAX_PROVISIONING_RETRIES = 2;
/** Pause between two attempts to settle the requests that an earlier leader left open. */
export const PROVISIONING_RECOVERY_RETRY_DELAY_MS = 500;
/** How long another choice is made after the cloud had no capacity for a type, zone and kind. */
export const NO_CAPACITY_BACKOFF_MS = 12_000;
/** Longest such pause; repeated refusals double it. */
export const MAX_NO_CAPACITY_BACKOFF_MS = 60_000;

/** Machines of one release request (protocol). */
export const MAX_MACHINES_PER_RELEASE_REQUEST = 100;
/** Records of released machines deleted in one transaction, so that others need not wait long. */
export const MAX_RECORD_DELETIONS_PER_TRANSACTION = 16;
/** Attempts to delete such records before the machines are simply released once more. */
export const RECORD_DELETION_ATTEMPTS = 5;
