import type { FencedValue } from './fenced-value.js';
import {
  EMPTY_PROVISIONING_RECORD,
  readProvisioningRecord,
  withOpened,
  withSettled,
  writeProvisioningRecord,
  type ProvisioningRecord,
  type ProvisioningIntent,
  type ProvisioningOutcome,
  type SettledProvisioning,
} from './provisioning-intent.js';
import type { FencingToken } from './token.js';

/**
 * ms: outcomes wait this long for a write that is made anyway; until then a successor repeats the request in
 * vain.
 */
const OUTCOME_DELAY_MS = 3_000;
/** Times that a write without an answer is looked for. */
const WRITE_TRIES = 4;
/** ms: pause before looking for a write without an answer. */
const RETRY_MS = 300;

/** What the journal needs of its process. */
export interface ProvisioningJournalDependencies {
  readonly value: FencedValue;
  /** bytes: the largest value that may be stored. */
  readonly maxBytes: number;
  /** ms since the epoch. */
  readonly timeOfDay: () => number;
  readonly sleep: (ms: number) => Promise<void>;
}

/** Whether requests may be sent. */
export type OpenOutcome = 'announced' | 'claim lost' | 'unavailable';

interface Announcement {
  readonly intent: ProvisioningIntent;
  readonly settle: (outcome: OpenOutcome) => void;
}

/**
 * The holder's side of the durable rental intents. Requests that are announced at the same time share one
 * write, and outcomes go along with the next one: a wave of rentals costs one change of the state service,
 * not two a request.
 */
export class ProvisioningJournal {
  private book: ProvisioningRecord = EMPTY_PROVISIONING_RECORD;
  private revision = 0;
  private token: FencingToken | null = null;
  private announcements: Announcement[] = [];
  private outcomes: SettledProvisioning[] = [];
  /** Requests of this tenure that are not over. */
  private readonly live = new Set<string>();
  private writing = false;
  private outcomeTimer = false;
  /** Writes made, for measuring what the intents cost. */
  writes = 0;

  constructor(private readonly input: ProvisioningJournalDependencies) {}

  /** The open requests and the last outcomes, as this process knows them. */
  get current(): ProvisioningRecord {
    return this.book;
  }

  /** Reads what earlier holders left, at the beginning of a tenure; null: it could not be read. */
  async load(token: FencingToken): Promise<ProvisioningRecord | null> {
    const outcome = await this.input.value.read();
    if (outcome._tag === 'unavailable') return null;
    const { value, revision } = outcome.entry;
    this.book = revision === 0 ? EMPTY_PROVISIONING_RECORD : readProvisioningRecord(value);
    this.revision = revision;
    this.token = token;
    this.outcomes = [];
    this.live.clear();
    for (const intent of this.book.open) this.live.add(intent.name);
    return this.book;
  }

  /** Makes a request durable before it is sent. */
  open(intent: ProvisioningIntent): Promise<OpenOutcome> {
    return new Promise((resolve) => {
      this.live.add(intent.name);
      this.announcements.push({
        intent,
        settle: (outcome) => {
          if (outcome !== 'announced') this.live.delete(intent.name);
          resolve(outcome);
        },
      });
      void this.flush();
    });
  }

  /** A request is over. */
  close(name: string, outcome: ProvisioningOutcome, machines = 0): void {
    this.live.delete(name);
    this.outcomes.push({ name, outcome, machines, at: this.input.timeOfDay() });
    this.flushLater();
  }

  private flushLater(): void {
    if (this.outcomeTimer) return;
    this.outcomeTimer = true;
    void this.input.sleep(OUTCOME_DELAY_MS).then(() => {
      this.outcomeTimer = false;
      void this.flush();
    });
  }

  private async flush(): Promise<void> {
    if (this.writing) return;
    this.writing = true;
    // What is announced in the same turn goes along.
    await Promise.resolve();
    while (this.announcements.length + this.outcomes.length > 0) {
      const announced = this.announcements.splice(0);
      const outcomes = this.outcomes.splice(0);
      const result = await this.commit(announced, outcomes);
      for (const { settle } of announced) settle(result);
      // A lost claim makes them the successor's to settle; else they wait for the next write.
      if (result === 'unavailable') this.outcomes.unshift(...outcomes);
      // Whoever announced something meanwhile waits for its own write.
      if (result === 'unavailable' && this.announcements.length === 0) break;
    }
    if (this.outcomes.length > 0) this.flushLater();
    this.writing = false;
  }

  private async commit(
    announced: readonly Announcement[],
    outcomes: readonly SettledProvisioning[],
  ): Promise<OpenOutcome> {
    const token = this.token;
    if (token === null) return 'claim lost';
    const next = withOpened(
      withSettled(this.book, outcomes),
      announced.map(({ intent }) => intent),
    );
    const stored = writeProvisioningRecord(next, token, this.input.maxBytes);
    if (stored === null) return this.commitFewer(announced, outcomes);
    const result = await this.writeSurely(stored, token);
    if (result === 'announced' && this.token === token) this.book = next;
    return result;
  }

  /** Not all requests fit in one value: the last one waits until others are over. */
  private commitFewer(
    announced: readonly Announcement[],
    outcomes: readonly SettledProvisioning[],
  ): Promise<OpenOutcome> {
    announced.at(-1)?.settle('unavailable');
    return announced.length === 0
      ? Promise.resolve('unavailable')
      : this.commit(announced.slice(0, -1), outcomes);
  }

  /** Without an answer the write may still be applied later; its condition then tells whether it was. */
  private async writeSurely(stored: unknown, token: FencingToken): Promise<OpenOutcome> {
    for (let tries = 0; tries < WRITE_TRIES; tries += 1) {
      this.writes += 1;
      const outcome = await this.input.value.write(stored, this.revision, token);
      switch (outcome._tag) {
        case 'written':
          this.revision = outcome.revision;
          return 'announced';
        case 'claimLost':
          return 'claim lost';
        case 'changed':
          return this.adopted(stored);
        case 'notCarriedOut':
          return 'unavailable';
        case 'unanswered':
          await this.input.sleep(RETRY_MS);
      }
    }
    return 'unavailable';
  }

  /**
   * Only the holder writes the value, so another revision is that of our own unanswered write, or of a
   * successor.
   */
  private async adopted(stored: unknown): Promise<OpenOutcome> {
    const outcome = await this.input.value.read();
    if (outcome._tag === 'unavailable') return 'unavailable';
    this.revision = outcome.entry.revision;
    const same = JSON.stringify(outcome.entry.value) === JSON.stringify(stored);
    if (same) return 'announced';
    // An earlier write of ours, given up without an answer, was applied late: what it announced was never
    // sent.
    const late =
      outcome.entry.revision === 0 ? EMPTY_PROVISIONING_RECORD : readProvisioningRecord(outcome.entry.value);
    this.book = late;
    const at = this.input.timeOfDay();
    for (const { name } of late.open) {
      if (!this.live.has(name)) this.outcomes.push({ name, outcome: 'withheld', machines: 0, at });
    }
    return 'unavailable';
  }
}
