/**
 * This controller's copy of the shared keys, in the order of their changes: what it shows was true at its
 * revision, and a later change is never shown before an earlier one. That order is what fencing relies on.
 * Owns the copy; filled by its `run`, read by every subsystem.
 */
import * as Effect from 'effect/Effect';
import { STORE_RETRY_DELAY_MS } from '../constants/key-value-store.js';
import { log } from '../log.js';
import type { KeyValueStore } from './client.js';
import { kindOf, SHARED_PREFIX } from './keys.js';
import type { StoredEntry, WatchEvent } from './model.js';

/** Called for each change once the copy shows it. */
type WatchListener = (event: WatchEvent) => void;

/** Copy of the shared keys. */
export class WatchCache {
  /** By kind of key (`w/j/`, `w/m/`, …), so that a walk over one kind costs only that kind. */
  private readonly entriesByKind = new Map<string, Map<string, StoredEntry>>();
  private readonly listeners: WatchListener[] = [];
  private shownRevision = -1;
  private confirmedSince = Number.NEGATIVE_INFINITY;
  private loaded = false;

  constructor(
    private readonly store: Pick<KeyValueStore, 'list' | 'watch' | 'watchGapMs'>,
    /** ms, lease clock. */
    private readonly now: () => number = () => performance.now(),
  ) {}

  /** The revision up to which every change is shown; -1 before the first load. */
  get revision(): number {
    return this.shownRevision;
  }

  /** ms, lease clock: every change made before this moment is shown. */
  get confirmedAt(): number {
    return this.confirmedSince;
  }

  /** True once all keys have been read for the first time. */
  get ready(): boolean {
    return this.loaded;
  }

  /** Calls the listener for each later change. */
  onEvent(listener: WatchListener): void {
    this.listeners.push(listener);
  }

  /** The entry of a key; undefined: there is none. */
  get(key: string): StoredEntry | undefined {
    return this.entriesByKind.get(kindOf(key))?.get(key);
  }

  /** All entries of one kind. */
  entriesOfKind(kind: `w/${string}/`): Iterable<StoredEntry> {
    return this.entriesByKind.get(kind)?.values() ?? [];
  }

  /** Shows a change, unless the copy shows it or a later one already. */
  apply(event: WatchEvent): void {
    const { key, version } = event._tag === 'put' ? event.entry : event;
    const shown = this.get(key);
    if (shown && shown.version >= version) return;
    if (event._tag === 'put') this.entriesOf(kindOf(key)).set(key, event.entry);
    else if (!this.entriesByKind.get(kindOf(key))?.delete(key)) return;
    for (const listener of this.listeners) listener(event);
  }

  private entriesOf(kind: string): Map<string, StoredEntry> {
    let entries = this.entriesByKind.get(kind);
    if (!entries) {
      entries = new Map<string, StoredEntry>();
      this.entriesByKind.set(kind, entries);
    }
    return entries;
  }

  /** Brings the copy to what a list showed, as changes in their order. */
  private replaceAll(listed: readonly StoredEntry[], revision: number): void {
    const present = new Set(listed.map((entry) => entry.key));
    for (const entries of this.entriesByKind.values()) {
      for (const key of [...entries.keys()])
        if (!present.has(key)) this.apply({ _tag: 'delete', key, version: revision });
    }
    const inOrder = [...listed].sort((a, b) => a.version - b.version);
    for (const entry of inOrder) this.apply({ _tag: 'put', entry });
    this.shownRevision = revision;
    this.loaded = true;
  }

  /** Reads all shared keys; false: that failed. */
  private readonly load: Effect.Effect<boolean> = Effect.gen({ self: this }, function* () {
    const askedAt = this.now();
    const all = yield* this.store.list(SHARED_PREFIX, 'user');
    if (all._tag === 'failed') {
      log.debug({ event: 'cache.list_failed', why: all.why });
      return false;
    }
    this.replaceAll(all.entries, all.revision);
    this.confirmedSince = askedAt;
    log.info({ event: 'cache.loaded', items: all.entries.length, revision: all.revision });
    return true;
  });

  /** Follows the changes until the store no longer has all of them. */
  private readonly follow: Effect.Effect<void> = Effect.gen({ self: this }, function* () {
    for (;;) {
      const askedAt = this.now();
      const result = yield* this.store.watch(SHARED_PREFIX, this.shownRevision);
      if (result._tag === 'tooOld') return;
      if (result._tag === 'failed') {
        yield* Effect.sleep(STORE_RETRY_DELAY_MS);
        continue;
      }
      for (const event of result.events) this.apply(event);
      this.shownRevision = Math.max(this.shownRevision, result.revision);
      // An answer tells all that happened before it was asked for; the answer itself may have taken long.
      this.confirmedSince = askedAt;
      // Each change would otherwise cost every controller one more request; together they fit in a few.
      yield* Effect.sleep(this.store.watchGapMs);
    }
  });

  /** Keeps the copy up to date for ever. */
  readonly run: Effect.Effect<never> = Effect.gen({ self: this }, function* () {
    for (;;) {
      const loaded = yield* this.load;
      yield* loaded ? this.follow : Effect.sleep(STORE_RETRY_DELAY_MS);
    }
  });
}
