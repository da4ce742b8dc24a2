/**
 * Provides the state of this controller's lease and of all claims to the rest of the controller: which
 * process holds each claim, and which claims this process may act on. Its only state is that of its two
 * parts, `lease-renewal.ts` (the lease) and `claim-reconciler.ts` (the claims).
 */
import * as Effect from 'effect/Effect';
import type { KeyValueStore } from '../kv-store/client.js';
import { claimKey } from '../kv-store/keys.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import { isSameHolder, LEADER_CLAIM, type ObservedClaim } from './claim-decisions.js';
import { ClaimReconciler, type ClaimReconcilerDependencies } from './claim-reconciler.js';
import { readClaim } from './codec.js';
import { LeaseRenewal } from './lease-renewal.js';

/** What the lease manager needs from the rest of the controller. */
interface LeaseManagerDependencies extends ClaimReconcilerDependencies {
  readonly shardCount: number;
}

/** Maintains this controller's lease and claims, and looks up the holders of all claims. */
export class LeaseManager {
  /** The names of the claims on all shards and on the leadership. */
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

  /** The id of this controller's lease in the key-value store; null: the controller has no lease. */
  get lease(): number | null {
    return this.renewal.lease;
  }

  /** Whether workers could not reach this controller recently. */
  get workersUnreachable(): boolean {
    return this.reconciler.workersUnreachable;
  }

  /** Returns the claim as the watch cache shows it; undefined: the claim has no holder. */
  claim(claimName: string): ObservedClaim | undefined {
    const entry = this.cache.get(claimKey(claimName));
    return entry && { ...readClaim(entry.value), revision: entry.version };
  }

  /**
   * Returns the revision of a claim that this process holds, which is its fencing token; null: the watch
   * cache shows another holder or none.
   */
  heldClaimRevision(claimName: string): number | null {
    const claim = this.claim(claimName);
    return claim && isSameHolder(claim, this.dependencies.self) ? claim.revision : null;
  }

  /**
   * Returns the revision of a claim if this process holds the claim and its lease permits it to act on the
   * claim now; else null. Acting on a claim means answering workers and making decisions as its holder. Only
   * the lease to which the claim is attached permits this; a later lease of the same process does not.
   */
  actingClaimRevision(claimName: string): number | null {
    if (!this.renewal.mayAct(this.dependencies.now())) return null;
    const revision = this.heldClaimRevision(claimName);
    return revision !== null && this.renewal.isAttached(revision) ? revision : null;
  }

  /** Maintains the lease and the claims until the fiber is interrupted. */
  get run(): Effect.Effect<unknown> {
    return Effect.all([this.renewal.run, this.reconciler.run], { concurrency: 'unbounded' });
  }
}
