/**
 * This controller's lease and claims, as the rest of the controller sees them: who holds what, and what this
 * process may act on. Owns no state but its two parts: `lease-renewal.ts` (the lease) and `claim-keeper.ts`
 * (the claims).
 */
import * as Effect from 'effect/Effect';
import type { KeyValueStore } from '../kv-store/client.js';
import { claimKey } from '../kv-store/keys.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import { isSameHolder, LEADER_CLAIM, type ObservedClaim } from './claim-decisions.js';
import { ClaimReconciler, type ClaimReconcilerDependencies } from './claim-keeper.js';
import { readClaim } from './codec.js';
import { LeaseRenewal } from './lease-renewal.js';

/** What the lease manager needs of the rest of the controller. */
interface LeaseManagerDependencies extends ClaimReconcilerDependencies {
  readonly shardCount: number;
}

/** Keeps this controller's lease and claims, and knows who holds what. */
export class LeaseManager {
  /** The claims on all shards and on the leadership. */
  readonly claimNames: readonly string[];
  private readonly renewal: LeaseRenewal;
  private readonly reconciler: ClaimReconciler;

  constructor(
    store: KeyValueStore,
    private readonly cache: WatchCache,
    private readonly dependencies: LeaseManagerDependencies,
  ) {
    const shards = Array.from({ length: dependencies.shardCount }, (_, shardId) => String(shardId));
    this.claimNames = [...shards, LEADER_CLAIM];
    this.renewal = new LeaseRenewal(store, dependencies.now);
    this.reconciler = new ClaimReconciler(
      store,
      cache,
      this.renewal,
      this.claimNames,
      (claimName) => this.claim(claimName),
      dependencies,
    );
  }

  /** The lease in the store; null: there is none. */
  get lease(): number | null {
    return this.renewal.lease;
  }

  /** Workers lately could not reach this controller. */
  get workersUnreachable(): boolean {
    return this.reconciler.workersUnreachable;
  }

  /** The claim as the watch cache shows it; undefined: nobody holds it. */
  claim(claimName: string): ObservedClaim | undefined {
    const entry = this.cache.get(claimKey(claimName));
    return entry && { ...readClaim(entry.value), revision: entry.version };
  }

  /**
   * The revision of this process's claim, its fencing token; null: the watch cache shows another holder or
   * none.
   */
  heldClaimRevision(claimName: string): number | null {
    const claim = this.claim(claimName);
    return claim && isSameHolder(claim, this.dependencies.self) ? claim.revision : null;
  }

  /**
   * The same, if the lease lets this process answer workers and decide under the claim now; null: it may not.
   * A claim counts under the lease that it is attached to, not under a later one of this process.
   */
  actingClaimRevision(claimName: string): number | null {
    if (!this.renewal.mayAct(this.dependencies.now())) return null;
    const revision = this.heldClaimRevision(claimName);
    return revision !== null && this.renewal.isAttached(revision) ? revision : null;
  }

  /** Keeps lease and claims until it is interrupted. */
  get run(): Effect.Effect<unknown> {
    return Effect.all([this.renewal.run, this.reconciler.run], { concurrency: 'unbounded' });
  }
}
