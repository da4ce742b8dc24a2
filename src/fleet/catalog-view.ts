/** The catalog in this controller's copy of the shared keys. All subsystems read it. */
import type { Catalog } from '../jobs/model.js';
import { CATALOG_KEY } from '../kv-store/keys.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import { readStoredTypes, toCatalog } from './catalog.js';

/** State: the catalog that was last read, and its version. */
export class CatalogView {
  private version = 0;
  private value: Catalog | null = null;

  constructor(private readonly cache: Pick<WatchCache, 'get'>) {}

  /** Returns the catalog; null: none is known yet. */
  readonly current = (): Catalog | null => {
    const entry = this.cache.get(CATALOG_KEY);
    if (entry && entry.version !== this.version) {
      const types = readStoredTypes(entry, (key) => this.cache.get(key));
      // The earlier catalog remains valid until all parts of the new one have arrived.
      if (types === null) return this.value;
      this.version = entry.version;
      this.value = toCatalog(types);
    }
    return this.value;
  };
}
