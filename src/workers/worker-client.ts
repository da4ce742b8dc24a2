/**
 * Sends commands directly to workers instead of in the answer to their next heartbeat. Placement decides
 * which commands. A direct command may be carried out late; its token and session limit until when.
 */
import * as http from 'node:http';
import { DIRECT_COMMAND_TIMEOUT_MS } from '../constants/workers.js';
import { parseTarget } from '../http/model.js';
import { decode, encode, singleWriteArguments } from '../http/msgpack.js';
import { readWorkerHeartbeat, writeDirectCommands } from './codec.js';
import type { Command, WorkerHeartbeat } from './model.js';

/** The outcome of direct commands. */
export type DirectResult =
  | { readonly _tag: 'executed'; readonly heartbeat: WorkerHeartbeat }
  /** The commands were not carried out and never will be. */
  | { readonly _tag: 'refused'; readonly heartbeat: WorkerHeartbeat | null }
  /** The commands may have been carried out, or may still be as long as their token and session match. */
  | { readonly _tag: 'unknown' };

/** Sends commands under a fencing token to one session of the worker at an address. */
export interface DirectCommandSender {
  send(addr: string, token: number, agentEpoch: number, commands: readonly Command[]): Promise<DirectResult>;
}

const NOT_SENT: DirectResult = { _tag: 'refused', heartbeat: null };
const UNKNOWN: DirectResult = { _tag: 'unknown' };
/** Status codes with which a worker refuses commands without carrying them out. */
const REFUSALS: ReadonlySet<number | undefined> = new Set([400, 409]);

/** Reads the heartbeat in an answer; null: the answer has none. */
const readAnswer = (body: Buffer): WorkerHeartbeat | null => {
  try {
    return readWorkerHeartbeat(decode(body));
  } catch {
    // A body that can't be decoded is treated like a malformed heartbeat.
    return null;
  }
};

const readResult = (status: number | undefined, body: Buffer): DirectResult => {
  const heartbeat = readAnswer(body);
  if (status === 200 && heartbeat) return { _tag: 'executed', heartbeat };
  return REFUSALS.has(status) ? { _tag: 'refused', heartbeat } : UNKNOWN;
};

const receiveResponse = (response: http.IncomingMessage, end: (result: DirectResult) => void): void => {
  const chunks: Buffer[] = [];
  response.on('data', (chunk: Buffer) => chunks.push(chunk));
  response.on('error', () => end(UNKNOWN));
  response.on('aborted', () => end(UNKNOWN));
  response.on('end', () => end(readResult(response.statusCode, Buffer.concat(chunks))));
};

/**
 * State: the connections to workers, far fewer than there are workers. Node's agent counts idle connections
 * against its total, so that a command for a worker without a connection would wait for idle connections of
 * other workers until it times out. So the client closes the connection that has been idle longest, and
 * refuses a command at once when `maxSockets` requests are in flight.
 */
export class WorkerClient implements DirectCommandSender {
  private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 1, maxFreeSockets: 1 });
  /** Number of requests in flight. */
  private open = 0;

  constructor(private readonly maxSockets: number) {}

  send(addr: string, token: number, agentEpoch: number, commands: readonly Command[]): Promise<DirectResult> {
    if (this.open >= this.maxSockets) return Promise.resolve(NOT_SENT);
    this.closeOldestIdleConnection();
    this.open += 1;
    return new Promise<DirectResult>((resolve) => {
      this.post(addr, encode(writeDirectCommands(token, agentEpoch, commands)), resolve);
    }).finally(() => {
      this.open -= 1;
    });
  }

  /** Closes the connection that has been idle longest if `maxSockets` connections are open. */
  private closeOldestIdleConnection(): void {
    const idle = Object.values(this.agent.freeSockets);
    let connections = this.open;
    for (const sockets of idle) connections += sockets?.length ?? 0;
    if (connections >= this.maxSockets) idle[0]?.[0]?.destroy();
  }

  private post(addr: string, payload: Buffer, resolve: (result: DirectResult) => void): void {
    const { host, port } = parseTarget(addr);
    const headers = { 'content-type': 'application/msgpack', 'content-length': payload.length };
    let connected = false;
    const end = (result: DirectResult): void => {
      clearTimeout(timer);
      resolve(result);
    };
    // Without a connection, no part of the request has been sent or will be, so the worker can't receive it.
    const fail = (): void => end(connected ? UNKNOWN : NOT_SENT);
    const request = http.request(
      { host, port, method: 'POST', path: '/commands', agent: this.agent, headers },
      (response) => receiveResponse(response, end),
    );
    const timer = setTimeout(() => {
      fail();
      request.destroy();
    }, DIRECT_COMMAND_TIMEOUT_MS);
    request.on('socket', (socket) => {
      if (!socket.connecting) connected = true;
      else socket.once('connect', () => (connected = true));
    });
    request.on('error', fail);
    request.end(...singleWriteArguments(payload));
  }
}
