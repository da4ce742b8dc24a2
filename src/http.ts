import * as http from 'node:http';
import type { Socket } from 'node:net';
import { Packr } from 'msgpackr';
import {
  CONNECTION_IDLE_TIMEOUT_MS,
  CROWDED_SOCKET_FRACTION,
  IDLE_CHECKS_PER_TIMEOUT,
  JSON_EXPANSION_FACTOR,
  LISTEN_BACKLOG_CONNECTIONS,
  MAX_BODY_BYTES,
  MAX_IDLE_SOCKETS_PER_ADDRESS,
  MAX_RESPONSE_BYTES,
  MAX_SINGLE_WRITE_BYTES,
  REQUEST_HEAD_TIMEOUT_MS,
} from './constants/http.js';

/** MessagePack over Node's own HTTP: one keep-alive agent per address, bounded sockets, bounded bodies. */
const packr = new Packr({ useRecords: false, mapsAsObjects: true, int64AsType: 'number' });

/** Packs a value for the wire. */
export const encode = (value: unknown): Buffer => packr.pack(value);

/**
 * A body as Node sends it together with the head in one write: as text of one byte a character. Given as
 * bytes, head and body are corked and gathered, which costs more than the copy of a small body.
 */
export const oneWrite = (payload: Buffer): [string | Buffer, BufferEncoding] =>
  payload.length <= MAX_SINGLE_WRITE_BYTES ? [payload.toString('latin1'), 'latin1'] : [payload, 'latin1'];

/** Unpacks a body; throws if it is malformed. */
export const decode = (body: Buffer): unknown => packr.unpack(body);

/** The outcome of a request. */
export type CallOutcome =
  | { readonly _tag: 'response'; readonly status: number; readonly body: unknown }
  /**
   * Nothing is known about what became of the request, unless `sent` is false: then no byte of it left the
   * process.
   */
  | { readonly _tag: 'noResponse'; readonly why: string; readonly sent?: false };

/** Host and port of a server. */
export interface Target {
  readonly host: string;
  readonly port: number;
}

/** Reads `host:port`. */
export const parseTarget = (text: string): Target => {
  const cut = text.lastIndexOf(':');
  return { host: text.slice(0, cut), port: Number(text.slice(cut + 1)) };
};

/** Whatever carries requests to one address. */
export interface HttpClient {
  request(
    method: string,
    path: string,
    body: unknown,
    timeoutMs: number,
    /**
     * Asked when a connection is there, immediately before the first byte leaves; false: the request is
     * withheld.
     */
    maySend?: () => boolean,
  ): Promise<CallOutcome>;
}

/** The answer to a request that lost its right while it waited for a connection. */
export const WITHHELD: CallOutcome = { _tag: 'noResponse', why: 'withheld', sent: false };

/** Runs `send` once the request has an open connection. */
const whenConnected = (req: http.ClientRequest, send: () => void): void => {
  req.once('socket', (socket: Socket) => {
    if (socket.connecting) socket.once('connect', send);
    else send();
  });
};
/** Makes a caller for one address with a bounded number of sockets. */
export type HttpClientFactory = (target: Target, sockets: number) => HttpClient;

/** HTTP client for one address, with connections kept open. */
export class PooledHttpClient implements HttpClient {
  private readonly agent: http.Agent;
  constructor(
    private readonly target: Target,
    sockets: number,
  ) {
    this.agent = new http.Agent({
      keepAlive: true,
      maxSockets: sockets,
      maxFreeSockets: Math.min(MAX_IDLE_SOCKETS_PER_ADDRESS, sockets),
    });
  }

  request(
    method: string,
    path: string,
    body: unknown,
    timeoutMs: number,
    maySend?: () => boolean,
  ): Promise<CallOutcome> {
    return new Promise((resolve) => {
      let over = false;
      const end = (answer: CallOutcome): void => {
        if (over) return;
        over = true;
        clearTimeout(timer);
        resolve(answer);
      };
      const payload = body === undefined ? undefined : encode(body);
      const req = http.request(
        {
          host: this.target.host,
          port: this.target.port,
          method,
          path,
          agent: this.agent,
          headers: payload
            ? { 'content-type': 'application/msgpack', 'content-length': payload.length }
            : { accept: 'application/msgpack' },
        },
        (res) => {
          const parts: Buffer[] = [];
          let size = 0;
          res.on('data', (part: Buffer) => {
            size += part.length;
            if (size > MAX_RESPONSE_BYTES) req.destroy(new Error('answer too large'));
            else parts.push(part);
          });
          res.on('end', () => {
            let value: unknown = null;
            if (size > 0) {
              try {
                value = decode(parts.length === 1 && parts[0] ? parts[0] : Buffer.concat(parts));
              } catch {
                value = null;
              }
            }
            end({ _tag: 'response', status: res.statusCode ?? 0, body: value });
          });
          res.on('error', (error) => end({ _tag: 'noResponse', why: error.message }));
          res.on('aborted', () => end({ _tag: 'noResponse', why: 'aborted' }));
        },
      );
      const timer = setTimeout(() => {
        end({ _tag: 'noResponse', why: 'timeout' });
        req.destroy();
      }, timeoutMs);
      req.on('error', (error) => end({ _tag: 'noResponse', why: error.message }));
      const send = (): void => {
        if (payload) req.end(...oneWrite(payload));
        else req.end();
      };
      if (!maySend) {
        send();
        return;
      }
      // Requests queue for connections inside the agent: nothing is handed over before the right is asked
      // for.
      whenConnected(req, () => {
        if (over) return;
        if (maySend()) {
          send();
          return;
        }
        end(WITHHELD);
        req.destroy();
      });
    });
  }
}

