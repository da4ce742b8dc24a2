/**
 * The garbage collector of one shard: writes tombstones for orphaned keys, and removes the keys in a later
 * pass.
 *
 * State: {@link GarbageCollector} owns its copy of the shard's tombstone record, the record's revision, and
 * the orphaned keys that have no tombstone yet. The holder of the shard enqueues keys and calls `step`
 * whenever `hasWork` is true; a later step or a successor retries a failed step.
 */
import type { Permit } from './duty.js';
import type { FencedValue } from './fenced-value.js';
import type { FencingToken } from './token.js';
import { readTombstoneRecord, tombstonesThatFit, writeTombstoneRecord } from './tombstone-record-codec.js';
import {
  COLLECTION_DELAY_MS,
  dueTombstones,
  EMPTY_TOMBSTONE_RECORD,
  withCollectedKeys,
  withoutTombstones,
  withTombstones,
  type OrphanReason,
  type Tombstone,
  type TombstoneRecord,
} from './tombstones.js';

/** A key that appears to be orphaned. */
export interface OrphanedKey {
  readonly key: string;
  /** 0 if the key does not exist; null if the revision is unknown and has to be read. */
  readonly revision: number | null;
  readonly reason: OrphanReason;
}

/** The outcome of reading the current revision of a key. */
export type RevisionOutcome =
  | { readonly _tag: 'revision'; readonly revision: number }
  | { readonly _tag: 'absent' }
  | { readonly _tag: 'unavailable' };

/** What the garbage collector requires of its shard. */
export interface GarbageCollectorDependencies {
  readonly value: FencedValue;
  /** Returns a permit for one step; null if this process does not hold the duty now. */
  readonly beginStep: () => Permit | null;
  readonly revisionOf: (key: string) => Promise<RevisionOutcome>;
  /** Returns whether the key is in use after all; called immediately before the removal. */
  readonly inUse: (key: string) => boolean;
  /** Returns the number of keys that one transaction may remove at the current rate. */
  readonly batchSize: () => number;
  /** bytes: the largest value that may be stored. */
  readonly maxBytes: number;
  /** The wall clock, in ms since the epoch. */
  readonly timeOfDay: () => number;
  /** Called after a removal, with the tombstones of the removed keys. */
  readonly onCollected: (collected: readonly Tombstone[]) => void;
}

/** Marks and removes the orphaned keys of one shard, under one token. */
export class GarbageCollector {
  private record: TombstoneRecord = EMPTY_TOMBSTONE_RECORD;
  private revision = 0;
  /**
   * Whether `record` is known to match the stored record: false before the first read, and after a write that
   * was not answered or met another revision of the record.
   */
  private loaded = false;
  private readonly unmarked: OrphanedKey[] = [];
  /** ms since the epoch: time until which the record counts as full, and no tombstones are added. */
  private fullUntil = Number.NEGATIVE_INFINITY;

  constructor(private readonly dependencies: GarbageCollectorDependencies) {}

  /** Queues keys to be marked, and removed {@link COLLECTION_DELAY_MS} after the mark at the earliest. */
  enqueue(keys: readonly OrphanedKey[]): void {
    this.unmarked.push(...keys);
  }

  /** Whether `step` has anything to do now. */
  get hasWork(): boolean {
    if (!this.loaded) return true;
    if (this.unmarked.length > 0 && this.dependencies.timeOfDay() >= this.fullUntil) return true;
    return this.collectableTombstones().length > 0;
  }

  /** Reads the record, removes a batch of keys, or marks a batch of keys; does nothing without a permit. */
  async step(): Promise<void> {
    const permit = this.dependencies.beginStep();
    if (permit === null) return;
    try {
      if (!this.loaded) await this.load();
      // Removals come first: they free space for more tombstones.
      else if (this.collectableTombstones().length > 0) await this.removeBatch(permit.token);
      else if (this.unmarked.length > 0) await this.markBatch(permit.token);
    } finally {
      permit.end();
    }
  }

  private collectableTombstones(): readonly Tombstone[] {
    return dueTombstones(this.record, this.dependencies.timeOfDay(), this.dependencies.batchSize());
  }

