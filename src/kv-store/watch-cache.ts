/**
 * This controller's copy of the shared keys. Changes are applied in the order of their revisions: the content
 * of the copy was true at its revision, and a later change is never visible before an earlier one. Fencing
 * relies on that order. Owns the copy; its `run` fills it, and every subsystem reads it.
 */
import * as Effect from 'effect/Effect';
import { STORE_RETRY_DELAY_MS } from '../constants/key-value-store.js';
import { log } from '../log.js';
import type { KeyValueStore } from './client.js';
import { kindOf, SHARED_PREFIX } from './keys.js';
import type { StoredEntry, WatchEvent } from './model.js';

/** Called for each change after it has been applied to the copy. */
type WatchListener = (event: WatchEvent) => void;

/** Copy of the shared keys in the key-value store. */
export class WatchCache {
  /** Entries by kind of key (`w/j/`, `w/m/`, …), so that iterating over one kind visits only its entries. */
  private readonly entriesByKind = new Map<string, Map<string, StoredEntry>>();
  private readonly listeners: WatchListener[] = [];
  private appliedRevision = -1;
  private confirmedSince = Number.NEGATIVE_INFINITY;
  private loaded = false;

  constructor(
    private readonly store: Pick<KeyValueStore, 'list' | 'watch' | 'watchGapMs'>,
    /** Current time in ms, lease clock. */
    private readonly now: () => number = () => performance.now(),
  ) {}

  /** The revision up to which the copy contains every change; -1 before the first load. */
  get revision(): number {
    return this.appliedRevision;
  }

  /**
   * Time in ms of the lease clock before which the copy contains every change; `-Infinity` before the first
   * load.
   */
  get confirmedAt(): number {
    return this.confirmedSince;
  }

  /** Whether all keys have been read at least once. */
  get ready(): boolean {
    return this.loaded;
  }

  /** Calls the listener for each later change. */
  onEvent(listener: WatchListener): void {
    this.listeners.push(listener);
  }

  /** The entry of a key; undefined: the copy contains none. */
  get(key: string): StoredEntry | undefined {
    return this.entriesByKind.get(kindOf(key))?.get(key);
  }

  /** All entries of one kind. */
  entriesOfKind(kind: `w/${string}/`): Iterable<StoredEntry> {
    return this.entriesByKind.get(kind)?.values() ?? [];
  }

  /** Applies a change, unless the copy already contains it or a later change of the same key. */
  apply(event: WatchEvent): void {
    const { key, version } = event._tag === 'put' ? event.entry : event;
    const current = this.get(key);
    if (current && current.version >= version) return;
    if (event._tag === 'put') this.writableEntriesOfKind(kindOf(key)).set(key, event.entry);
    else if (!this.entriesByKind.get(kindOf(key))?.delete(key)) return;
    for (const listener of this.listeners) listener(event);
  }

  private writableEntriesOfKind(kind: string): Map<string, StoredEntry> {
    let entries = this.entriesByKind.get(kind);
    if (!entries) {
      entries = new Map<string, StoredEntry>();
      this.entriesByKind.set(kind, entries);
    }
    return entries;
  }

  /** Makes the copy equal to a list: applies deletions, then the listed entries in the order of versions. */
  private replaceAll(listed: readonly StoredEntry[], revision: number): void {
    const present = new Set(listed.map((entry) => entry.key));
    for (const entries of this.entriesByKind.values()) {
      for (const key of [...entries.keys()])
        if (!present.has(key)) this.apply({ _tag: 'delete', key, version: revision });
    }
    const inOrder = [...listed].sort((a, b) => a.version - b.version);
    for (const entry of inOrder) this.apply({ _tag: 'put', entry });
    this.appliedRevision = revision;
    this.loaded = true;
  }

  /** Lists all shared keys and replaces the copy; false: the list failed. */
  private readonly load: Effect.Effect<boolean> = Effect.gen({ self: this }, function* () {
    const requestedAt = this.now();
    const all = yield* this.store.list(SHARED_PREFIX, 'user');
    if (all._tag === 'failed') {
      log.debug({ event: 'cache.list_failed', why: all.why });
      return false;
    }
    this.replaceAll(all.entries, all.revision);
    this.confirmedSince = requestedAt;
    log.info({ event: 'cache.loaded', items: all.entries.length, revision: all.revision });
    return true;
  });

  /** Applies watched changes until the store no longer has all changes since the copy's revision. */
  private readonly applyChanges: Effect.Effect<void> = Effect.gen({ self: this }, function* () {
    for (;;) {
      const requestedAt = this.now();
      const result = yield* this.store.watch(SHARED_PREFIX, this.appliedRevision);
      if (result._tag === 'tooOld') return;
      if (result._tag === 'failed') {
        yield* Effect.sleep(STORE_RETRY_DELAY_MS);
        continue;
      }
      for (const event of result.events) this.apply(event);
      this.appliedRevision = Math.max(this.appliedRevision, result.revision);
      // A response covers all changes made before its request was sent; the response may have taken long.
      this.confirmedSince = requestedAt;
      // Without this pause each change would cost every controller one more request; with it, one watch
      // returns several changes.
      yield* Effect.sleep(this.store.watchGapMs);
    }
  });

  /** Keeps the copy up to date; never ends. */
  readonly run: Effect.Effect<never> = Effect.gen({ self: this }, function* () {
    for (;;) {
      const loaded = yield* this.load;
      yield* loaded ? this.applyChanges : Effect.sleep(STORE_RETRY_DELAY_MS);
    }
  });
}
