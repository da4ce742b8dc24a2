/**
 * The state machine of this controller's lease, which determines how long the controller may act on the
 * claims attached to the lease. The controller computes the deadline itself, from the time at which it *sent*
 * its last successful renewal; the key-value store never ends the lease before that deadline. Pure functions;
 * `lease-renewal.ts` holds the state.
 */
import { CLOCK_DRIFT_FRACTION, LEASE_EXPIRY_MARGIN_MS } from '../constants/leases.js';
import { HEARTBEAT_FRESHNESS_MS } from '../constants/peers.js';

/** The state of the lease. `until` is the time at which the state ends (ms, lease clock). */
export type LeaseState =
  /** The controller has no lease and may not act. */
  | { readonly _tag: 'detached' }
  /** The lease certainly lasts until `until`. */
  | { readonly _tag: 'holding'; readonly lease: number; readonly until: number }
  /**
   * Most controllers cannot reach the key-value store, which ends no lease during an outage. The controller
   * may still answer workers.
   */
  | { readonly _tag: 'outageGrace'; readonly lease: number; readonly until: number }
  /** The lease may have expired. The controller may not act until a renewal succeeds. */
  | { readonly _tag: 'suspended'; readonly lease: number };

/** An event that changes the state of the lease. Times are in ms, lease clock. */
export type LeaseEvent =
  | { readonly _tag: 'granted'; readonly lease: number; readonly sentAt: number }
  | { readonly _tag: 'renewed'; readonly lease: number; readonly sentAt: number }
  | { readonly _tag: 'ended'; readonly lease: number }
  | {
      readonly _tag: 'tick';
      readonly now: number;
      /**
       * The time until which this controller may answer workers in an outage of the key-value store
       * (`outage-grace.ts`); null: there is no outage.
       */
      readonly outageGraceUntil: number | null;
    };

/**
 * Returns the time until which a lease certainly lasts, if the request that last granted or renewed the lease
 * was sent at `sentAt` (both in ms, lease clock).
 */
export const leaseDeadline = (sentAt: number, ttlMs: number): number =>
  sentAt + ttlMs * (1 - CLOCK_DRIFT_FRACTION) - LEASE_EXPIRY_MARGIN_MS;

type StateWithDeadline = Extract<LeaseState, { _tag: 'holding' | 'outageGrace' }>;
type TickEvent = Extract<LeaseEvent, { _tag: 'tick' }>;

const suspend = ({ lease }: StateWithDeadline): LeaseState => ({ _tag: 'suspended', lease });

const tickInOutage = (
  state: StateWithDeadline,
  now: number,
  outageGraceUntil: number,
  ttlMs: number,
): LeaseState => {
  if (state._tag === 'holding' && now < state.until) return state;
  // Once an outage ends, every lease lasts for its full TTL again. The heartbeats in which peers report the
  // outage are at most HEARTBEAT_FRESHNESS_MS old, so the lease lasts at least as long as if it had been
  // renewed that long ago.
  const confirmedUntil = Math.max(state.until, leaseDeadline(now - HEARTBEAT_FRESHNESS_MS, ttlMs));
  const until = Math.min(confirmedUntil, outageGraceUntil);
  return now < until ? { _tag: 'outageGrace', lease: state.lease, until } : suspend(state);
};

const afterTick = (state: LeaseState, { now, outageGraceUntil }: TickEvent, ttlMs: number): LeaseState => {
  switch (state._tag) {
    case 'detached':
    case 'suspended':
      return state;
    case 'holding':
    case 'outageGrace':
      if (outageGraceUntil !== null) return tickInOutage(state, now, outageGraceUntil, ttlMs);
      return now < state.until ? state : suspend(state);
  }
};

const isForLease = (state: LeaseState, lease: number): boolean =>
  state._tag !== 'detached' && state.lease === lease;

/**
 * Returns the state of the lease after an event. Every change of the state goes through this function. A late
 * response about an earlier lease changes nothing.
 */
export const nextLeaseState = (state: LeaseState, event: LeaseEvent, ttlMs: number): LeaseState => {
  switch (event._tag) {
    case 'granted':
      return { _tag: 'holding', lease: event.lease, until: leaseDeadline(event.sentAt, ttlMs) };
    case 'renewed':
      if (!isForLease(state, event.lease)) return state;
      return { _tag: 'holding', lease: event.lease, until: leaseDeadline(event.sentAt, ttlMs) };
    case 'ended':
      return isForLease(state, event.lease) ? { _tag: 'detached' } : state;
    case 'tick':
      return afterTick(state, event, ttlMs);
  }
};

/** Whether this controller may act on its claims at `now` (ms, lease clock). */
export const mayAct = (state: LeaseState, now: number): boolean => {
  switch (state._tag) {
    case 'holding':
    case 'outageGrace':
      return now < state.until;
    case 'detached':
    case 'suspended':
      return false;
  }
};
