/** HTTP servers and clients: sizes, sockets and timeouts. */

/** Maximum size of a request body (protocol). */
export const MAX_BODY_BYTES = 64 * 1024;
/** Maximum size of a response from the key-value store, the cloud or a peer. */
export const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
/**
 * Maximum size of a body that is copied to be written together with its head. For larger bodies the copy
 * costs more than it saves.
 */
export const MAX_SINGLE_WRITE_BYTES = 4 * 1024;
/**
 * Upper bound of the JSON size of a body divided by its packed size. A packed body whose size times this
 * factor is within the limit is not measured as JSON.
 */
export const MAX_JSON_EXPANSION_FACTOR = 4;

/** Fraction of the file descriptors that incoming connections on the API address may use. */
export const INCOMING_SOCKET_FRACTION = 0.76;
/**
 * Fraction of the maximum number of incoming connections above which a worker's connection is closed after
 * each response, so that other clients can connect.
 */
export const WORKER_KEEP_ALIVE_SOCKET_FRACTION = 0.85;
/** Fraction of the file descriptors that connections to workers may use, including idle ones. */
export const WORKER_CLIENT_SOCKET_FRACTION = 0.12;
/** Maximum number of idle sockets that a client keeps open to one address. */
export const MAX_IDLE_SOCKETS_PER_ADDRESS = 8;
/** Maximum number of connections that wait to be accepted. */
export const LISTEN_BACKLOG_CONNECTIONS = 1024;
/**
 * Timeout after which an unused incoming connection is closed. A machine that has died never closes its end.
 */
export const CONNECTION_IDLE_TIMEOUT_MS = 60_000;
/** Number of checks for unused connections within one idle timeout. */
export const IDLE_CHECKS_PER_TIMEOUT = 4;
/** Timeout for receiving the head of a request. */
export const REQUEST_HEAD_TIMEOUT_MS = 30_000;
