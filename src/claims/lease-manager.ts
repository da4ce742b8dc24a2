import * as Effect from 'effect/Effect';
import {
  SHARD_CHECK_INTERVAL_MS,
  SHARD_LEASE_RENEWAL_INTERVAL_MS,
  SHARD_LEASE_TTL_MS,
  UNREACHABLE_HANDBACK_PAUSE_MS,
} from '../constants/leases.js';
import { log } from '../log.js';
import type { KeyValueStore } from '../kv-store/client.js';
import { claimKey } from '../kv-store/keys.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import { readClaim, writeClaim } from './codec.js';
import {
  decideClaims,
  LEADER_CLAIM,
  type ClaimHolder,
  type ObservedClaim,
  type PeerStatus,
} from './claim-decisions.js';
import { mayAct, nextLeaseState, type LeaseState, type LeaseEvent } from './lease-state.js';

/** What the lease manager needs of the rest of the controller. */
export interface LeaseManagerInput {
  readonly me: ClaimHolder;
  readonly nodes: readonly string[];
  readonly shardCount: number;
  readonly peers: () => readonly PeerStatus[];
  /** Until when workers may be answered without renewals (ms, steady); null: there is no outage. */
  readonly outageGraceUntil: () => number | null;
  readonly unreachableShards: () => ReadonlyMap<string, string>;
  readonly now: () => number;
}

/** Keeps this node's lease and claims, and knows who holds what. */
export class LeaseManager {
  leaseState: LeaseState = { _tag: 'detached' };
  readonly claimNames: readonly string[];
  private readonly freeSince = new Map<string, number>();

  private workersUnreachableUntil = 0;
  /** Workers lately could not reach this node. */
  get workersUnreachable(): boolean {
    return this.input.now() < this.workersUnreachableUntil;
  }

  constructor(
    private readonly store: KeyValueStore,
    private readonly cache: WatchCache,
    private readonly input: LeaseManagerInput,
  ) {
    this.claimNames = [
      ...Array.from({ length: input.shardCount }, (_, shardId) => String(shardId)),
      LEADER_CLAIM,
    ];
  }

  claim(claimName: string): ObservedClaim | undefined {
    const item = this.cache.get(claimKey(claimName));
    if (!item) return undefined;
    const { node, incarnation } = readClaim(item.value);
    return { node, incarnation, version: item.version };
  }

  /** The revision of this process's claim on the slot, or null when the cache shows another or none. */
  ownRevision(claimName: string): number | null {
    const claim = this.claim(claimName);
    if (!claim || claim.node !== this.input.me.node || claim.incarnation !== this.input.me.incarnation)
      return null;
    return claim.version;
  }

  /** May this node answer workers and decide for the slot right now? */
  actingRevision(claimName: string): number | null {
    return mayAct(this.leaseState, this.input.now()) ? this.ownRevision(claimName) : null;
  }

  get lease(): number | null {
    return this.leaseState._tag === 'detached' ? null : this.leaseState.lease;
  }

  private step(event: LeaseEvent): void {
    const before = this.leaseState._tag;
    this.leaseState = nextLeaseState(this.leaseState, event, SHARD_LEASE_TTL_MS);
    if (before !== this.leaseState._tag)
      log.info({ event: 'lease.change', from: before, to: this.leaseState._tag });
  }

  private readonly renewals: Effect.Effect<never> = Effect.gen({ self: this }, function* () {
    for (;;) {
      const lease = this.lease;
      if (lease === null) {
        const result = yield* this.store.grant();
        if (result._tag === 'held')
          this.step({ _tag: 'granted', lease: result.lease, sentAt: result.sentAt });
        else yield* Effect.sleep(SHARD_CHECK_INTERVAL_MS);
        continue;
      }
      const result = yield* this.store.renew(lease);
      if (result._tag === 'held') this.step({ _tag: 'renewed', lease, sentAt: result.sentAt });
      else if (result._tag === 'gone') {
        this.step({ _tag: 'ended', lease });
        continue;
      }
      yield* Effect.sleep(result._tag === 'held' ? SHARD_LEASE_RENEWAL_INTERVAL_MS : SHARD_CHECK_INTERVAL_MS);
    }
  });

  private readonly looks: Effect.Effect<never> = Effect.gen({ self: this }, function* () {
    for (;;) {
      yield* Effect.sleep(SHARD_CHECK_INTERVAL_MS);
      const now = this.input.now();
      this.step({ _tag: 'tick', now, outageGraceUntil: this.input.outageGraceUntil() });
      const lease = this.lease;
      if (!this.cache.ready || lease === null || !mayAct(this.leaseState, now)) continue;
      const claims = new Map<string, ObservedClaim>();
      for (const claimName of this.claimNames) {
        const claim = this.claim(claimName);
        if (claim) {
          claims.set(claimName, claim);
          this.freeSince.delete(claimName);
        } else if (!this.freeSince.has(claimName)) this.freeSince.set(claimName, now);
      }
      const unreachableShards = this.input.unreachableShards();
      if (unreachableShards.size > 0) this.workersUnreachableUntil = now + UNREACHABLE_HANDBACK_PAUSE_MS;
      const actions = decideClaims({
        me: this.input.me,
        nodes: this.input.nodes,
        claimNames: this.claimNames,
        claims,
        freeSince: this.freeSince,
        peers: this.input.peers(),
        unreachableShards,
        workersUnreachable: this.workersUnreachable,
        now,
      });
      for (const action of actions) {
        const holder: ClaimHolder = action._tag === 'take' ? this.input.me : action.to;
        const holderLease = action._tag === 'take' ? lease : (action.to.lease ?? lease);
        const result = yield* this.store.compareAndSwap(
          [{ key: claimKey(action.claimName), version: action.version }],
          [{ _tag: 'put', key: claimKey(action.claimName), value: writeClaim(holder), lease: holderLease }],
          'vital',
        );
        log.info({
          event: action._tag === 'take' ? 'claim.take' : 'claim.hand',
          claimName: action.claimName,
          to: holder.node,
          result: result._tag,
        });
        // The cache shows the claim in its place among all changes; acting earlier would skip some.
      }
    }
  });

  readonly run: Effect.Effect<unknown> = Effect.all([this.renewals, this.looks], {
    concurrency: 'unbounded',
  });
}
