/**
 * Whether this controller is ready for users' requests. Pure decision; the router asks for it with each
 * health check.
 */
import { HEARTBEAT_FRESHNESS_MS } from '../constants/peers.js';
import type { PeerView } from '../peers/peer-view.js';
import type { StoreAccess } from './store-access.js';

/** What readiness depends on. */
export interface ReadinessSources {
  readonly storeAccess: Pick<StoreAccess, 'cache' | 'catalog' | 'msSinceAnswered'>;
  readonly peers: Pick<PeerView, 'storeReachability'>;
}

/** Ready means: takes users' requests at least as well as the other controllers. */
export const isReady = ({ storeAccess, peers }: ReadinessSources): boolean => {
  if (!storeAccess.cache.ready || storeAccess.catalog() === null) return false;
  return storeAccess.msSinceAnswered() < HEARTBEAT_FRESHNESS_MS || peers.storeReachability().up === 0;
};
