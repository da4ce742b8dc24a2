/**
 * This controller's access to the key-value store: the client, the watch cache of the shared keys, and the
 * readers that use them. Owns these objects; created once by the context and used by every subsystem.
 */
import { CatalogView } from '../fleet/catalog-view.js';
import { parseTarget, type HttpClientFactory } from '../http/model.js';
import type { Catalog } from '../jobs/model.js';
import { FinalRecordCache } from '../pipelines/final-record-cache.js';
import { KeyValueStore } from '../kv-store/client.js';
import { LinearizableReads } from '../kv-store/linearizable-reads.js';
import { WatchCache } from '../kv-store/watch-cache.js';
import type { Deployment } from './deployment.js';

/** This controller's access to the key-value store. */
export interface StoreAccess {
  readonly store: KeyValueStore;
  readonly cache: WatchCache;
  readonly linearizableReads: LinearizableReads;
  readonly finalRecords: FinalRecordCache;
  /** Returns the catalog of machine types; null: it is not known yet. */
  readonly catalog: () => Catalog | null;
  /** Returns the time since the key-value store last answered this controller (ms). */
  readonly msSinceAnswered: () => number;
}

/** The address of the key-value store and the means to connect to it. */
export interface StoreAccessOptions {
  readonly address: string;
  readonly deployment: Deployment;
  readonly leaseClock: () => number;
  readonly createHttpClient: HttpClientFactory;
}

/**
 * Creates the client, the watch cache and the readers. The watch cache loads the shared keys once its `run`
 * is started.
 */
export const createStoreAccess = (options: StoreAccessOptions): StoreAccess => {
  const { deployment, leaseClock } = options;
  const store = new KeyValueStore(
    parseTarget(options.address),
    { ...deployment.storeLimits, nodes: deployment.nodes.length },
    leaseClock,
    options.createHttpClient,
  );
  const cache = new WatchCache(store, leaseClock);
  return {
    store,
    cache,
    linearizableReads: new LinearizableReads(store),
    finalRecords: new FinalRecordCache(store),
    catalog: new CatalogView(cache).current,
    msSinceAnswered: () =>
      store.lastAnsweredAt === 0 ? Number.MAX_SAFE_INTEGER : leaseClock() - store.lastAnsweredAt,
  };
};
