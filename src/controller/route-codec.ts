/** Paths of requests on the API address. Workers' agents and users' tools know them; they are fixed. */

/** Where workers send their heartbeats. */
export const WORKER_HEARTBEAT_PATH = '/hello';
/** Health check: answered with 200 by a controller that is ready for users' requests, else with 503. */
export const READINESS_PATH = '/ready';
