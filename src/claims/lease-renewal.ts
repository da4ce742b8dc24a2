/**
 * Obtains this controller's lease from the key-value store and renews it. Owns the state of the lease, and
 * the revision up to which claims belong to an earlier lease. `lease-manager.ts` runs the renewal loop;
 * `claim-reconciler.ts` calls `tick` at each check of the claims.
 */
import * as Effect from 'effect/Effect';
import {
  CLAIM_CHECK_INTERVAL_MS,
  CONTROLLER_LEASE_RENEWAL_INTERVAL_MS,
  CONTROLLER_LEASE_TTL_MS,
} from '../constants/leases.js';
import type { KeyValueStore } from '../kv-store/client.js';
import { log } from '../log.js';
import { mayAct, nextLeaseState, type LeaseEvent, type LeaseState } from './lease-state.js';

/** Renews the lease and decides whether this controller may act under it. */
export class LeaseRenewal {
  private state: LeaseState = { _tag: 'detached' };
  /**
   * Claims of this process with at most this revision were attached to an earlier lease of the process and
   * ended with that lease. Null: a lease has ended, and this process has not yet read the revision of the
   * key-value store after that end.
   */
  private endedClaimsUpTo: number | null = 0;

  constructor(
    private readonly store: Pick<KeyValueStore, 'grant' | 'renew' | 'claims'>,
    /** The current time (ms, lease clock). */
    private readonly now: () => number,
  ) {}

  /** The id of the lease in the key-value store; null: there is no lease. */
  get lease(): number | null {
    return this.state._tag === 'detached' ? null : this.state.lease;
  }

  /** Whether this controller may act on its claims at `now` (ms, lease clock). */
  mayAct(now: number): boolean {
    return mayAct(this.state, now);
  }

  /**
   * Whether a claim of this process with this revision is attached to the current lease. The watch cache
   * continues to show the claims of an earlier lease until the watch reports that they were deleted.
   */
  isAttached(claimRevision: number): boolean {
    return this.endedClaimsUpTo !== null && claimRevision > this.endedClaimsUpTo;
  }

  /**
   * Suspends the lease if it may have expired by `now`, unless an outage of the key-value store permits this
   * controller to answer workers until `outageGraceUntil` (both in ms, lease clock; null: no outage).
   */
  tick(now: number, outageGraceUntil: number | null): void {
    this.transition({ _tag: 'tick', now, outageGraceUntil });
  }

  private transition(event: LeaseEvent): void {
    const before = this.state;
    this.state = nextLeaseState(before, event, CONTROLLER_LEASE_TTL_MS);
    if (before._tag !== this.state._tag)
      log.info({ event: 'lease.state_changed', from: before._tag, to: this.state._tag, lease: this.lease });
    if (event._tag === 'granted' || event._tag === 'renewed')
      log.debug({ event: 'lease.confirmed', lease: event.lease, sentMsAgo: this.now() - event.sentAt });
  }

  /**
   * Sets `endedClaimsUpTo` to the current revision of the key-value store if `endedClaimsUpTo` is null;
   * false: the read failed. The current revision is a valid bound: the earlier lease has ended, so no more
   * claims are attached to it, and no claim is attached to the next lease yet.
   */
  private readonly loadEndedClaimsUpTo: Effect.Effect<boolean> = Effect.gen({ self: this }, function* () {
    if (this.endedClaimsUpTo !== null) return true;
    const claims = yield* this.store.claims();
    if (claims._tag === 'failed') return false;
    this.endedClaimsUpTo = claims.revision;
    return true;
  });

  /** Requests a lease; returns the pause before the next request (ms). */
  private readonly grant: Effect.Effect<number> = Effect.gen({ self: this }, function* () {
    const loaded = yield* this.loadEndedClaimsUpTo;
    if (!loaded) return CLAIM_CHECK_INTERVAL_MS;
    const result = yield* this.store.grant();
    if (result._tag !== 'held') return CLAIM_CHECK_INTERVAL_MS;
    this.transition({ _tag: 'granted', lease: result.lease, sentAt: result.sentAt });
    return 0;
  });

  /** Renews the lease; returns the pause before the next request (ms). */
  private renew(lease: number): Effect.Effect<number> {
    return Effect.gen({ self: this }, function* () {
      const result = yield* this.store.renew(lease);
      switch (result._tag) {
        case 'held':
          this.transition({ _tag: 'renewed', lease, sentAt: result.sentAt });
          return CONTROLLER_LEASE_RENEWAL_INTERVAL_MS;
        case 'gone':
          this.endedClaimsUpTo = null;
          this.transition({ _tag: 'ended', lease });
          return 0;
        case 'failed':
          return CLAIM_CHECK_INTERVAL_MS;
      }
    });
  }

  /** Obtains and renews the lease, without end. */
  readonly run: Effect.Effect<never> = Effect.gen({ self: this }, function* () {
    for (;;) {
      const { lease } = this;
      const pauseMs = yield* lease === null ? this.grant : this.renew(lease);
      if (pauseMs > 0) yield* Effect.sleep(pauseMs);
    }
  });
}
