/**
 * The state machine of one duty in one process: its states, the events that change them, and the only
 * transition function, {@link nextDutyState}. Pure; `Duty` holds the state.
 */
import type { FencingToken } from './token.js';

/** The state of one duty in one process. */
export type DutyState =
  /** This process does not hold the duty, and none of its effects is in flight. */
  | { readonly _tag: 'idle' }
  /**
   * This process holds the claim, and first settles what an earlier holder left open. In this state and those
   * below, `open` is the number of effects in flight.
   */
  | { readonly _tag: 'acquiring'; readonly token: FencingToken; readonly open: number }
  /** This process is the only current holder. */
  | { readonly _tag: 'held'; readonly token: FencingToken; readonly open: number }
  /** The lease may have expired: no effect begins, and those in flight finish. */
  | {
      readonly _tag: 'draining';
      readonly token: FencingToken;
      readonly open: number;
      /** The state that the duty returns to once the lease is renewed under the same claim. */
      readonly resumeAs: 'acquiring' | 'held';
    }
  /** This process lost the claim; some of its effects are still in flight. */
  | { readonly _tag: 'lost'; readonly token: FencingToken; readonly open: number };

/** An event that changes the state of a duty. */
export type DutyEvent =
  /** The key-value store shows this process as the holder of the claim. */
  | { readonly _tag: 'claimed'; readonly token: FencingToken }
  /** Everything that earlier holders left open has been settled under this token. */
  | { readonly _tag: 'settled'; readonly token: FencingToken }
  /** The lease behind the claim may have expired. */
  | { readonly _tag: 'suspended' }
  /** The lease was renewed, and the claim is still the same. */
  | { readonly _tag: 'restored' }
  /** Another process holds the claim, or no process does. */
  | { readonly _tag: 'released' }
  | { readonly _tag: 'effectBegun'; readonly token: FencingToken }
  | { readonly _tag: 'effectEnded'; readonly token: FencingToken };

/** Returns the token under which this process holds or last held the duty; null if the duty is idle. */
export const tokenOfState = (state: DutyState): FencingToken | null =>
  state._tag === 'idle' ? null : state.token;

const adjustOpenEffects = (state: DutyState, token: FencingToken, change: 1 | -1): DutyState => {
  // Effects under an earlier token of this process do not belong to the current tenure.
  if (state._tag === 'idle' || state.token !== token) return state;
  const open = Math.max(0, state.open + change);
  return state._tag === 'lost' && open === 0 ? { _tag: 'idle' } : { ...state, open };
};

const stateAfterClaim = (state: DutyState, token: FencingToken): DutyState => {
  // Tokens only increase: a claim whose token is not higher is an outdated or repeated notification.
  if (state._tag !== 'idle' && token <= state.token) return state;
  return { _tag: 'acquiring', token, open: 0 };
};

/** Returns the state after an event. No other function changes the state of a duty. */
export const nextDutyState = (state: DutyState, event: DutyEvent): DutyState => {
  switch (event._tag) {
    case 'claimed':
      return stateAfterClaim(state, event.token);
    case 'settled':
      return state._tag === 'acquiring' && state.token === event.token ? { ...state, _tag: 'held' } : state;
    case 'suspended':
      return state._tag === 'acquiring' || state._tag === 'held'
        ? { ...state, _tag: 'draining', resumeAs: state._tag }
        : state;
    case 'restored':
      // The claim is the same, so no other process acted meanwhile: what was settled is still settled.
      return state._tag === 'draining'
        ? { _tag: state.resumeAs, token: state.token, open: state.open }
        : state;
    case 'released':
      if (state._tag === 'idle') return state;
      return state.open === 0 ? { _tag: 'idle' } : { _tag: 'lost', token: state.token, open: state.open };
    case 'effectBegun':
      return adjustOpenEffects(state, event.token, 1);
    case 'effectEnded':
      return adjustOpenEffects(state, event.token, -1);
  }
};
