/** The open connections of one server. Used by `src/http/server.ts` alone. */
import type { Socket } from 'node:net';

/** Tracks the open connections of a server. Owns the time at which each was last used. */
export class Connections {
  /** Time of the last use by connection, in ms of the steady clock. */
  private readonly lastUsedAt = new Map<Socket, number>();

  /** Number of open connections. */
  get count(): number {
    return this.lastUsedAt.size;
  }

  /** Tracks a new connection until it closes. */
  add(socket: Socket): void {
    this.markUsed(socket);
    socket.once('close', () => this.lastUsedAt.delete(socket));
  }

  /** Records that a connection is used now. */
  markUsed(socket: Socket): void {
    this.lastUsedAt.set(socket, performance.now());
  }

  /** Closes the connections that have been unused for `idleMs` ms. */
  closeIdle(idleMs: number): void {
    const oldestAllowed = performance.now() - idleMs;
    for (const [socket, lastUsedAt] of this.lastUsedAt) if (lastUsedAt < oldestAllowed) socket.destroy();
  }
}
