/**
 * Obtains this controller's lease from the key-value store and renews it. Owns the lease's state, and up to
 * which revision claims belong to an earlier lease; `lease-manager.ts` runs the loop, `claim-keeper.ts`
 * reports the passing of time.
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

/** Keeps the lease alive and says whether this controller may act on it. */
export class LeaseRenewal {
  private state: LeaseState = { _tag: 'detached' };
  /**
   * Claims up to this revision were attached to an earlier lease of this process, and ended with it; null: an
   * earlier lease has ended, and the store's revision since then is not known.
   */
  private endedClaimsUpTo: number | null = 0;

  constructor(
    private readonly store: Pick<KeyValueStore, 'grant' | 'renew' | 'claims'>,
    /** ms, lease clock. */
    private readonly now: () => number,
  ) {}

  /** The lease in the store; null: there is none. */
  get lease(): number | null {
    return this.state._tag === 'detached' ? null : this.state.lease;
  }

  /** May this controller act on its claims at `now` (ms, lease clock)? */
  mayAct(now: number): boolean {
    return mayAct(this.state, now);
  }

  /**
   * Is a claim of this process that was taken at this revision attached to the present lease? The copy of the
   * keys goes on showing claims of an earlier lease until the watch tells of their end.
   */
  isAttached(claimRevision: number): boolean {
    return this.endedClaimsUpTo !== null && claimRevision > this.endedClaimsUpTo;
  }

  /**
   * Suspends a lease that may be over by `now`, unless an outage of the store lets it go on (ms, lease
   * clock).
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
   * Learns up to which revision claims belong to an earlier lease; false: the store didn't tell. The earlier
   * lease is gone, so nothing is attached to it any more; to the next one nothing is attached yet.
   */
  private readonly loadEndedClaimsUpTo: Effect.Effect<boolean> = Effect.gen({ self: this }, function* () {
    if (this.endedClaimsUpTo !== null) return true;
    const claims = yield* this.store.claims();
    if (claims._tag === 'failed') return false;
    this.endedClaimsUpTo = claims.revision;
    return true;
  });

  /** Asks for a lease; returns the pause before the next request (ms). */
  private readonly grant: Effect.Effect<number> = Effect.gen({ self: this }, function* () {
    const known = yield* this.loadEndedClaimsUpTo;
    if (!known) return CLAIM_CHECK_INTERVAL_MS;
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

  /** Obtains and renews the lease for ever. */
  readonly run: Effect.Effect<never> = Effect.gen({ self: this }, function* () {
    for (;;) {
      const { lease } = this;
      const pauseMs = yield* lease === null ? this.grant : this.renew(lease);
      if (pauseMs > 0) yield* Effect.sleep(pauseMs);
    }
  });
}
