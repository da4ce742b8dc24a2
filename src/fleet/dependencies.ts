/** Dependencies of the leader and its parts on the controller; each part picks a subset. Types only. */
import type { KeyValueStore } from '../kv-store/client.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import type { Cloud } from './cloud.js';

/** Key-value store, cloud and clocks. */
export interface FleetDependencies {
  readonly store: KeyValueStore;
  /** This controller's copy of the shared keys. */
  readonly cache: WatchCache;
  readonly cloud: Cloud;
  /** The steady clock, in ms. */
  readonly now: () => number;
  /** The wall clock, in ms since the epoch. */
  readonly wall: () => number;
}
