/**
 * The fallback path between the holder of a shard and the leader while the sender has no recent heartbeat of
 * the other: summaries and orders go through the key-value store, few and small. A relayed value grants no
 * authority: the transactions that follow from it are conditional, as in all other cases. Owns the last
 * relayed summary and orders of each shard, and the time at which each key was written. The change
 * dispatcher passes on the values that other controllers wrote; `Transfers` relays orders.
 */
import * as Effect from 'effect/Effect';
import { LEADER_CLAIM } from '../claims/claim-decisions.js';
import { RELAY_CHECK_INTERVAL_MS, RELAY_FRESHNESS_MS, RELAY_INTERVAL_MS } from '../constants/peers.js';
import type { MachineTransfer } from '../fleet/machine-transfer.js';
import type { Reservation } from '../fleet/reservation.js';
import type { ShardSummary } from '../fleet/shard-summary.js';
import type { KeyValueStore } from '../kv-store/client.js';
import { claimKey, ordersKey, summaryKey } from '../kv-store/keys.js';
import { log } from '../log.js';
import type { RelayedOrders } from './orders.js';
import { readRelayedOrders, readRelayedSummary } from './relay-codec.js';
import { fitOrders, fitSummary, type FittedValue } from './relay-size.js';
import type { WireSummary } from './summary-codec.js';

/** What the relay needs of the rest of the controller. */
export interface KeyValueStoreRelayDependencies {
  readonly store: KeyValueStore;
  /** Largest value of a key, in bytes. */
  readonly valueBytes: number;
  /** The steady clock, ms. */
  readonly now: () => number;
  /** The revision of the leader's claim; null: there is no leader. */
  readonly leaderClaim: () => number | null;
  /**
   * Summaries of the shards that this controller holds, while the leader is another controller that can't be
   * reached; else none.
   */
  readonly summariesToRelay: () => readonly ShardSummary[];
  /** Carries out the leader's transfers from a shard. */
  readonly transferMachines: (shardId: number, transfers: readonly MachineTransfer[]) => void;
}

/** A value received through the key-value store, and the time in ms on the steady clock. */
interface Received<Content> {
  readonly content: Content;
  readonly receivedAt: number;
}

/** Whether a summary has neither unmet demand nor spare machines that are listed one by one. */
const isEmpty = ({ needs, spares }: WireSummary): boolean => needs.length + spares.length === 0;

/**
 * Returns the claim and the numbers of entries of a summary. An empty summary is not written if its digest
 * equals that of the last written summary.
 */
const digestOf = ({ claim, needs, spares }: WireSummary): string =>
  `${claim}|${needs.length}|${spares.length}`;

/** Relays summaries and orders through the key-value store to controllers without a recent heartbeat. */
export class KeyValueStoreRelay {
  private readonly receivedSummaries = new Map<number, Received<ShardSummary>>();
  private readonly receivedOrders = new Map<number, Received<RelayedOrders>>();
  /** By key: time of this controller's last write, in ms on the steady clock. */
  private readonly writtenAt = new Map<string, number>();
  /** By shard: digest of the summary that was last written. */
  private readonly lastDigest = new Map<number, string>();

  constructor(private readonly dependencies: KeyValueStoreRelayDependencies) {}

  /** Records a relayed summary that the key-value store shows. */
  onSummary(shardId: number, value: unknown): void {
    const summary = readRelayedSummary(value);
    if (summary === null) return;
    this.receivedSummaries.set(shardId, { content: summary, receivedAt: this.dependencies.now() });
  }

  /**
   * Records relayed orders that the key-value store shows, and carries out their transfers; orders of a
   * leader that was replaced are ignored.
   */
  onOrders(shardId: number, value: unknown): void {
    const orders = readRelayedOrders(value);
    if (orders === null) return;
    if (orders.leaderClaim !== this.dependencies.leaderClaim()) return;
    this.receivedOrders.set(shardId, { content: orders, receivedAt: this.dependencies.now() });
    if (orders.transfers.length > 0) this.dependencies.transferMachines(shardId, orders.transfers);
  }

  /**
   * Returns the last relayed summary of a shard if it is recent and was written under this claim; else null.
   */
  summary(shardId: number, claim: number): ShardSummary | null {
    const summary = this.contentIfRecent(this.receivedSummaries.get(shardId));
    return summary?.claim === claim ? summary : null;
  }

  /** Returns the reservations in the last relayed orders for a shard if the orders are recent; else none. */
  reservations(shardId: number): readonly Reservation[] {
    return this.contentIfRecent(this.receivedOrders.get(shardId))?.reservations ?? [];
  }

  /**
   * Relays the leader's orders to the holder of a shard that can't be reached, at most once every
   * `RELAY_INTERVAL_MS`.
   */
  relayOrders(
    shardId: number,
    transfers: readonly MachineTransfer[],
    reservations: readonly Reservation[],
  ): Effect.Effect<unknown> {
    const leaderClaim = this.dependencies.leaderClaim();
    const key = ordersKey(shardId);
    if (leaderClaim === null || !this.isDue(key)) return Effect.void;
    const orders = fitOrders({ leaderClaim, transfers, reservations }, this.dependencies.valueBytes);
    return this.write(key, orders, LEADER_CLAIM, leaderClaim);
  }

  /** Relays the summaries of the shards that this controller holds while the leader can't be reached. */
  readonly run: Effect.Effect<never> = Effect.gen({ self: this }, function* () {
    for (;;) {
      yield* Effect.sleep(RELAY_CHECK_INTERVAL_MS);
      for (const summary of this.dependencies.summariesToRelay()) yield* this.relaySummary(summary);
    }
  });

  private relaySummary(summary: ShardSummary): Effect.Effect<unknown> {
    const { shardId, claim } = summary;
    const key = summaryKey(shardId);
    if (!this.isDue(key)) return Effect.void;
    const fitted = fitSummary(summary, this.dependencies.valueBytes);
    if (fitted._tag === 'fits') {
      const digest = digestOf(fitted.stored);
      // An empty summary is not written right after another empty summary under the same claim.
      if (isEmpty(fitted.stored) && this.lastDigest.get(shardId) === digest) return Effect.void;
      this.lastDigest.set(shardId, digest);
    }
    return this.write(key, fitted, String(shardId), claim);
  }

  private contentIfRecent<Content>(received: Received<Content> | undefined): Content | null {
    return received && this.dependencies.now() - received.receivedAt < RELAY_FRESHNESS_MS
      ? received.content
      : null;
  }

  private isDue(key: string): boolean {
    const writtenAt = this.writtenAt.get(key) ?? Number.NEGATIVE_INFINITY;
    return this.dependencies.now() - writtenAt >= RELAY_INTERVAL_MS;
  }

  /**
   * Writes a value on the condition that the writer still holds its claim: a delayed write of a replaced
   * holder must not overwrite a newer value. A value that is too large even without entries is not written:
   * the reader uses the previous value until that is too old.
   */
  private write(
    key: string,
    value: FittedValue<unknown>,
    claimName: string,
    claim: number,
  ): Effect.Effect<unknown> {
    this.writtenAt.set(key, this.dependencies.now());
    if (value._tag === 'tooLarge') {
      log.error({ event: 'relay.value_too_large', key, bytes: value.bytes });
      return Effect.void;
    }
    if (Object.keys(value.omitted).length > 0)
      log.info({ event: 'relay.value_shortened', key, omitted: value.omitted });
    const conditions = [{ key: claimKey(claimName), version: claim }];
    const put = { _tag: 'put', key, value: value.stored } as const;
    return this.dependencies.store.compareAndSwap(conditions, [put], 'work');
  }
}