  private async load(): Promise<void> {
    const outcome = await this.dependencies.value.read();
    if (outcome._tag === 'unavailable') return;
    const { value, revision } = outcome.entry;
    this.revision = revision;
    this.record = revision === 0 ? EMPTY_TOMBSTONE_RECORD : readTombstoneRecord(value);
    this.loaded = true;
  }

  private async markBatch(token: FencingToken): Promise<void> {
    const batch = this.unmarked.splice(0, this.dependencies.batchSize());
    const tombstones = await this.createTombstones(batch, token);
    const fitting = tombstonesThatFit(this.record, tombstones, this.dependencies.maxBytes);
    if (fitting.length < tombstones.length)
      this.fullUntil = this.dependencies.timeOfDay() + COLLECTION_DELAY_MS;
    const next = withTombstones(this.record, fitting);
    const written = fitting.length > 0 && (await this.write(next, [], token));
    const remaining = written ? tombstones.slice(fitting.length) : tombstones;
    this.enqueue(remaining.map(({ key, revision, reason }) => ({ key, revision, reason })));
  }

  /** Returns tombstones for the keys that exist; keys whose revision could not be read are enqueued again. */
  private async createTombstones(
    orphans: readonly OrphanedKey[],
    token: FencingToken,
  ): Promise<readonly Tombstone[]> {
    const tombstones: Tombstone[] = [];
    for (const orphan of orphans) {
      const outcome = await this.revisionOf(orphan);
      if (outcome._tag === 'unavailable') this.unmarked.push(orphan);
      if (outcome._tag !== 'revision') continue;
      tombstones.push({
        key: orphan.key,
        revision: outcome.revision,
        reason: orphan.reason,
        token,
        at: this.dependencies.timeOfDay(),
      });
    }
    return tombstones;
  }

  private async revisionOf({ key, revision }: OrphanedKey): Promise<RevisionOutcome> {
    if (revision === null) return this.dependencies.revisionOf(key);
    return revision === 0 ? { _tag: 'absent' } : { _tag: 'revision', revision };
  }

  private async removeBatch(token: FencingToken): Promise<void> {
    const now = this.dependencies.timeOfDay();
    const due = this.collectableTombstones();
    const inUse = new Set(due.map(({ key }) => key).filter((key) => this.dependencies.inUse(key)));
    const collected = due.filter(({ key }) => !inUse.has(key));
    const next = withCollectedKeys(withoutTombstones(this.record, inUse), collected, token, now);
    if (await this.write(next, collected, token)) this.dependencies.onCollected(collected);
  }

  /**
   * Writes the record and removes keys in the same transaction. Returns false if the transaction failed or
   * was not answered; a later step of this holder or of a successor retries the work.
   */
  private async write(
    next: TombstoneRecord,
    collected: readonly Tombstone[],
    token: FencingToken,
  ): Promise<boolean> {
    const outcome = await this.dependencies.value.write(
      writeTombstoneRecord(next, this.dependencies.maxBytes),
      this.revision,
      token,
      collected.map(({ key, revision }) => ({ key, revision })),
    );
    switch (outcome._tag) {
      case 'written':
        this.revision = outcome.revision;
        this.record = next;
        return true;
      case 'changed':
        await this.resolveConflict(new Set(outcome.keys), collected);
        return false;
      case 'claimLost':
      case 'notCarriedOut':
        return false;
      case 'unanswered':
        // The record shows whether the write was applied, since every write changes it: read it again.
        this.loaded = false;
        return false;
    }
  }

  /**
   * Handles a write that failed because the record or a key to be removed has another revision. If only the
   * record has, the next step reads the record again. Keys with another revision lose their tombstones; those
   * that still exist and are not in use are enqueued again.
   */
  private async resolveConflict(
    conflicting: ReadonlySet<string>,
    collected: readonly Tombstone[],
  ): Promise<void> {
    const changed = collected.filter(({ key }) => conflicting.has(key));
    if (changed.length === 0) {
      this.loaded = false;
      return;
    }
    this.record = withoutTombstones(this.record, new Set(changed.map(({ key }) => key)));
    for (const { key, reason } of changed) {
      const outcome = await this.dependencies.revisionOf(key);
      if (outcome._tag === 'absent') continue;
      const revision = outcome._tag === 'revision' ? outcome.revision : null;
      if (!this.dependencies.inUse(key)) this.enqueue([{ key, revision, reason }]);
    }
  }
}
