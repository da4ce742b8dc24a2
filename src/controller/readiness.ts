/**
 * Whether this node is ready for users' requests. Pure decision; the router asks for it with each health
 * check.
 */
import { HEARTBEAT_FRESHNESS_MS } from '../constants/peers.js';
import type { PeerView } from '../peers/peer-view.js';
import type { StateAccess } from './state-access.js';

/** What readiness depends on. */
export interface ReadinessInput {
  readonly state: Pick<StateAccess, 'cache' | 'catalog' | 'ageMs'>;
  readonly peers: Pick<PeerView, 'storeReachability'>;
}

/** Ready means: takes users' requests at least as well as the other nodes. */
export const isReady = ({ state, peers }: ReadinessInput): boolean => {
  if (!state.cache.ready || state.catalog() === null) return false;
  return state.ageMs() < HEARTBEAT_FRESHNESS_MS || peers.storeReachability().up === 0;
};
