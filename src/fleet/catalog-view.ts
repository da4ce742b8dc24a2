import type { Catalog } from '../jobs/model.js';
import { CATALOG_KEY } from '../kv-store/keys.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import { readStored, toCatalog } from './catalog.js';

/** The catalog as this node's copy of the shared keys shows it. */
export class CatalogView {
  private version = 0;
  private value: Catalog | null = null;

  constructor(private readonly cache: Pick<WatchCache, 'get'>) {}

  /** Null: not known yet. */
  readonly current = (): Catalog | null => {
    const item = this.cache.get(CATALOG_KEY);
    if (item && item.version !== this.version) {
      const types = readStored(item, (key) => this.cache.get(key));
      // What was known before holds until all parts are there.
      if (types === null) return this.value;
      this.version = item.version;
      this.value = toCatalog(types);
    }
    return this.value;
  };
}
