import * as http from 'node:http';
import { DIRECT_COMMAND_TIMEOUT_MS } from '../constants/workers.js';
import { decode, encode, oneWrite, parseTarget } from '../http.js';
import { readWorkerHeartbeat, writeOrders } from './codec.js';
import type { Command, WorkerHeartbeat } from './model.js';

/** Commands sent straight to a worker, for the time until its next report. They may be carried out late. */
export type DirectResult =
  | { readonly _tag: 'executed'; readonly heartbeat: WorkerHeartbeat }
  /** Nothing was carried out, nor will be. */
  | { readonly _tag: 'refused'; readonly heartbeat: WorkerHeartbeat | null }
  /** May have been carried out, or may be as long as token and session match. */
  | { readonly _tag: 'unsure' };

/** Sends commands to the worker at an address. */
export interface DirectCommands {
  send(addr: string, token: number, agentEpoch: number, commands: readonly Command[]): Promise<DirectResult>;
}

/**
 * Connections to workers are few against their number, and Node's agent counts idle ones against its total: a
 * command for a machine without a connection would wait behind idle ones of others until it is given up. So
 * the one that has been idle longest makes way, and a command beyond the bound is refused at once.
 */
export class WorkerClient implements DirectCommands {
  private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 1, maxFreeSockets: 1 });
  private open = 0;
  constructor(private readonly sockets: number) {}

  private makeRoom(): void {
    const idle = this.agent.freeSockets;
    let count = this.open;
    for (const name in idle) count += idle[name]?.length ?? 0;
    if (count < this.sockets) return;
    for (const name in idle) {
      idle[name]?.[0]?.destroy();
      return;
    }
  }

  send(addr: string, token: number, agentEpoch: number, commands: readonly Command[]): Promise<DirectResult> {
    if (this.open >= this.sockets) return Promise.resolve({ _tag: 'refused', heartbeat: null });
    this.makeRoom();
    this.open += 1;
    return new Promise<DirectResult>((resolve) => {
      const payload = encode({ ...(writeOrders(token, commands) as object), stint: agentEpoch });
      const { host, port } = parseTarget(addr);
      let connected = false;
      const end = (result: DirectResult): void => {
        clearTimeout(timer);
        resolve(result);
      };
      const req = http.request(
        {
          host,
          port,
          method: 'POST',
          path: '/commands',
          agent: this.agent,
          headers: { 'content-type': 'application/msgpack', 'content-length': payload.length },
        },
        (res) => {
          const parts: Buffer[] = [];
          res.on('data', (part: Buffer) => parts.push(part));
          res.on('error', () => end({ _tag: 'unsure' }));
          res.on('aborted', () => end({ _tag: 'unsure' }));
          res.on('end', () => {
            let heartbeat: WorkerHeartbeat | null = null;
            try {
              heartbeat = readWorkerHeartbeat(decode(Buffer.concat(parts)));
            } catch {
              heartbeat = null;
            }
            if (res.statusCode === 200 && heartbeat) end({ _tag: 'executed', heartbeat });
            else if (res.statusCode === 409 || res.statusCode === 400) end({ _tag: 'refused', heartbeat });
            else end({ _tag: 'unsure' });
          });
        },
      );
      const timer = setTimeout(() => {
        // A connection that was never made never completes later, so nothing of it can arrive.
        end(connected ? { _tag: 'unsure' } : { _tag: 'refused', heartbeat: null });
        req.destroy();
      }, DIRECT_COMMAND_TIMEOUT_MS);
      req.on('socket', (socket) => {
        if (!socket.connecting) connected = true;
        else socket.once('connect', () => (connected = true));
      });
      req.on('error', () => end(connected ? { _tag: 'unsure' } : { _tag: 'refused', heartbeat: null }));
      req.end(...oneWrite(payload));
    }).finally(() => {
      this.open -= 1;
    });
  }
}
