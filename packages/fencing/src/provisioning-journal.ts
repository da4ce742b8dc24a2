/**
 * The journal of provisioning requests: makes each request durable before it is sent, and records its
 * outcome.
 *
 * State: {@link ProvisioningJournal} owns the holder's copy of the record, its revision in the key-value
 * store, and the entries that wait for the next write. Scale-out announces requests and records outcomes; a
 * new leader first loads the record and settles the requests that were left open.
 */
import type { FencedValue } from './fenced-value.js';
import {
  readProvisioningEntry,
  writeProvisioningRecord,
  type StoredProvisioningRecord,
} from './provisioning-record-codec.js';
import {
  EMPTY_PROVISIONING_RECORD,
  withOpenRequests,
  withSettledRequests,
  type ProvisioningIntent,
  type ProvisioningOutcome,
  type ProvisioningRecord,
  type SettledProvisioning,
} from './provisioning-record.js';
import type { FencingToken } from './token.js';

/**
 * ms: how long an outcome waits for a write that announces requests, before it is written alone. Until it is
 * written, a successor repeats the request, which has no effect.
 */
const OUTCOME_WRITE_DELAY_MS = 3_000;
/** Maximum number of attempts of a write that is not answered. */
const WRITE_ATTEMPTS = 4;
/** ms: pause before the next attempt of a write that was not answered. */
const RETRY_DELAY_MS = 300;

/** What the journal requires of its process. */
export interface ProvisioningJournalDependencies {
  readonly value: FencedValue;
  /** bytes: the largest value that may be stored. */
  readonly maxBytes: number;
  /** The wall clock, in ms since the epoch. */
  readonly timeOfDay: () => number;
  readonly sleep: (ms: number) => Promise<void>;
}

/** Whether an announced request may be sent; the texts of the failures are logged. */
export type AnnouncementOutcome =
  /** The request is durable and may be sent. */
  | 'announced'
  /** Another process holds the duty, or the record has not been loaded in this tenure. */
  | 'claim lost'
  /** The request is not durable: the key-value store does not answer or refuses, or the record is full. */
  | 'unavailable';

interface Announcement {
  readonly intent: ProvisioningIntent;
  readonly complete: (outcome: AnnouncementOutcome) => void;
}

/**
 * Writes the durable intents of the holder of the duty. Requests that are announced at the same time share
 * one write, and outcomes are part of the next write: a batch of requests costs one change of the key-value
 * store instead of two for each request.
 */
export class ProvisioningJournal {
  private record: ProvisioningRecord = EMPTY_PROVISIONING_RECORD;
  private revision = 0;
  private token: FencingToken | null = null;
  private readonly pendingAnnouncements: Announcement[] = [];
  private pendingOutcomes: SettledProvisioning[] = [];
  /**
   * Names of the requests without an outcome: those announced in this tenure, and those left open before it.
   */
  private readonly openRequestNames = new Set<string>();
  private writing = false;
  private delayedWriteScheduled = false;

  constructor(private readonly dependencies: ProvisioningJournalDependencies) {}

  /** The open requests and the latest outcomes, as this process last read or wrote them. */
  get current(): ProvisioningRecord {
    return this.record;
  }

  /** Reads the record of earlier holders at the beginning of a tenure; null if it could not be read. */
  async load(token: FencingToken): Promise<ProvisioningRecord | null> {
    const outcome = await this.dependencies.value.read();
    if (outcome._tag === 'unavailable') return null;
    this.record = readProvisioningEntry(outcome.entry);
    this.revision = outcome.entry.revision;
    this.token = token;
    this.pendingOutcomes = [];
    this.openRequestNames.clear();
    for (const intent of this.record.open) this.openRequestNames.add(intent.name);
    return this.record;
  }

  /** Makes a request durable; the caller may send it only if the outcome is `announced`. */
  announce(intent: ProvisioningIntent): Promise<AnnouncementOutcome> {
    return new Promise((resolve) => {
      this.openRequestNames.add(intent.name);
      this.pendingAnnouncements.push({
        intent,
        complete: (outcome) => {
          if (outcome !== 'announced') this.openRequestNames.delete(intent.name);
          resolve(outcome);
        },
      });
      void this.writePending();
    });
  }

  /** Records the outcome of a request, to be written with the next announcement, or after a delay. */
  recordOutcome(name: string, outcome: ProvisioningOutcome, machines = 0): void {
    this.openRequestNames.delete(name);
    this.pendingOutcomes.push({ name, outcome, machines, at: this.dependencies.timeOfDay() });
    this.scheduleDelayedWrite();
  }

