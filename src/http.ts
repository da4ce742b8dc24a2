import * as http from 'node:http';
import { Packr } from 'msgpackr';
import { ANSWER_MAX_BYTES, BODY_MAX_BYTES } from './constants.js';

/** MessagePack over Node's own HTTP: one keep-alive agent per address, bounded sockets, bounded bodies. */
const packr = new Packr({ useRecords: false, mapsAsObjects: true, int64AsType: 'number' });

export const encode = (value: unknown): Buffer => packr.pack(value);
export const decode = (body: Buffer): unknown => packr.unpack(body);

export type Answer =
  | { readonly _tag: 'answer'; readonly status: number; readonly body: unknown }
  /** Nothing is known about what became of the request. */
  | { readonly _tag: 'silence'; readonly why: string };

export interface Target {
  readonly host: string;
  readonly port: number;
}

export const parseTarget = (text: string): Target => {
  const cut = text.lastIndexOf(':');
  return { host: text.slice(0, cut), port: Number(text.slice(cut + 1)) };
};

/** Whatever carries requests to one address. */
export interface Caller {
  request(method: string, path: string, body: unknown, timeoutMs: number): Promise<Answer>;
}
export type Callers = (target: Target, sockets: number) => Caller;

export class Client implements Caller {
  private readonly agent: http.Agent;
  constructor(
    private readonly target: Target,
    sockets: number,
  ) {
    this.agent = new http.Agent({
      keepAlive: true,
      maxSockets: sockets,
      maxFreeSockets: Math.min(8, sockets),
    });
  }

  request(method: string, path: string, body: unknown, timeoutMs: number): Promise<Answer> {
    return new Promise((resolve) => {
      let over = false;
      const end = (answer: Answer): void => {
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
            if (size > ANSWER_MAX_BYTES) req.destroy(new Error('answer too large'));
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
            end({ _tag: 'answer', status: res.statusCode ?? 0, body: value });
          });
          res.on('error', (error) => end({ _tag: 'silence', why: error.message }));
          res.on('aborted', () => end({ _tag: 'silence', why: 'aborted' }));
        },
      );
      const timer = setTimeout(() => {
        end({ _tag: 'silence', why: 'timeout' });
        req.destroy();
      }, timeoutMs);
      req.on('error', (error) => end({ _tag: 'silence', why: error.message }));
      req.end(payload);
    });
  }
}

export interface Reply {
  readonly status: number;
  readonly body?: unknown;
  readonly headers?: Record<string, string>;
  /** Sent as it is, not packed. */
  readonly text?: string;
}

export type Body =
  | { readonly _tag: 'value'; readonly value: unknown }
  | { readonly _tag: 'empty' }
  | { readonly _tag: 'malformed' }
  | { readonly _tag: 'tooLarge' };

export interface Call {
  readonly method: string;
  readonly path: string;
  /** What follows the question mark, as it came. */
  readonly query: string;
  readonly body: Body;
}

/** The protocol measures sizes in the JSON form; MessagePack is never longer than that for our data. */
const readBody = (parts: Buffer[], size: number, limit: number): Body => {
  if (size > limit) return { _tag: 'tooLarge' };
  if (size === 0) return { _tag: 'empty' };
  try {
    const value = decode(Buffer.concat(parts));
    if (limit === BODY_MAX_BYTES && size > limit / 4 && JSON.stringify(value).length > limit)
      return { _tag: 'tooLarge' };
    return { _tag: 'value', value };
  } catch {
    return { _tag: 'malformed' };
  }
};

export const serve = (
  at: Target,
  connections: number,
  limit: number,
  handle: (call: Call) => Promise<Reply>,
  failed: (error: unknown) => void,
): Promise<http.Server> => {
  const server = http.createServer((req, res) => {
    const parts: Buffer[] = [];
    let size = 0;
    req.on('data', (part: Buffer) => {
      size += part.length;
      if (size <= limit) parts.push(part);
    });
    req.on('error', () => undefined);
    req.on('end', () => {
      const send = (reply: Reply): void => {
        if (res.destroyed) return;
        res.sendDate = false;
        const payload = reply.text !== undefined ? Buffer.from(reply.text) : encode(reply.body ?? {});
        res.writeHead(reply.status, {
          'content-type': reply.text !== undefined ? 'text/plain; charset=utf-8' : 'application/msgpack',
          'content-length': payload.length,
          ...reply.headers,
        });
        res.end(payload);
      };
      const url = req.url ?? '/';
      const mark = url.indexOf('?');
      handle({
        method: req.method ?? 'GET',
        path: mark < 0 ? url : url.slice(0, mark),
        query: mark < 0 ? '' : url.slice(mark + 1),
        body: readBody(parts, size, limit),
      }).then(send, (error: unknown) => {
        failed(error);
        send({ status: 503 });
      });
    });
  });
  server.maxConnections = connections;
  server.keepAliveTimeout = 0;
  server.requestTimeout = 0;
  server.headersTimeout = 30_000;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(at.port, at.host, 1024, () => resolve(server));
  });
};
