/**
 * Sends commands straight to workers, for the time until their next report. Placement decides which commands;
 * such a command may be carried out late, which its token and session bound.
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
  /** Nothing was carried out, nor will be. */
  | { readonly _tag: 'refused'; readonly heartbeat: WorkerHeartbeat | null }
  /** May have been carried out, or may be as long as token and session match. */
  | { readonly _tag: 'unknown' };

/** Sends commands to the worker at an address, under a fencing token and to one session. */
export interface DirectCommandSender {
  send(addr: string, token: number, agentEpoch: number, commands: readonly Command[]): Promise<DirectResult>;
}

const NOT_SENT: DirectResult = { _tag: 'refused', heartbeat: null };
const UNKNOWN: DirectResult = { _tag: 'unknown' };
/** Status codes of a worker that does not carry out what it is sent. */
const REFUSALS: ReadonlySet<number | undefined> = new Set([400, 409]);

/** The report in an answer; null: the answer holds none. */
const readAnswer = (body: Buffer): WorkerHeartbeat | null => {
  try {
    return readWorkerHeartbeat(decode(body));
  } catch {
    // A body that can't be unpacked says as little as a malformed report.
    return null;
  }
};

const readResult = (status: number | undefined, body: Buffer): DirectResult => {
  const heartbeat = readAnswer(body);
  if (status === 200 && heartbeat) return { _tag: 'executed', heartbeat };
  return REFUSALS.has(status) ? { _tag: 'refused', heartbeat } : UNKNOWN;
};

const receiveResponse = (response: http.IncomingMessage, end: (result: DirectResult) => void): void => {
  const parts: Buffer[] = [];
  response.on('data', (part: Buffer) => parts.push(part));
  response.on('error', () => end(UNKNOWN));
  response.on('aborted', () => end(UNKNOWN));
  response.on('end', () => end(readResult(response.statusCode, Buffer.concat(parts))));
};

/**
 * State: the connections to workers, which are few against their number. Node's agent counts idle ones
 * against its total, so that a command for a machine without a connection would wait behind idle ones of
 * others until it is given up. So the one that has been idle longest makes way, and a command beyond the
 * bound is refused at once.
 */
export class WorkerClient implements DirectCommandSender {
  private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 1, maxFreeSockets: 1 });
  /** Requests under way. */
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

  /** Closes the connection that has been idle longest if there is no room for one more. */
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
    // A connection that was never made never completes later, so nothing of the request can arrive.
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
