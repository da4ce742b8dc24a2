/**
 * HTTP client for one address, used for the key-value store, the cloud and other controllers. Direct commands
 * to workers have a client of their own, `src/workers/worker-client.ts`.
 */
import * as http from 'node:http';
import type { Socket } from 'node:net';
import { MAX_IDLE_SOCKETS_PER_ADDRESS, MAX_RESPONSE_BYTES } from '../constants/http.js';
import { WITHHELD, type CallOutcome, type HttpClient, type Target } from './model.js';
import { decodeParts, encode, singleWriteArguments } from './msgpack.js';

type OnOutcome = (outcome: CallOutcome) => void;

/** One request, ready to be sent. */
interface Exchange {
  readonly options: http.RequestOptions;
  readonly payload: Buffer | undefined;
  readonly timeoutMs: number;
  readonly maySend: (() => boolean) | undefined;
}

const CONTENT_TYPE = 'application/msgpack';

const headersFor = (payload: Buffer | undefined): http.OutgoingHttpHeaders =>
  payload ? { 'content-type': CONTENT_TYPE, 'content-length': payload.length } : { accept: CONTENT_TYPE };

/** Decodes the body of a response; null: the body is empty or malformed. */
const readValue = (parts: readonly Buffer[]): unknown => {
  if (parts.length === 0) return null;
  try {
    return decodeParts(parts);
  } catch {
    // A malformed body does not fail the request: the status is its outcome, and callers validate the values
    // that they need.
    return null;
  }
};

const receiveResponse = (
  request: http.ClientRequest,
  response: http.IncomingMessage,
  settle: OnOutcome,
): void => {
  const parts: Buffer[] = [];
  let size = 0;
  response.on('data', (part: Buffer) => {
    size += part.length;
    if (size > MAX_RESPONSE_BYTES) request.destroy(new Error('answer too large'));
    else parts.push(part);
  });
  response.on('end', () =>
    settle({ _tag: 'response', status: response.statusCode ?? 0, body: readValue(parts) }),
  );
  response.on('error', (error) => settle({ _tag: 'noResponse', why: error.message }));
  response.on('aborted', () => settle({ _tag: 'noResponse', why: 'aborted' }));
};

/** Calls `connected` once the request has an open connection. */
const whenConnected = (request: http.ClientRequest, connected: () => void): void => {
  request.once('socket', (socket: Socket) => {
    if (socket.connecting) socket.once('connect', connected);
    else connected();
  });
};

/** Sends one request and calls `resolve` once, with the first outcome: response, error or timeout. */
const exchange = ({ options, payload, timeoutMs, maySend }: Exchange, resolve: OnOutcome): void => {
  let isSettled = false;
  const settle: OnOutcome = (outcome) => {
    if (isSettled) return;
    isSettled = true;
    clearTimeout(timer);
    resolve(outcome);
  };
  const request = http.request(options, (response) => receiveResponse(request, response, settle));
  const timer = setTimeout(() => {
    settle({ _tag: 'noResponse', why: 'timeout' });
    request.destroy();
  }, timeoutMs);
  request.on('error', (error) => settle({ _tag: 'noResponse', why: error.message }));
  const send = (): void => {
    if (payload) request.end(...singleWriteArguments(payload));
    else request.end();
  };
  if (!maySend) {
    send();
    return;
  }
  // A request may wait long for a connection inside the agent, so `maySend` is called only once the request
  // has one, before the first byte is passed on.
  whenConnected(request, () => {
    if (isSettled) return;
    if (maySend()) {
      send();
      return;
    }
    settle(WITHHELD);
    request.destroy();
  });
};

/** HTTP client for one address. Owns the connections to it, which are kept open. */
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
      const payload = body === undefined ? undefined : encode(body);
      const { host, port } = this.target;
      const options = { host, port, method, path, agent: this.agent, headers: headersFor(payload) };
      exchange({ options, payload, timeoutMs, maySend }, resolve);
    });
  }
}
