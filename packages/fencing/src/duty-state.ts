/**
 * The state machine of one duty in one process: its states, the events that change them, and the one
 * transition function, {@link nextDutyState}. Pure; `Duty` holds the state.
 */
import type { FencingToken } from './token.js';

/** The state of one duty in one process. */
export type DutyState =
  /** This process does not hold the duty, and nothing that it began is under way. */
  | { readonly _tag: 'idle' }
  /**
   * The claim is this process's; what an earlier holder left open is being settled first. `open`: effects
   * that are under way, here and below.
   */
  | { readonly _tag: 'acquiring'; readonly token: FencingToken; readonly open: number }
  /** The one current holder. */
  | { readonly _tag: 'held'; readonly token: FencingToken; readonly open: number }
  /** The lease may have expired: nothing begins, what is under way comes to its end. */
  | {
      readonly _tag: 'draining';
      readonly token: FencingToken;
      readonly open: number;
      /** The state that the duty returns to once the lease is renewed under the same claim. */
      readonly resumeAs: 'acquiring' | 'held';
    }
  /** The claim is gone; calls of this process may still be under way. */
  | { readonly _tag: 'lost'; readonly token: FencingToken; readonly open: number };

/** What changes the state of a duty. */
export type DutyEvent =
  /** The state service shows the claim as this process's. */
  | { readonly _tag: 'claimed'; readonly token: FencingToken }
  /** Everything that earlier holders left open has been settled under this token. */
  | { readonly _tag: 'settled'; readonly token: FencingToken }
  /** The lease behind the claim may have expired. */
  | { readonly _tag: 'suspended' }
  /** The lease was renewed after all, and the claim is still the same. */
  | { readonly _tag: 'restored' }
  /** The claim is another's, or nobody's. */
  | { readonly _tag: 'released' }
  | { readonly _tag: 'effectBegun'; readonly token: FencingToken }
  | { readonly _tag: 'effectEnded'; readonly token: FencingToken };

/** The token that this process last held the duty under; null: it is idle. */
export const tokenOfState = (state: DutyState): FencingToken | null =>
  state._tag === 'idle' ? null : state.token;

const adjustOpenEffects = (state: DutyState, token: FencingToken, change: 1 | -1): DutyState => {
  // Effects under an earlier token of this same process no longer belong to the present tenure.
  if (state._tag === 'idle' || state.token !== token) return state;
  const open = Math.max(0, state.open + change);
  return state._tag === 'lost' && open === 0 ? { _tag: 'idle' } : { ...state, open };
};

const stateAfterClaim = (state: DutyState, token: FencingToken): DutyState => {
  // Tokens only rise: a claim that is shown late is older than what is known.
  if (state._tag !== 'idle' && token <= state.token) return state;
  return { _tag: 'acquiring', token, open: 0 };
};

/** The one place where the state of a duty changes. */
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
      // Nobody else acted meanwhile, since the claim is the same: what was settled still is.
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
