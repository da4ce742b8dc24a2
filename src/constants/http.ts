/** HTTP servers and clients: sizes, sockets and timeouts. */

/** Size of a request body (protocol). */
export const MAX_BODY_BYTES = 64 * 1024;
/** Size of a response from the store, the cloud or a peer. */
export const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
/** Size up to which a body is written together with its head; larger ones are not worth the copy. */
export const MAX_SINGLE_WRITE_BYTES = 4 * 1024;
/** A packed body whose size times this is within the limit is not measured as JSON. */
export const MAX_JSON_EXPANSION_FACTOR = 4;

/** Part of the file descriptors that incoming connections on the API address may use. */
export const INCOMING_SOCKET_FRACTION = 0.76;
/** Part of those above which workers' connections are closed after each report, so that others find room. */
export const WORKER_KEEP_ALIVE_SOCKET_FRACTION = 0.85;
/** Part of the file descriptors that connections to workers may use, idle ones included. */
export const WORKER_CLIENT_SOCKET_FRACTION = 0.12;
/** Idle sockets that a client keeps open to one address. */
export const MAX_IDLE_SOCKETS_PER_ADDRESS = 8;
/** Connections that may wait to be accepted. */
export const LISTEN_BACKLOG_CONNECTIONS = 1024;
/** Timeout of an unused incoming connection: the other end of one to a dead machine never closes. */
export const CONNECTION_IDLE_TIMEOUT_MS = 60_000;
/** Checks for unused connections in one idle timeout. */
export const IDLE_CHECKS_PER_TIMEOUT = 4;
/** Timeout of the head of a request. */
export const REQUEST_HEAD_TIMEOUT_MS = 30_000;
