import * as Effect from 'effect/Effect';
import { LEADER_CLAIM } from '../claims/claim-decisions.js';
import { VALUE_FILL_FRACTION } from '../constants/key-value-store.js';
import {
  MAX_RELAYED_GANGS_PER_DEMAND,
  MIN_RELAYED_RESERVATIONS,
  RELAY_CHECK_INTERVAL_MS,
  RELAY_FRESHNESS_MS,
  RELAY_INTERVAL_MS,
} from '../constants/peers.js';
import type { Reservation, MachineTransfer, ShardSummary } from '../fleet/records.js';
import type { KeyValueStore } from '../kv-store/client.js';
import { claimKey, ordersKey, summaryKey } from '../kv-store/keys.js';
import type { RelayedOrders } from './orders.js';
import { readRelayedOrders, readRelayedSummary, writeRelayedOrders } from './relay-codec.js';
import { writeSummary } from './summary-codec.js';

/**
 * The slow way between a share's holder and the leader when their connections are refused: summaries and
 * orders through the state service, few and small. Nothing here gives any right; what is done is conditional
 * as always.
 */
export interface KeyValueStoreRelayDependencies {
  readonly store: KeyValueStore;
  /** bytes: largest value of a key. */
  readonly valueBytes: number;
  readonly now: () => number;
  /** The revision of the leader's claim. */
  readonly leaderClaim: () => number | null;
  /** Shares held here whose leader is another node that can't be heard. */
  readonly cutOff: () => readonly ShardSummary[];
  readonly transferMachines: (shardId: number, moves: readonly MachineTransfer[]) => void;
}

/** Passes summaries and orders through the state service where connections are refused. */
export class KeyValueStoreRelay {
  private readonly heard = new Map<number, { summary: ShardSummary; at: number }>();
  private readonly told = new Map<number, { orders: RelayedOrders; at: number }>();
  private readonly wroteAt = new Map<string, number>();
  private readonly lastSaid = new Map<number, string>();

  constructor(private readonly input: KeyValueStoreRelayDependencies) {}

  /** The state service shows a relayed summary. */
  onSummary(shardId: number, value: unknown): void {
    const summary = readRelayedSummary(value);
    if (summary !== null) this.heard.set(shardId, { summary, at: this.input.now() });
  }

  /** The state service shows relayed orders; those of a leader that was replaced count for nothing. */
  onOrders(shardId: number, value: unknown): void {
    const orders = readRelayedOrders(value);
    if (orders === null || orders.leader !== this.input.leaderClaim()) return;
    this.told.set(shardId, { orders, at: this.input.now() });
    if (orders.moves.length > 0) this.input.transferMachines(shardId, orders.moves);
  }

  /** What a share's holder last said this way, if that is recent and by this very claim. */
  summary(shardId: number, claim: number): ShardSummary | null {
    const heard = this.heard.get(shardId);
    return heard && heard.summary.claim === claim && this.input.now() - heard.at < RELAY_FRESHNESS_MS
      ? heard.summary
      : null;
  }

  reservations(shardId: number): readonly Reservation[] {
    const told = this.told.get(shardId);
    return told && this.input.now() - told.at < RELAY_FRESHNESS_MS ? told.orders.reservations : [];
  }

  private due(key: string): boolean {
    return this.input.now() - (this.wroteAt.get(key) ?? Number.NEGATIVE_INFINITY) >= RELAY_INTERVAL_MS;
  }

  /**
   * Conditional on the claim of whoever writes: a late copy of a replaced one must not hide what is newer.
   */
  private write(key: string, value: unknown, claimName: string, claim: number): Effect.Effect<unknown> {
    this.wroteAt.set(key, this.input.now());
    const when = [{ key: claimKey(claimName), version: claim }];
    return this.input.store.compareAndSwap(when, [{ _tag: 'put', key, value }], 'work');
  }

  /** The leader's orders for a share whose holder it can't reach. */
  order(
    shardId: number,
    moves: readonly MachineTransfer[],
    reservations: readonly Reservation[],
  ): Effect.Effect<unknown> {
    const leader = this.input.leaderClaim();
    const key = ordersKey(shardId);
    if (leader === null || !this.due(key)) return Effect.void;
    const stored = writeRelayedOrders(this.fittingOrders({ leader, moves, reservations }));
    return this.write(key, stored, LEADER_CLAIM, leader);
  }

  /** Measures the value as it is stored. */
  private tooLong(value: unknown): boolean {
    return Buffer.byteLength(JSON.stringify(value)) > this.input.valueBytes * VALUE_FILL_FRACTION;
  }

  /** What doesn't fit comes with the next orders. */
  private fittingOrders(orders: RelayedOrders): RelayedOrders {
    let fit = orders;
    while (this.tooLong(writeRelayedOrders(fit)) && fit.moves.length + fit.reservations.length > 0) {
      fit = {
        ...fit,
        moves: fit.moves.slice(0, Math.floor(fit.moves.length / 2)),
        reservations:
          fit.reservations.length > MIN_RELAYED_RESERVATIONS
            ? fit.reservations.slice(0, Math.floor(fit.reservations.length / 2))
            : fit.reservations,
      };
      if (fit.moves.length === 0 && this.tooLong(writeRelayedOrders(fit)))
        fit = { ...fit, reservations: fit.reservations.slice(0, -1) };
    }
    return fit;
  }

  /** Halved until it fits: what comes first matters most. */
  private fitting(summary: ShardSummary): ShardSummary {
    let fit = summary;
    while (this.tooLong(writeSummary(fit)) && fit.needs.length + fit.spares.length > 0) {
      fit = {
        ...fit,
        needs: fit.needs
          .slice(0, Math.ceil(fit.needs.length / 2))
          .map((need) => ({ ...need, gangs: need.gangs.slice(0, MAX_RELAYED_GANGS_PER_DEMAND) })),
        spares: fit.spares.slice(0, Math.floor(fit.spares.length / 2)),
      };
    }
    return fit;
  }

  readonly run: Effect.Effect<never> = Effect.gen({ self: this }, function* () {
    for (;;) {
      yield* Effect.sleep(RELAY_CHECK_INTERVAL_MS);
      for (const summary of this.input.cutOff()) {
        const key = summaryKey(summary.shardId);
        if (!this.due(key)) continue;
        const fit = this.fitting(summary);
        // Nothing needed and nothing to spare is said once.
        const said = `${summary.claim}|${fit.needs.length}|${fit.spares.length}`;
        if (fit.needs.length + fit.spares.length === 0 && this.lastSaid.get(summary.shardId) === said)
          continue;
        this.lastSaid.set(summary.shardId, said);
        yield* this.write(key, writeSummary(fit), String(summary.shardId), summary.claim);
      }
    }
  });
}
