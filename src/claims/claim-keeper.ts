/**
 * Checks the claims at a fixed interval and takes or hands over those that `claim-decisions.ts` names. Owns
 * since when each claim has been free, and until when this controller counts as unreachable for workers. Run
 * by `lease-manager.ts`.
 */
import * as Effect from 'effect/Effect';
import { CLAIM_CHECK_INTERVAL_MS, UNREACHABLE_WORKERS_HANDBACK_PAUSE_MS } from '../constants/leases.js';
import type { KeyValueStore } from '../kv-store/client.js';
import { claimKey } from '../kv-store/keys.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import { log } from '../log.js';
import {
  decideClaims,
  type ClaimAction,
  type ClaimHolder,
  type ClaimsSnapshot,
  type ObservedClaim,
  type PeerStatus,
} from './claim-decisions.js';
import { writeClaim } from './codec.js';
import type { LeaseRenewal } from './lease-renewal.js';

/** What keeping claims needs of the rest of the controller. */
export interface ClaimReconcilerDependencies {
  /** This process. */
  readonly self: ClaimHolder;
  /** All controllers by name, in order. */
  readonly controllers: readonly string[];
  readonly peers: () => readonly PeerStatus[];
  /** ms, lease clock: until when workers may be answered without renewals; null: there is no outage. */
  readonly outageGraceUntil: () => number | null;
  /** Claims of this process whose workers reach another controller only: by claim name, that controller. */
  readonly unreachableShards: () => ReadonlyMap<string, string>;
  /** ms, lease clock. */
  readonly now: () => number;
}

/** Reads one claim as the watch cache shows it. */
export type ClaimReader = (claimName: string) => ObservedClaim | undefined;

/** Who holds a claim after an action, and the lease to which the claim is attached. */
interface NextHolder {
  readonly holder: ClaimHolder;
  readonly lease: number;
}

const nextHolder = (action: ClaimAction, self: ClaimHolder, lease: number): NextHolder =>
  action._tag === 'take' ? { holder: self, lease } : { holder: action.to, lease: action.to.lease ?? lease };

/** Takes claims and hands them over. */
export class ClaimReconciler {
  private readonly freeSince = new Map<string, number>();
  private workersUnreachableUntil = 0;

  constructor(
    private readonly store: Pick<KeyValueStore, 'compareAndSwap'>,
    private readonly cache: Pick<WatchCache, 'ready'>,
    private readonly renewal: LeaseRenewal,
    private readonly claimNames: readonly string[],
    private readonly readClaim: ClaimReader,
    private readonly dependencies: ClaimReconcilerDependencies,
  ) {}

  /** Workers lately could not reach this controller. */
  get workersUnreachable(): boolean {
    return this.dependencies.now() < this.workersUnreachableUntil;
  }

  /** The claims that somebody holds; notes since when the others have been free. */
  private observeClaims(now: number): ReadonlyMap<string, ObservedClaim> {
    const claims = new Map<string, ObservedClaim>();
    for (const claimName of this.claimNames) {
      const claim = this.readClaim(claimName);
      if (claim) {
        claims.set(claimName, claim);
        this.freeSince.delete(claimName);
      } else if (!this.freeSince.has(claimName)) this.freeSince.set(claimName, now);
    }
    return claims;
  }

  private situation(now: number): ClaimsSnapshot {
    const claims = this.observeClaims(now);
    const unreachableShards = this.dependencies.unreachableShards();
    if (unreachableShards.size > 0)
      this.workersUnreachableUntil = now + UNREACHABLE_WORKERS_HANDBACK_PAUSE_MS;
    return {
      self: this.dependencies.self,
      controllers: this.dependencies.controllers,
      claimNames: this.claimNames,
      claims,
      freeSince: this.freeSince,
      peers: this.dependencies.peers(),
      unreachableShards,
      now,
    };
  }

  /**
   * Writes the claim, if nobody wrote it since it was observed. Its new holder acts on it only once its watch
   * cache shows it in its place among all changes: acting earlier would miss some.
   */
  private carryOut(action: ClaimAction, ownLease: number): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const { holder, lease } = nextHolder(action, this.dependencies.self, ownLease);
      const key = claimKey(action.claimName);
      const result = yield* this.store.compareAndSwap(
        [{ key, version: action.observedRevision }],
        [{ _tag: 'put', key, value: writeClaim(holder), lease }],
        'vital',
      );
      log.info({
        event: action._tag === 'take' ? 'claim.take_ended' : 'claim.handover_ended',
        claimName: action.claimName,
        to: holder.node,
        result: result._tag,
      });
    });
  }

  private readonly check: Effect.Effect<void> = Effect.gen({ self: this }, function* () {
    const now = this.dependencies.now();
    this.renewal.tick(now, this.dependencies.outageGraceUntil());
    const { lease } = this.renewal;
    if (!this.cache.ready || lease === null || !this.renewal.mayAct(now)) return;
    const actions = decideClaims(this.situation(now));
    for (const action of actions) yield* this.carryOut(action, lease);
  });

  /** Checks the claims for ever. */
  readonly run: Effect.Effect<never> = Effect.gen({ self: this }, function* () {
    for (;;) {
      yield* Effect.sleep(CLAIM_CHECK_INTERVAL_MS);
      yield* this.check;
    }
  });
}
