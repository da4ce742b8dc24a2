/**
 * Keeps the stored copy of the cloud's catalog up to date: the leader refreshes it; while none is stored, any
 * controller stores it.
 */
import type { Duty } from '@dalegate/fencing';
import * as Effect from 'effect/Effect';
import { CATALOG_REFRESH_INTERVAL_MS, CLOUD_RETRY_DELAY_MS } from '../constants/fleet.js';
import { VALUE_FILL_FRACTION } from '../constants/key-value-store.js';
import { fencedTransaction } from '../duties/fenced-store.js';
import type { Catalog } from '../jobs/model.js';
import { log } from '../log.js';
import type { Write } from '../kv-store/model.js';
import { CATALOG_KEY } from '../kv-store/keys.js';
import { areTypesStored, catalogWrites } from './catalog.js';
import type { FleetDependencies } from './dependencies.js';

/** Dependencies of the catalog keeper on the leader. */
export interface CatalogKeeperDependencies extends Omit<FleetDependencies, 'wall'> {
  readonly duty: Duty;
  /** Largest value that the key-value store accepts, now or later, in bytes. */
  readonly valueBytes: number;
  /** Whether every controller can read a catalog that is stored in parts. */
  readonly maySplit: () => boolean;
  /** The known catalog; null: none is known yet. */
  readonly catalog: () => Catalog | null;
}

/** State: when the catalog was last read from the cloud. */
export class CatalogKeeper {
  /** When the catalog was last read, in ms on the steady clock; 0: never. */
  private lastReadAt = 0;

  constructor(private readonly dependencies: CatalogKeeperDependencies) {}

  private isDue(isLeader: boolean): boolean {
    const known = this.dependencies.catalog() !== null;
    if (!this.dependencies.cache.ready || (known && !isLeader)) return false;
    return (
      this.lastReadAt === 0 ||
      this.dependencies.now() - this.lastReadAt >=
        (known ? CATALOG_REFRESH_INTERVAL_MS : CLOUD_RETRY_DELAY_MS)
    );
  }

  /** Reads the cloud's catalog if the refresh interval has passed, and stores it if it has changed. */
  readonly refresh: Effect.Effect<void> = Effect.gen({ self: this }, function* () {
    if (!this.isDue(this.dependencies.duty.state._tag === 'held')) return;
    this.lastReadAt = this.dependencies.now();
    const result = yield* this.dependencies.cloud.catalog;
    if (result._tag === 'failed') {
      log.info({ event: 'catalog.failed', why: result.why });
      return;
    }
    const storedEntry = this.dependencies.cache.get(CATALOG_KEY);
    if (storedEntry && areTypesStored(result.types, storedEntry, (key) => this.dependencies.cache.get(key)))
      return;
    const writes = catalogWrites(
      result.types,
      this.dependencies.valueBytes * VALUE_FILL_FRACTION,
      this.dependencies.store.maxTransactionWrites,
      this.dependencies.maySplit(),
    );
    if (writes === null) {
      log.error({ event: 'catalog.too_long', types: result.types.length });
      return;
    }
    yield* this.write(writes, storedEntry?.version ?? 0);
  });

  private write(writes: readonly Write[], version: number): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const when = [{ key: CATALOG_KEY, version }];
      const permit = this.dependencies.duty.begin('catalog');
      if (permit) {
        yield* fencedTransaction(this.dependencies.store, permit, when, writes, 'user');
        permit.end();
      } else if (this.dependencies.catalog() === null) {
        // Without a catalog no controller is ready, and a late copy of the write has no catalog to replace.
        yield* this.dependencies.store.compareAndSwap(when, writes, 'user');
      }
    });
  }
}