  private scheduleDelayedWrite(): void {
    if (this.delayedWriteScheduled) return;
    this.delayedWriteScheduled = true;
    void this.dependencies.sleep(OUTCOME_WRITE_DELAY_MS).then(() => {
      this.delayedWriteScheduled = false;
      void this.writePending();
    });
  }

  /**
   * Writes pending entries, one write at a time, until none is left, or until a write ends as `unavailable`
   * and no further announcement is pending.
   */
  private async writePending(): Promise<void> {
    if (this.writing) return;
    this.writing = true;
    // Wait for one microtask, so that requests that are announced synchronously together share the write.
    await Promise.resolve();
    while (this.pendingAnnouncements.length + this.pendingOutcomes.length > 0) {
      const announcements = this.pendingAnnouncements.splice(0);
      const outcomes = this.pendingOutcomes.splice(0);
      const result = await this.writeBatch(announcements, outcomes);
      for (const { complete: settle } of announcements) settle(result);
      // If the claim is lost, the successor settles the requests; otherwise the outcomes wait for the next
      // write.
      if (result === 'unavailable') this.pendingOutcomes.unshift(...outcomes);
      // Requests that were announced during the failed write still need a write of their own.
      if (result === 'unavailable' && this.pendingAnnouncements.length === 0) break;
    }
    if (this.pendingOutcomes.length > 0) this.scheduleDelayedWrite();
    this.writing = false;
  }

  private async writeBatch(
    announcements: readonly Announcement[],
    outcomes: readonly SettledProvisioning[],
  ): Promise<AnnouncementOutcome> {
    const token = this.token;
    if (token === null) return 'claim lost';
    const next = withOpenRequests(
      withSettledRequests(this.record, outcomes),
      announcements.map(({ intent }) => intent),
    );
    const stored = writeProvisioningRecord(next, token, this.dependencies.maxBytes);
    if (stored === null) return this.writeSmallerBatch(announcements, outcomes);
    const result = await this.writeWithRetries(stored, token);
    if (result === 'announced' && this.token === token) this.record = next;
    return result;
  }

  /**
   * Writes the requests without the last one if they do not all fit in one value. The last request completes
   * as `unavailable`, so its caller must not send it.
   */
  private writeSmallerBatch(
    announcements: readonly Announcement[],
    outcomes: readonly SettledProvisioning[],
  ): Promise<AnnouncementOutcome> {
    announcements.at(-1)?.complete('unavailable');
    return announcements.length === 0
      ? Promise.resolve('unavailable')
      : this.writeBatch(announcements.slice(0, -1), outcomes);
  }

  /**
   * Writes the record, and retries a write that is not answered, since that write may still be applied later.
   * All attempts have the same condition; if it fails, an earlier attempt may have been applied.
   */
  private async writeWithRetries(
    stored: StoredProvisioningRecord,
    token: FencingToken,
  ): Promise<AnnouncementOutcome> {
    for (let attempt = 0; attempt < WRITE_ATTEMPTS; attempt += 1) {
      const outcome = await this.dependencies.value.write(stored, this.revision, token);
      switch (outcome._tag) {
        case 'written':
          this.revision = outcome.revision;
          return 'announced';
        case 'claimLost':
          return 'claim lost';
        case 'changed':
          return this.resolveConflict(stored);
        case 'notCarriedOut':
          return 'unavailable';
        case 'unanswered':
          await this.dependencies.sleep(RETRY_DELAY_MS);
      }
    }
    return 'unavailable';
  }

  /**
   * Reads the value again after its revision differed. Only the holder writes it, so the revision is that of
   * an unanswered write of this process, or of a write of a successor.
   */
  private async resolveConflict(stored: StoredProvisioningRecord): Promise<AnnouncementOutcome> {
    const outcome = await this.dependencies.value.read();
    if (outcome._tag === 'unavailable') return 'unavailable';
    this.revision = outcome.entry.revision;
    if (JSON.stringify(outcome.entry.value) === JSON.stringify(stored)) return 'announced';
    this.record = readProvisioningEntry(outcome.entry);
    this.withdrawUnsent();
    return 'unavailable';
  }

  /**
   * Records the outcome `withheld` for open requests of the record that this process does not count as open.
   * Their write was given up without an answer and applied late, so they were never sent.
   */
  private withdrawUnsent(): void {
    const at = this.dependencies.timeOfDay();
    for (const { name } of this.record.open) {
      if (this.openRequestNames.has(name)) continue;
      this.pendingOutcomes.push({ name, outcome: 'withheld', machines: 0, at });
    }
  }
}
