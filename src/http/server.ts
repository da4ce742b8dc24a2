/**
 * HTTP server: reads requests, passes them to a handler, and limits the size of bodies and the number of
 * connections. The controller starts one server for each address that it listens on.
 */
import * as http from 'node:http';
import {
  CONNECTION_IDLE_TIMEOUT_MS,
  WORKER_KEEP_ALIVE_SOCKET_FRACTION,
  IDLE_CHECKS_PER_TIMEOUT,
  MAX_JSON_EXPANSION_FACTOR,
  LISTEN_BACKLOG_CONNECTIONS,
  MAX_BODY_BYTES,
  REQUEST_HEAD_TIMEOUT_MS,
} from '../constants/http.js';
import { Connections } from './connections.js';
import type { RequestBody, ServerRequest, ServerResponse, Target } from './model.js';
import { decodeParts, encode, singleWriteArguments } from './msgpack.js';

/** Limits on the connections of one listening address. */
export interface ConnectionLimits {
  /** Largest number of open connections. */
  readonly connections: number;
  /**
   * Whether a connection is closed after a response on this path once most connections are in use. Meant for
   * paths with many callers: these reconnect for their next request, and other callers find free connections.
   */
  readonly closesWhenCrowded?: (path: string) => boolean;
  /** Time after which an unused connection is closed, in ms; by default `CONNECTION_IDLE_TIMEOUT_MS`. */
  readonly idleMs?: number;
}

/**
 * Whether a value exceeds the limit in its JSON form, in which the protocol measures sizes. The MessagePack
 * form of this service's data is never longer than the JSON form.
 */
const isTooLargeAsJson = (value: unknown, size: number, maxBytes: number): boolean =>
  maxBytes === MAX_BODY_BYTES &&
  size > maxBytes / MAX_JSON_EXPANSION_FACTOR &&
  JSON.stringify(value).length > maxBytes;

const readBody = (parts: readonly Buffer[], size: number, maxBytes: number): RequestBody => {
  if (size > maxBytes) return { _tag: 'tooLarge' };
  if (size === 0) return { _tag: 'empty' };
  try {
    const value = decodeParts(parts);
    return isTooLargeAsJson(value, size, maxBytes) ? { _tag: 'tooLarge' } : { _tag: 'value', value };
  } catch {
    return { _tag: 'malformed' };
  }
};

/** Collects the body of a request and calls `received` once it is complete; ignores an aborted request. */
const receiveBody = (
  request: http.IncomingMessage,
  maxBytes: number,
  received: (body: RequestBody) => void,
): void => {
  const parts: Buffer[] = [];
  let size = 0;
  request.on('data', (part: Buffer) => {
    size += part.length;
    if (size <= maxBytes) parts.push(part);
  });
  request.on('error', () => undefined);
  request.on('end', () => received(readBody(parts, size, maxBytes)));
};

const toServerRequest = (
  { method = 'GET', url = '/', socket }: http.IncomingMessage,
  body: RequestBody,
): ServerRequest => {
  const queryMark = url.indexOf('?');
  return {
    method,
    path: queryMark < 0 ? url : url.slice(0, queryMark),
    query: queryMark < 0 ? '' : url.slice(queryMark + 1),
    body,
    remoteAddress: socket.remoteAddress,
  };
};

const send = (
  response: http.ServerResponse,
  { status, body, headers, text }: ServerResponse,
  closeAfterwards: () => boolean,
): void => {
  if (response.destroyed) return;
  response.sendDate = false;
  if (closeAfterwards()) response.shouldKeepAlive = false;
  const payload = text !== undefined ? Buffer.from(text) : encode(body ?? {});
  response.writeHead(status, {
    'content-type': text !== undefined ? 'text/plain; charset=utf-8' : 'application/msgpack',
    'content-length': payload.length,
    ...headers,
  });
  response.end(...singleWriteArguments(payload));
};

/**
 * Closes idle connections until the server closes. A machine that has failed or lost its network never closes
 * its connections, which would accumulate.
 */
const closeIdleConnections = (server: http.Server, connections: Connections, idleMs: number): void => {
  const timer = setInterval(() => connections.closeIdle(idleMs), idleMs / IDLE_CHECKS_PER_TIMEOUT).unref();
  server.once('close', () => clearInterval(timer));
};

const applyServerLimits = (server: http.Server, maxConnections: number): void => {
  server.maxConnections = maxConnections;
  // 0 disables both timeouts: `closeIdleConnections` closes idle connections, and the size of requests is
  // limited.
  server.keepAliveTimeout = 0;
  server.requestTimeout = 0;
  server.headersTimeout = REQUEST_HEAD_TIMEOUT_MS;
};

/**
 * Listens on an address. Sends the response with which `handle` resolves, or 503 if `handle` rejects.
 *
 * @param onFailure - Called with the error with which `handle` rejected.
 * @returns The server once it listens; rejects if it can't listen.
 */
export const serve = (
  address: Target,
  limits: ConnectionLimits,
  maxBodyBytes: number,
  handle: (request: ServerRequest) => Promise<ServerResponse>,
  onFailure: (error: unknown) => void,
): Promise<http.Server> => {
  const connections = new Connections();
  const crowdedThreshold = limits.connections * WORKER_KEEP_ALIVE_SOCKET_FRACTION;
  const server = http.createServer((request, response) => {
    connections.markUsed(request.socket);
    const closeAfterwards = (): boolean =>
      connections.count > crowdedThreshold && limits.closesWhenCrowded?.(request.url ?? '') === true;
    receiveBody(request, maxBodyBytes, (body) => {
      handle(toServerRequest(request, body)).then(
        (answer) => send(response, answer, closeAfterwards),
        (error: unknown) => {
          onFailure(error);
          send(response, { status: 503 }, closeAfterwards);
        },
      );
    });
  });
  server.on('connection', (socket) => connections.add(socket));
  closeIdleConnections(server, connections, limits.idleMs ?? CONNECTION_IDLE_TIMEOUT_MS);
  applyServerLimits(server, limits.connections);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.host, LISTEN_BACKLOG_CONNECTIONS, () => resolve(server));
  });
};
