/**
 * Keeps the stored copy of the cloud's catalog: the leader refreshes it, any controller stores it while there
 * is none.
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

/** What the keeper needs of the leader. */
export interface CatalogKeeperDependencies extends Omit<FleetDependencies, 'wall'> {
  readonly duty: Duty;
  /** The largest value that the key-value store takes, now and later, in bytes. */
  readonly valueBytes: number;
  /** Does every controller read a catalog that is stored in parts? */
  readonly maySplit: () => boolean;
  /** Null: not known yet. */
  readonly catalog: () => Catalog | null;
}

/** State: when the cloud was last asked. */
export class CatalogKeeper {
  /** ms, by the steady clock; 0: never. */
  private readAt = 0;

  constructor(private readonly input: CatalogKeeperDependencies) {}

  private isDue(leads: boolean): boolean {
    const known = this.input.catalog() !== null;
    if (!this.input.cache.ready || (known && !leads)) return false;
    return (
      this.readAt === 0 ||
      this.input.now() - this.readAt >= (known ? CATALOG_REFRESH_INTERVAL_MS : CLOUD_RETRY_DELAY_MS)
    );
  }

  /** Reads the cloud's catalog if it is time to, and stores it if it differs. */
  readonly refresh: Effect.Effect<void> = Effect.gen({ self: this }, function* () {
    if (!this.isDue(this.input.duty.state._tag === 'held')) return;
    this.readAt = this.input.now();
    const result = yield* this.input.cloud.catalog;
    if (result._tag === 'failed') {
      log.info({ event: 'catalog.failed', why: result.why });
      return;
    }
    const known = this.input.cache.get(CATALOG_KEY);
    if (known && areTypesStored(result.types, known, (key) => this.input.cache.get(key))) return;
    const writes = catalogWrites(
      result.types,
      this.input.valueBytes * VALUE_FILL_FRACTION,
      this.input.store.maxTransactionWrites,
      this.input.maySplit(),
    );
    if (writes === null) {
      log.error({ event: 'catalog.too_long', types: result.types.length });
      return;
    }
    yield* this.write(writes, known?.version ?? 0);
  });

  private write(writes: readonly Write[], version: number): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const when = [{ key: CATALOG_KEY, version }];
      const permit = this.input.duty.begin('catalog');
      if (permit) {
        yield* fencedTransaction(this.input.store, permit, when, writes, 'user');
        permit.end();
      } else if (this.input.catalog() === null) {
        // Without a catalog no controller is ready, and there is nothing that a late copy could replace.
        yield* this.input.store.compareAndSwap(when, writes, 'user');
      }
    });
  }
}
