/** What the leader and its parts need of the controller; each part picks what it uses. Types only. */
import type { KeyValueStore } from '../kv-store/client.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import type { Cloud } from './cloud.js';

/** Clocks, key-value store and cloud. */
export interface FleetDependencies {
  readonly store: KeyValueStore;
  /** This controller's copy of the shared keys. */
  readonly cache: WatchCache;
  readonly cloud: Cloud;
  /** The steady clock, ms. */
  readonly now: () => number;
  /** ms since the epoch. */
  readonly wall: () => number;
}
