/**
 * Obtains this controller's lease from the key-value store and renews it. Owns the lease's state;
 * `lease-manager.ts` runs the loop, `claim-keeper.ts` reports the passing of time.
 */
import * as Effect from 'effect/Effect';
import {
  SHARD_CHECK_INTERVAL_MS,
  SHARD_LEASE_RENEWAL_INTERVAL_MS,
  SHARD_LEASE_TTL_MS,
} from '../constants/leases.js';
import type { KeyValueStore } from '../kv-store/client.js';
import { log } from '../log.js';
import { mayAct, nextLeaseState, type LeaseEvent, type LeaseState } from './lease-state.js';

/** Keeps the lease alive and says whether this controller may act on it. */
export class LeaseRenewal {
  private state: LeaseState = { _tag: 'detached' };

  constructor(
    private readonly store: Pick<KeyValueStore, 'grant' | 'renew'>,
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
   * Suspends a lease that may be over by `now`, unless an outage of the store lets it go on (ms, lease
   * clock).
   */
  tick(now: number, outageGraceUntil: number | null): void {
    this.transition({ _tag: 'tick', now, outageGraceUntil });
  }

  private transition(event: LeaseEvent): void {
    const before = this.state;
    this.state = nextLeaseState(before, event, SHARD_LEASE_TTL_MS);
    if (before._tag !== this.state._tag)
      log.info({ event: 'lease.state_changed', from: before._tag, to: this.state._tag, lease: this.lease });
    if (event._tag === 'granted' || event._tag === 'renewed')
      log.debug({ event: 'lease.confirmed', lease: event.lease, sentMsAgo: this.now() - event.sentAt });
  }

  /** Asks for a lease; returns the pause before the next request (ms). */
  private readonly grant: Effect.Effect<number> = Effect.gen({ self: this }, function* () {
    const result = yield* this.store.grant();
    if (result._tag !== 'held') return SHARD_CHECK_INTERVAL_MS;
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
          return SHARD_LEASE_RENEWAL_INTERVAL_MS;
        case 'gone':
          this.transition({ _tag: 'ended', lease });
          return 0;
        case 'failed':
          return SHARD_CHECK_INTERVAL_MS;
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
