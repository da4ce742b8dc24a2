/**
 * Determines whether this controller is ready for users' requests. A pure function; the router calls it for
 * each health check.
 */
import { HEARTBEAT_FRESHNESS_MS } from '../constants/peers.js';
import type { PeerView } from '../peers/peer-view.js';
import type { StoreAccess } from './store-access.js';

/** The sources of the information on which readiness depends. */
export interface ReadinessSources {
  readonly storeAccess: Pick<StoreAccess, 'cache' | 'catalog' | 'msSinceAnswered'>;
  readonly peers: Pick<PeerView, 'storeReachability'>;
}

/**
 * Whether this controller can answer users' requests at least as well as the other controllers: the watch
 * cache and the catalog are loaded, and either the key-value store answered this controller recently or no
 * peer reports that it can reach the store.
 */
export const isReady = ({ storeAccess, peers }: ReadinessSources): boolean => {
  if (!storeAccess.cache.ready || storeAccess.catalog() === null) return false;
  return storeAccess.msSinceAnswered() < HEARTBEAT_FRESHNESS_MS || peers.storeReachability().up === 0;
};
