/** The paths of requests on the API address. They are fixed, since workers and users' tools use them. */

/** The path to which workers send their heartbeats. */
export const WORKER_HEARTBEAT_PATH = '/hello';
/**
 * The path of the health check. The status is 200 if the controller is ready for users' requests, else 503.
 */
export const READINESS_PATH = '/ready';
