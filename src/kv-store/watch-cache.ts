import * as Effect from 'effect/Effect';
import { STORE_RETRY_DELAY_MS } from '../constants/key-value-store.js';
import { log } from '../log.js';
import type { StoredEntry, KeyValueStore, WatchEvent } from './client.js';
import { kindOf, SHARED } from './keys.js';

/**
 * This node's copy of the shared keys, in the order of their changes: what it shows was true at `revision`,
 * and a later change is never shown before an earlier one. That order is what fencing relies on.
 */
export class WatchCache {
  /** By kind of key (`w/j/`, `w/m/`, …), so that a walk over one kind costs only that kind. */
  private readonly kinds = new Map<string, Map<string, StoredEntry>>();
  private readonly listeners: ((event: WatchEvent) => void)[] = [];
  revision = -1;
  /** ms, steady: every change made before this moment is shown. */
  confirmedAt = Number.NEGATIVE_INFINITY;
  /** True once the first full read is in. */
  ready = false;

  constructor(
    private readonly store: KeyValueStore,
    private readonly now: () => number = () => performance.now(),
  ) {}

  onEvent(listener: (event: WatchEvent) => void): void {
    this.listeners.push(listener);
  }
  get(key: string): StoredEntry | undefined {
    return this.kinds.get(kindOf(key))?.get(key);
  }
  /** All keys of one kind. */
  under(kind: `w/${string}/`): Iterable<StoredEntry> {
    return this.kinds.get(kind)?.values() ?? [];
  }

  apply(event: WatchEvent): void {
    const key = event._tag === 'put' ? event.item.key : event.key;
    const version = event._tag === 'put' ? event.item.version : event.version;
    let items = this.kinds.get(kindOf(key));
    const known = items?.get(key);
    if (known && known.version >= version) return;
    if (event._tag === 'put') {
      if (!items) this.kinds.set(kindOf(key), (items = new Map<string, StoredEntry>()));
      items.set(key, event.item);
    } else if (!items?.delete(key)) return;
    for (const listener of this.listeners) listener(event);
  }

  private reload(items: readonly StoredEntry[], revision: number): void {
    const present = new Set(items.map((item) => item.key));
    for (const items of this.kinds.values()) {
      for (const key of [...items.keys()])
        if (!present.has(key)) this.apply({ _tag: 'delete', key, version: revision });
    }
    for (const item of [...items].sort((a, b) => a.version - b.version)) this.apply({ _tag: 'put', item });
    this.revision = revision;
    this.ready = true;
  }

  readonly run: Effect.Effect<never> = Effect.gen({ self: this }, function* () {
    for (;;) {
      const listedAt = this.now();
      const all = yield* this.store.list(SHARED, 'user');
      if (all._tag === 'failed') {
        log.debug({ event: 'cache.list_failed', why: all.why });
        yield* Effect.sleep(STORE_RETRY_DELAY_MS);
        continue;
      }
      this.reload(all.items, all.revision);
      this.confirmedAt = listedAt;
      log.info({ event: 'cache.loaded', items: all.items.length, revision: all.revision });
      for (;;) {
        const askedAt = this.now();
        const result = yield* this.store.watch(SHARED, this.revision);
        if (result._tag === 'tooOld') break;
        if (result._tag === 'failed') {
          yield* Effect.sleep(STORE_RETRY_DELAY_MS);
          continue;
        }
        for (const event of result.events) this.apply(event);
        this.revision = Math.max(this.revision, result.revision);
        // An answer tells all that happened before its question was sent; it may have been under way for
        // long.
        this.confirmedAt = askedAt;
        // Each change would otherwise cost every node one more request; together they fit in a few.
        yield* Effect.sleep(this.store.watchGapMs);
      }
    }
  });
}
