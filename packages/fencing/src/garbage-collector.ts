import type { FencedValue } from './fenced-value.js';
import {
  dueTombstones,
  EMPTY_TOMBSTONE_RECORD,
  readTombstoneRecord,
  COLLECTION_DELAY_MS,
  tombstonesThatFit,
  withTombstones,
  withCollected,
  withoutTombstones,
  writeTombstoneRecord,
  type Tombstone,
  type TombstoneRecord,
  type OrphanReason,
} from './tombstones.js';
import type { Permit } from './duty.js';
import type { FencingToken } from './token.js';

/** A key that seems to be left over; revision null: not known, it has to be read. */
export interface OrphanedKey {
  readonly key: string;
  readonly revision: number | null;
  readonly reason: OrphanReason;
}

/** What a key's present revision is. */
export type RevisionOutcome =
  | { readonly _tag: 'revision'; readonly revision: number }
  | { readonly _tag: 'absent' }
  | { readonly _tag: 'unavailable' };

/** What the remover needs of its share. */
export interface GarbageCollectorDependencies {
  readonly value: FencedValue;
  /** Leave for one step; null: this process does not hold the duty now. */
  readonly begin: () => Permit | null;
  readonly revisionOf: (key: string) => Promise<RevisionOutcome>;
  /** Looked at again just before the removal: does the key belong to something after all? */
  readonly inUse: (key: string) => boolean;
  /** Keys that one transaction may remove at the present rate. */
  readonly batch: () => number;
  /** bytes: the largest value that may be stored. */
  readonly maxBytes: number;
  /** ms since the epoch. */
  readonly timeOfDay: () => number;
  readonly removed: (keys: readonly Tombstone[]) => void;
}

/** Marks and removes the left-over keys of one share, under one token. */
export class GarbageCollector {
  private book: TombstoneRecord = EMPTY_TOMBSTONE_RECORD;
  private revision = 0;
  private loaded = false;
  private readonly found: OrphanedKey[] = [];
  /** ms since the epoch: until then there is no room for more marks. */
  private fullUntil = Number.NEGATIVE_INFINITY;

  constructor(private readonly input: GarbageCollectorDependencies) {}

  /** Has these keys marked, and removed some time. */
  discard(keys: readonly OrphanedKey[]): void {
    this.found.push(...keys);
  }

  /** Is there anything to do now? */
  get due(): boolean {
    if (!this.loaded) return true;
    if (this.found.length > 0 && this.input.timeOfDay() >= this.fullUntil) return true;
    return this.collectableTombstones().length > 0;
  }

  private collectableTombstones(): readonly Tombstone[] {
    return dueTombstones(this.book, this.input.timeOfDay(), this.input.batch());
  }

  /** One step: reads the book, marks a batch or removes one. */
  async step(): Promise<void> {
    const permit = this.input.begin();
    if (permit === null) return;
    try {
      if (!this.loaded) await this.load();
      // What is due goes first: it makes room for more marks.
      else if (this.collectableTombstones().length > 0) await this.removeDue(permit.token);
      else if (this.found.length > 0) await this.mark(permit.token);
    } finally {
      permit.end();
    }
  }

  private async load(): Promise<void> {
    const outcome = await this.input.value.read();
    if (outcome._tag === 'unavailable') return;
    this.revision = outcome.entry.revision;
    this.book = this.revision === 0 ? EMPTY_TOMBSTONE_RECORD : readTombstoneRecord(outcome.entry.value);
    this.loaded = true;
  }

  private async mark(token: FencingToken): Promise<void> {
    const batch = this.found.splice(0, this.input.batch());
    const marked: Tombstone[] = [];
    for (const orphan of batch) {
      const revision = await this.revisionOf(orphan);
      if (revision === null) this.found.push(orphan);
      else if (revision > 0)
        marked.push({
          key: orphan.key,
          revision,
          reason: orphan.reason,
          token,
          at: this.input.timeOfDay(),
        });
    }
    const fit = tombstonesThatFit(this.book, marked, this.input.maxBytes);
    if (fit.length < marked.length) this.fullUntil = this.input.timeOfDay() + COLLECTION_DELAY_MS;
    const written = fit.length > 0 && (await this.write(withTombstones(this.book, fit), [], token));
    const waiting = written ? marked.slice(fit.length) : marked;
    this.found.push(...waiting.map(({ key, revision, reason }) => ({ key, revision, reason })));
  }

  /** 0: it is gone already; null: it could not be read. */
  private async revisionOf(orphan: OrphanedKey): Promise<number | null> {
    if (orphan.revision !== null) return orphan.revision;
    const outcome = await this.input.revisionOf(orphan.key);
    if (outcome._tag === 'unavailable') return null;
    return outcome._tag === 'absent' ? 0 : outcome.revision;
  }

  private async removeDue(token: FencingToken): Promise<void> {
    const now = this.input.timeOfDay();
    const due = this.collectableTombstones();
    const again = new Set(due.filter(({ key }) => this.input.inUse(key)).map(({ key }) => key));
    const gone = due.filter(({ key }) => !again.has(key));
    const next = withCollected(withoutTombstones(this.book, again), gone, token, now);
    if (await this.write(next, gone, token)) this.input.removed(gone);
  }

  /** True: written. Else it is tried again later, by whoever holds the duty then. */
  private async write(
    next: TombstoneRecord,
    gone: readonly Tombstone[],
    token: FencingToken,
  ): Promise<boolean> {
    const outcome = await this.input.value.write(
      writeTombstoneRecord(next, this.input.maxBytes),
      this.revision,
      token,
      gone.map(({ key, revision }) => ({ key, revision })),
    );
    switch (outcome._tag) {
      case 'written':
        this.revision = outcome.revision;
        this.book = next;
        return true;
      case 'changed':
        await this.lookAgain(new Set(outcome.keys), gone);
        return false;
      case 'claimLost':
      case 'notCarriedOut':
        return false;
      case 'unanswered':
        // Carried out or not: the book says, since it changes with every write.
        this.loaded = false;
        return false;
    }
  }

  /**
   * Keys whose revision changed since they were marked are not removed: one that still exists is marked anew.
   */
  private async lookAgain(changed: ReadonlySet<string>, gone: readonly Tombstone[]): Promise<void> {
    const affected = gone.filter(({ key }) => changed.has(key));
    if (affected.length === 0) {
      this.loaded = false;
      return;
    }
    this.book = withoutTombstones(this.book, new Set(affected.map(({ key }) => key)));
    for (const { key, reason } of affected) {
      const outcome = await this.input.revisionOf(key);
      if (outcome._tag === 'absent') continue;
      const revision = outcome._tag === 'revision' ? outcome.revision : null;
      if (!this.input.inUse(key)) this.found.push({ key, revision, reason });
    }
  }
}
