import { CLOCK_DRIFT_FRACTION, LEASE_EXPIRY_MARGIN_MS } from '../constants/leases.js';
import { HEARTBEAT_FRESHNESS_MS } from '../constants/peers.js';

/**
 * How long this node may act on the claims attached to its lease. The deadline is this node's own reckoning
 * from the moment it *sent* its last good renewal; the state service never ends the lease before it.
 */
export type LeaseState =
  /** No lease: nothing may be done. */
  | { readonly _tag: 'detached' }
  /** The lease surely lasts until `until` (ms, steady clock). */
  | { readonly _tag: 'holding'; readonly lease: number; readonly until: number }
  /** The state service is down for most nodes, where no lease runs out: workers may still be answered. */
  | { readonly _tag: 'outageGrace'; readonly lease: number; readonly until: number }
  /** The lease may be over: nobody is answered until a renewal says that it is not. */
  | { readonly _tag: 'suspended'; readonly lease: number };

/** What changes the state of a lease. */
export type LeaseEvent =
  | { readonly _tag: 'granted'; readonly lease: number; readonly sentAt: number }
  | { readonly _tag: 'renewed'; readonly lease: number; readonly sentAt: number }
  | { readonly _tag: 'ended'; readonly lease: number }
  | {
      readonly _tag: 'tick';
      readonly now: number;
      /**
       * Until when workers may be answered in an outage (ms, steady clock; `outageGraceUntil`); null: there
       * is none.
       */
      readonly outageGraceUntil: number | null;
    };

/** ms, steady: until when a lease surely lasts whose last good renewal was sent at `sentAt`. */
export const deadline = (sentAt: number, ttlMs: number): number =>
  sentAt + ttlMs * (1 - CLOCK_DRIFT_FRACTION) - LEASE_EXPIRY_MARGIN_MS;

/** The one place where the state of a lease changes. */
export const nextLeaseState = (tenure: LeaseState, event: LeaseEvent, ttlMs: number): LeaseState => {
  switch (event._tag) {
    case 'granted':
      return { _tag: 'holding', lease: event.lease, until: deadline(event.sentAt, ttlMs) };
    case 'renewed':
      if (tenure._tag === 'detached' || tenure.lease !== event.lease) return tenure;
      return { _tag: 'holding', lease: event.lease, until: deadline(event.sentAt, ttlMs) };
    case 'ended':
      if (tenure._tag === 'detached' || tenure.lease !== event.lease) return tenure;
      return { _tag: 'detached' };
    case 'tick':
      switch (tenure._tag) {
        case 'detached':
        case 'suspended':
          return tenure;
        case 'holding':
        case 'outageGrace': {
          if (event.outageGraceUntil !== null) {
            // After the outage the lease has its full time again, and peers' word is at most this old.
            const confirmed = Math.max(tenure.until, deadline(event.now - HEARTBEAT_FRESHNESS_MS, ttlMs));
            const until = Math.min(confirmed, event.outageGraceUntil);
            if (event.now < tenure.until && tenure._tag === 'holding') return tenure;
            return event.now < until
              ? { _tag: 'outageGrace', lease: tenure.lease, until }
              : { _tag: 'suspended', lease: tenure.lease };
          }
          return event.now < tenure.until ? tenure : { _tag: 'suspended', lease: tenure.lease };
        }
      }
  }
};

/** May this node act on its claims now? */
export const mayAct = (tenure: LeaseState, now: number): boolean => {
  switch (tenure._tag) {
    case 'holding':
    case 'outageGrace':
      return now < tenure.until;
    case 'detached':
    case 'suspended':
      return false;
  }
};
