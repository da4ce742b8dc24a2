/**
 * The state machine of this controller's lease: how long it may act on the claims attached to it. The
 * deadline is its own reckoning from the moment at which it *sent* its last good renewal; the store never
 * ends the lease before it. Pure; `lease-renewal.ts` holds the state.
 */
import { CLOCK_DRIFT_FRACTION, LEASE_EXPIRY_MARGIN_MS } from '../constants/leases.js';
import { HEARTBEAT_FRESHNESS_MS } from '../constants/peers.js';

/** The state of the lease. `until` is in ms of the lease clock. */
export type LeaseState =
  /** No lease: this controller may not act. */
  | { readonly _tag: 'detached' }
  /** The lease surely lasts until `until`. */
  | { readonly _tag: 'holding'; readonly lease: number; readonly until: number }
  /** The store is down for most controllers, so that no lease ends: workers may still be answered. */
  | { readonly _tag: 'outageGrace'; readonly lease: number; readonly until: number }
  /** The lease may be over: this controller may not act until a renewal says that it is not. */
  | { readonly _tag: 'suspended'; readonly lease: number };

/** What changes the state of the lease; moments are in ms of the lease clock. */
export type LeaseEvent =
  | { readonly _tag: 'granted'; readonly lease: number; readonly sentAt: number }
  | { readonly _tag: 'renewed'; readonly lease: number; readonly sentAt: number }
  | { readonly _tag: 'ended'; readonly lease: number }
  | {
      readonly _tag: 'tick';
      readonly now: number;
      /**
       * Until when workers may be answered in an outage of the store (`outage-grace.ts`); null: there is
       * none.
       */
      readonly outageGraceUntil: number | null;
    };

/** ms, lease clock: until when a lease surely lasts whose last good renewal was sent at `sentAt`. */
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
  // After the outage the lease has its full time again, and what peers say of the outage is at most this old.
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
 * The one place where the state of the lease changes. A late answer about an earlier lease changes nothing.
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

/** May this controller act on its claims at `now` (ms, lease clock)? */
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
