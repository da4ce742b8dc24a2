/** The open connections of one server. Used by `src/http/server.ts` alone. */
import type { Socket } from 'node:net';

/** State: when each open connection was last used. */
export class Connections {
  /** ms, by the steady clock. */
  private readonly lastUsedAt = new Map<Socket, number>();

  get count(): number {
    return this.lastUsedAt.size;
  }

  /** Counts a new connection until it closes. */
  add(socket: Socket): void {
    this.markUsed(socket);
    socket.once('close', () => this.lastUsedAt.delete(socket));
  }

  markUsed(socket: Socket): void {
    this.lastUsedAt.set(socket, performance.now());
  }

  /** Closes the connections that were not used for so many ms. */
  closeIdle(idleMs: number): void {
    const since = performance.now() - idleMs;
    for (const [socket, lastUsedAt] of this.lastUsedAt) if (lastUsedAt < since) socket.destroy();
  }
}
