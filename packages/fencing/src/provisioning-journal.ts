/**
 * The journal of provisioning requests: makes each one durable before it is sent, and notes its outcome.
 *
 * State: {@link ProvisioningJournal} owns the holder's copy of the record, its revision in the state
 * service, and what waits for the next write. Scale out announces requests and records outcomes; a new
 * leader loads the record first and settles what was left open.
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
 * ms: outcomes wait this long for a write that is made anyway; until then a successor repeats the request in
 * vain.
 */
const OUTCOME_WRITE_DELAY_MS = 3_000;
/** Attempts of a write that gets no answer. */
const WRITE_ATTEMPTS = 4;
/** ms: pause before the next attempt of a write without an answer. */
const RETRY_DELAY_MS = 300;

/** What the journal needs of its process. */
export interface ProvisioningJournalDependencies {
  readonly value: FencedValue;
  /** bytes: the largest value that may be stored. */
  readonly maxBytes: number;
  /** ms since the epoch. */
  readonly timeOfDay: () => number;
  readonly sleep: (ms: number) => Promise<void>;
}

/** Whether a request may be sent; logged in these words. */
export type AnnouncementOutcome =
  /** It is durable: send it. */
  | 'announced'
  /** Another process holds the duty, or the record has not been loaded in this tenure. */
  | 'claim lost'
  /** It is not durable now: the state service does not answer or refuses, or the record is full. */
  | 'unavailable';

interface Announcement {
  readonly intent: ProvisioningIntent;
  readonly complete: (outcome: AnnouncementOutcome) => void;
}

/**
 * The holder's side of the durable intents. Requests that are announced at the same time share one write,
 * and outcomes go along with the next one: a wave of requests costs one change of the state service, not
 * two a request.
 */
export class ProvisioningJournal {
  private record: ProvisioningRecord = EMPTY_PROVISIONING_RECORD;
  private revision = 0;
  private token: FencingToken | null = null;
  private readonly pendingAnnouncements: Announcement[] = [];
  private pendingOutcomes: SettledProvisioning[] = [];
  /** Names of requests of this tenure that are not over. */
  private readonly openRequestNames = new Set<string>();
  private writing = false;
  private delayedWriteScheduled = false;

  constructor(private readonly dependencies: ProvisioningJournalDependencies) {}

  /** The open requests and the last outcomes, as this process knows them. */
  get current(): ProvisioningRecord {
    return this.record;
  }

  /** Reads what earlier holders left, at the beginning of a tenure; null: it could not be read. */
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

  /** Makes a request durable before it is sent. */
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

  /** A request is over; the outcome is written with the next announcement, or after a delay. */
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

  /** Writes what is pending, one write at a time, until nothing is or the state service is unavailable. */
  private async writePending(): Promise<void> {
    if (this.writing) return;
    this.writing = true;
    // What is announced in the same turn goes along.
    await Promise.resolve();
    while (this.pendingAnnouncements.length + this.pendingOutcomes.length > 0) {
      const announcements = this.pendingAnnouncements.splice(0);
      const outcomes = this.pendingOutcomes.splice(0);
      const result = await this.writeBatch(announcements, outcomes);
      for (const { complete: settle } of announcements) settle(result);
      // After a lost claim the outcomes are the successor's to settle; else they wait for the next write.
      if (result === 'unavailable') this.pendingOutcomes.unshift(...outcomes);
      // Whoever announced something meanwhile waits for its own write.
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

  /** Not all requests fit in one value: the last one has to wait until others are over. */
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
   * Without an answer a write may still be applied later. It is repeated on the same condition, which then
   * tells whether it was.
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
   * The value has another revision. Only the holder writes it, so that is the revision of an unanswered
   * write of this process, or of a successor.
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

  /** A write that was given up without an answer was applied late: the requests in it were never sent. */
  private withdrawUnsent(): void {
    const at = this.dependencies.timeOfDay();
    for (const { name } of this.record.open) {
      if (this.openRequestNames.has(name)) continue;
      this.pendingOutcomes.push({ name, outcome: 'withheld', machines: 0, at });
    }
  }
}
