/**
 * Schedules the exchange of heartbeats: one loop per peer, which exchanges heartbeats about once a second.
 * Owns the set of peers that receive a heartbeat before the next one is due. The peer network runs the loops.
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
  /** The steady clock, ms. */
  readonly now: () => number;
  /** ms since the last heartbeat of a peer; null: none has been received yet. */
  readonly heartbeatAgeMs: (node: string) => number | null;
  /** Sends a heartbeat to a peer and records its answer. */
  readonly exchange: (node: string) => Promise<void>;
}

/** The loops that exchange heartbeats with the peers. */
export class HeartbeatExchange {
  /** By peer: ends the current pause before the next exchange early. */
  private readonly endPause = new Map<string, () => void>();
  /** Peers to which the next heartbeat is sent whether or not one is due. */
  private readonly pendingNotifications = new Set<string>();

  constructor(private readonly dependencies: HeartbeatExchangeDependencies) {}

  /**
   * Sends a peer a heartbeat soon: at the earliest `HEARTBEAT_NOTIFICATION_INTERVAL_MS` after the current
   * pause began.
   */
  notify(node: string): void {
    this.endPause.get(node)?.();
  }

  /**
   * ms without a heartbeat of a peer after which this controller begins an exchange; shorter for the
   * controller of the pair whose name comes first.
   */
  private initiationDelayMs(node: string): number {
    return HEARTBEAT_INTERVAL_MS * (this.dependencies.ownNode < node ? 1 : HEARTBEAT_RESPONDER_FACTOR);
  }

  /** ms until this controller begins the next exchange with a peer if no heartbeat arrives before. */
  private nextExchangeDelayMs(node: string): number {
    const age = this.dependencies.heartbeatAgeMs(node) ?? 0;
    const wait = this.initiationDelayMs(node);
    // A peer whose heartbeat is overdue is contacted once every heartbeat interval.
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
   * Whether this controller begins an exchange with the peer now. A controller answers a heartbeat with its
   * own, so only one controller of each pair needs to begin: the other begins when no heartbeat arrived in
   * time.
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

  /** Runs the loops, one per peer. */
  get run(): Effect.Effect<unknown> {
    return Effect.all(
      this.dependencies.peerNodes.map((node) => this.exchangeWith(node)),
      { concurrency: 'unbounded' },
    );
  }
}
