/**
 * The slow way between a shard's holder and the leader when their connections are refused: summaries and
 * orders through the key-value store, few and small. Nothing here gives any right; what is done is
 * conditional as always. Owns the last relayed summary and orders of each shard, and when each key was
 * written; the change dispatcher passes on what others wrote, the transfers give orders.
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
  /** bytes: largest value of a key. */
  readonly valueBytes: number;
  /** ms, steady. */
  readonly now: () => number;
  /** The revision of the leader's claim. */
  readonly leaderClaim: () => number | null;
  /**
   * Summaries of the shards held here, while the leader is another controller that can't be reached; else
   * none.
   */
  readonly summariesToRelay: () => readonly ShardSummary[];
  /** Carries out the leader's transfers from a shard. */
  readonly transferMachines: (shardId: number, transfers: readonly MachineTransfer[]) => void;
}

/** Something that came through the store, and when; ms on the clock of the relay. */
interface Received<Content> {
  readonly content: Content;
  readonly receivedAt: number;
}

const isEmpty = ({ needs, spares }: WireSummary): boolean => needs.length + spares.length === 0;

/** Tells whether an empty summary was written under this claim before. */
const digestOf = ({ claim, needs, spares }: WireSummary): string =>
  `${claim}|${needs.length}|${spares.length}`;

/** Passes summaries and orders through the key-value store where connections are refused. */
export class KeyValueStoreRelay {
  private readonly receivedSummaries = new Map<number, Received<ShardSummary>>();
  private readonly receivedOrders = new Map<number, Received<RelayedOrders>>();
  /** When this controller last wrote each key. */
  private readonly writtenAt = new Map<string, number>();
  /** Of the summary that was last written for each shard. */
  private readonly lastDigest = new Map<number, string>();

  constructor(private readonly dependencies: KeyValueStoreRelayDependencies) {}

  /** The store shows a relayed summary. */
  onSummary(shardId: number, value: unknown): void {
    const summary = readRelayedSummary(value);
    if (summary === null) return;
    this.receivedSummaries.set(shardId, { content: summary, receivedAt: this.dependencies.now() });
  }

  /** The store shows relayed orders; those of a leader that was replaced count for nothing. */
  onOrders(shardId: number, value: unknown): void {
    const orders = readRelayedOrders(value);
    if (orders === null) return;
    if (orders.leaderClaim !== this.dependencies.leaderClaim()) return;
    this.receivedOrders.set(shardId, { content: orders, receivedAt: this.dependencies.now() });
    if (orders.transfers.length > 0) this.dependencies.transferMachines(shardId, orders.transfers);
  }

  /** The last relayed summary of a shard, if it is recent and by this very claim. */
  summary(shardId: number, claim: number): ShardSummary | null {
    const summary = this.contentIfRecent(this.receivedSummaries.get(shardId));
    return summary?.claim === claim ? summary : null;
  }

  /** The reservations in the last relayed orders for a shard, if they are recent. */
  reservations(shardId: number): readonly Reservation[] {
    return this.contentIfRecent(this.receivedOrders.get(shardId))?.reservations ?? [];
  }

  /** Gives the leader's orders to the holder of a shard that can't be reached, at most once an interval. */
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

  /** Relays the summaries of the shards held here for as long as the leader can't be reached. */
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
    const short = fitSummary(summary, this.dependencies.valueBytes);
    if (short._tag === 'fits') {
      const digest = digestOf(short.stored);
      // Nothing needed and nothing to spare is written once.
      if (isEmpty(short.stored) && this.lastDigest.get(shardId) === digest) return Effect.void;
      this.lastDigest.set(shardId, digest);
    }
    return this.write(key, short, String(shardId), claim);
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
   * Conditional on the writer's claim: a late copy of a replaced one must not hide what is newer. What fits
   * no value is not written: whoever waits for it goes on with what came before, until that is too old.
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
