/**
 * HTTP server: reads requests, has them answered, and bounds bodies and connections. The controller starts
 * one for each address that it listens on.
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

/** What one listening address may hold open. */
export interface ConnectionLimits {
  readonly connections: number;
  /**
   * Paths whose callers are so many that they must not keep connections once most are in use: the next call
   * makes a new one, while all others find room.
   */
  readonly closesWhenCrowded?: (path: string) => boolean;
  /** Time after which an unused connection is closed, in ms; `CONNECTION_IDLE_TIMEOUT_MS` unless given. */
  readonly idleMs?: number;
}

/** The protocol measures sizes in the JSON form; MessagePack is never longer than that for our data. */
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

/** Collects the body of a request, and calls back when it is whole. A request that breaks off is dropped. */
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
  const mark = url.indexOf('?');
  return {
    method,
    path: mark < 0 ? url : url.slice(0, mark),
    query: mark < 0 ? '' : url.slice(mark + 1),
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

/** The far end of a machine that died, or is cut off, never closes: such connections would add up. */
const closeIdleConnections = (server: http.Server, connections: Connections, idleMs: number): void => {
  const timer = setInterval(() => connections.closeIdle(idleMs), idleMs / IDLE_CHECKS_PER_TIMEOUT).unref();
  server.once('close', () => clearInterval(timer));
};

const setLimits = (server: http.Server, maxConnections: number): void => {
  server.maxConnections = maxConnections;
  // `closeIdleConnections` does this; requests are bounded in size.
  server.keepAliveTimeout = 0;
  server.requestTimeout = 0;
  server.headersTimeout = REQUEST_HEAD_TIMEOUT_MS;
};

/**
 * Listens on an address and answers each request with what `handle` resolves to, or 503 if it rejects.
 *
 * @param onFailure - Called with what `handle` rejected with.
 * @returns The server once it listens; rejects if it can't.
 */
export const serve = (
  at: Target,
  limits: ConnectionLimits,
  maxBodyBytes: number,
  handle: (request: ServerRequest) => Promise<ServerResponse>,
  onFailure: (error: unknown) => void,
): Promise<http.Server> => {
  const connections = new Connections();
  const crowdedCount = limits.connections * WORKER_KEEP_ALIVE_SOCKET_FRACTION;
  const server = http.createServer((request, response) => {
    connections.markUsed(request.socket);
    const closeAfterwards = (): boolean =>
      connections.count > crowdedCount && limits.closesWhenCrowded?.(request.url ?? '') === true;
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
  setLimits(server, limits.connections);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(at.port, at.host, LISTEN_BACKLOG_CONNECTIONS, () => resolve(server));
  });
};
