/** The catalog as this controller's copy of the shared keys shows it; read by all subsystems. */
import type { Catalog } from '../jobs/model.js';
import { CATALOG_KEY } from '../kv-store/keys.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import { readStoredTypes, toCatalog } from './catalog.js';

/** State: the catalog last read, and its version. */
export class CatalogView {
  private version = 0;
  private value: Catalog | null = null;

  constructor(private readonly cache: Pick<WatchCache, 'get'>) {}

  /** Null: not known yet. */
  readonly current = (): Catalog | null => {
    const entry = this.cache.get(CATALOG_KEY);
    if (entry && entry.version !== this.version) {
      const types = readStoredTypes(entry, (key) => this.cache.get(key));
      // The earlier catalog stays in force until all parts are there.
      if (types === null) return this.value;
      this.version = entry.version;
      this.value = toCatalog(types);
    }
    return this.value;
  };
}