/** An answer of this node, before it is packed. */
export interface ServerResponse {
  readonly status: number;
  readonly body?: unknown;
  readonly headers?: Record<string, string>;
  /** Sent as it is, not packed. */
  readonly text?: string;
}

/** A request body after reading. */
export type RequestBody =
  | { readonly _tag: 'value'; readonly value: unknown }
  | { readonly _tag: 'empty' }
  | { readonly _tag: 'malformed' }
  | { readonly _tag: 'tooLarge' };

/** A request to this node. */
export interface ServerRequest {
  readonly method: string;
  readonly path: string;
  /** What follows the question mark, as it came. */
  readonly query: string;
  readonly body: RequestBody;
  /** The caller's IP address, where it came through a socket. */
  readonly remoteAddress?: string | undefined;
}

/** The protocol measures sizes in the JSON form; MessagePack is never longer than that for our data. */
const readBody = (parts: Buffer[], size: number, limit: number): RequestBody => {
  if (size > limit) return { _tag: 'tooLarge' };
  if (size === 0) return { _tag: 'empty' };
  try {
    const value = decode(parts.length === 1 && parts[0] ? parts[0] : Buffer.concat(parts));
    if (
      limit === MAX_BODY_BYTES &&
      size > limit / JSON_EXPANSION_FACTOR &&
      JSON.stringify(value).length > limit
    )
      return { _tag: 'tooLarge' };
    return { _tag: 'value', value };
  } catch {
    return { _tag: 'malformed' };
  }
};

/** What one listening address may hold open. */
export interface ConnectionLimits {
  readonly connections: number;
  /**
   * Calls whose callers are so many that they must not keep connections once most are in use: the next call
   * makes a new one, while all others find room.
   */
  readonly crowd?: (path: string) => boolean;
  /** ms after which an unused connection is closed; as the constant says unless given. */
  readonly idleMs?: number;
}

/** Listens on an address and answers each request with what `handle` resolves to. */
export const serve = (
  at: Target,
  connectionLimits: ConnectionLimits,
  limit: number,
  handle: (call: ServerRequest) => Promise<ServerResponse>,
  failed: (error: unknown) => void,
): Promise<http.Server> => {
  /** When each open connection was last used. */
  const used = new Map<Socket, number>();
  const full = connectionLimits.connections * CROWDED_SOCKET_FRACTION;
  const server = http.createServer((req, res) => {
    used.set(req.socket, performance.now());
    const parts: Buffer[] = [];
    let size = 0;
    req.on('data', (part: Buffer) => {
      size += part.length;
      if (size <= limit) parts.push(part);
    });
    req.on('error', () => undefined);
    req.on('end', () => {
      const send = (reply: ServerResponse): void => {
        if (res.destroyed) return;
        res.sendDate = false;
        if (used.size > full && connectionLimits.crowd?.(req.url ?? '')) res.shouldKeepAlive = false;
        const payload = reply.text !== undefined ? Buffer.from(reply.text) : encode(reply.body ?? {});
        res.writeHead(reply.status, {
          'content-type': reply.text !== undefined ? 'text/plain; charset=utf-8' : 'application/msgpack',
          'content-length': payload.length,
          ...reply.headers,
        });
        res.end(...oneWrite(payload));
      };
      const url = req.url ?? '/';
      const mark = url.indexOf('?');
      handle({
        method: req.method ?? 'GET',
        path: mark < 0 ? url : url.slice(0, mark),
        query: mark < 0 ? '' : url.slice(mark + 1),
        body: readBody(parts, size, limit),
        remoteAddress: req.socket.remoteAddress,
      }).then(send, (error: unknown) => {
        failed(error);
        send({ status: 503 });
      });
    });
  });
  server.on('connection', (socket) => {
    used.set(socket, performance.now());
    socket.once('close', () => used.delete(socket));
  });
  // The far end of a machine that died, or is cut off, never closes: such connections would add up.
  const idleMs = connectionLimits.idleMs ?? CONNECTION_IDLE_TIMEOUT_MS;
  const sweep = setInterval(() => {
    const since = performance.now() - idleMs;
    for (const [socket, last] of used) if (last < since) socket.destroy();
  }, idleMs / IDLE_CHECKS_PER_TIMEOUT).unref();
  server.once('close', () => clearInterval(sweep));
  server.maxConnections = connectionLimits.connections;
  server.keepAliveTimeout = 0;
  server.requestTimeout = 0;
  server.headersTimeout = REQUEST_HEAD_TIMEOUT_MS;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(at.port, at.host, LISTEN_BACKLOG_CONNECTIONS, () => resolve(server));
  });
};
