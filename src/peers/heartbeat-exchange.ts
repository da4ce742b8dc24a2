/**
 * The rhythm of heartbeats: one loop a peer, which exchanges heartbeats about once a second. Owns which peers
 * are to get one ahead of time; the peer network runs it.
 */
import * as Effect from 'effect/Effect';
import {
  HEARTBEAT_DUE_FRACTION,
  HEARTBEAT_INTERVAL_MS,
  HEARTBEAT_NOTIFICATION_INTERVAL_MS,
  HEARTBEAT_RESPONDER_FACTOR,
  MIN_HEARTBEAT_PAUSE_MS,
} from '../constants/peers.js';

/** What the exchange of heartbeats needs of the peer network. */
export interface HeartbeatExchangeDependencies {
  /** This controller's name. */
  readonly ownNode: string;
  /** The other controllers. */
  readonly peerNodes: readonly string[];
  /** ms, steady. */
  readonly now: () => number;
  /** ms since the last heartbeat of a peer; null: none came yet. */
  readonly heartbeatAgeMs: (node: string) => number | null;
  /** Sends a heartbeat to a peer and records its answer. */
  readonly exchange: (node: string) => Promise<void>;
}

/** The loops that exchange heartbeats with the peers. */
export class HeartbeatExchange {
  /** How to end the present pause before the next exchange with a peer. */
  private readonly endPause = new Map<string, () => void>();
  /** Peers that are to get a heartbeat whether or not one is due. */
  private readonly pendingNotifications = new Set<string>();

  constructor(private readonly dependencies: HeartbeatExchangeDependencies) {}

  /** Has a peer get a heartbeat soon. */
  notify(node: string): void {
    this.endPause.get(node)?.();
  }

  /** ms without a heartbeat of a peer after which this controller begins an exchange. */
  private initiationDelayMs(node: string): number {
    return HEARTBEAT_INTERVAL_MS * (this.dependencies.ownNode < node ? 1 : HEARTBEAT_RESPONDER_FACTOR);
  }

  /** ms until this controller would begin an exchange with a peer. */
  private nextExchangeDelayMs(node: string): number {
    const age = this.dependencies.heartbeatAgeMs(node) ?? 0;
    const wait = this.initiationDelayMs(node);
    // One that does not answer is tried every heartbeat.
    return age >= wait ? HEARTBEAT_INTERVAL_MS : Math.max(MIN_HEARTBEAT_PAUSE_MS, wait - age);
  }

  private pause(node: string): Promise<void> {
    const { now } = this.dependencies;
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, this.nextExchangeDelayMs(node));
      const begunAt = now();
      this.endPause.set(node, () => {
        this.endPause.delete(node);
        this.pendingNotifications.add(node);
        clearTimeout(timer);
        setTimeout(resolve, Math.max(0, HEARTBEAT_NOTIFICATION_INTERVAL_MS - (now() - begunAt)));
      });
    });
  }

  /**
   * Each answers a heartbeat with its own, so of two controllers one need begin: the other does when no
   * heartbeat came in time.
   */
  private isDue(node: string): boolean {
    const age = this.dependencies.heartbeatAgeMs(node);
    if (age === null || this.pendingNotifications.delete(node)) return true;
    return age >= this.initiationDelayMs(node) * HEARTBEAT_DUE_FRACTION;
  }

  private exchangeWith(node: string): Effect.Effect<never> {
    return Effect.promise(async () => {
      if (this.isDue(node)) await this.dependencies.exchange(node);
    }).pipe(Effect.andThen(Effect.promise(() => this.pause(node))), Effect.forever);
  }

  /** All loops, one a peer. */
  get run(): Effect.Effect<unknown> {
    return Effect.all(
      this.dependencies.peerNodes.map((node) => this.exchangeWith(node)),
      { concurrency: 'unbounded' },
    );
  }
}
