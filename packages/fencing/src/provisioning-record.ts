/**
 * The record of provisioning requests: those that are announced and not over, and the last outcomes.
 *
 * The cloud compares no tokens, but it knows requests by name: one that is repeated gets the first one's
 * answer and provisions nothing. So a request is named in the state service before it is sent, and whoever
 * holds the duty next repeats it under the same name. From then on a late copy of it changes nothing.
 *
 * Pure; `ProvisioningJournal` holds the record of the present tenure, the codec beside this module has its
 * stored form.
 */
import type { FencingToken } from './token.js';

/**
 * ms: a request older than this answers a need of the past. It is not repeated; should it still be carried
 * out, its machines are adopted when they report or are listed. Longer than a change of holder takes,
 * shorter than a boot.
 */
export const INTENT_REPEAT_WINDOW_MS = 30_000;
/** Outcomes that stay in the record. */
const MAX_SETTLED = 24;

/** A provisioning request as it is announced. */
export interface ProvisioningIntent {
  readonly name: string;
  readonly machineType: string;
  readonly zone: string;
  readonly spot: boolean;
  /** The shard that each machine is meant for. */
  readonly shardIds: readonly number[];
  /** ms since the epoch. */
  readonly at: number;
}

/** How a provisioning request ended; stored, and shown to operators, in these words. */
export type ProvisioningOutcome =
  'rented' | 'no capacity' | 'refused' | 'withheld' | 'unanswered' | 'abandoned' | 'repeated by successor';

/** A request that is over. */
export interface SettledProvisioning {
  readonly name: string;
  readonly outcome: ProvisioningOutcome;
  /** Machines that it brought. */
  readonly machines: number;
  /** ms since the epoch. */
  readonly at: number;
}

/** What the state service holds: open requests, and the last that ended. */
export interface ProvisioningRecord {
  /** The token under which it was written last; null: it never was, or could not be read. */
  readonly token: FencingToken | null;
  readonly open: readonly ProvisioningIntent[];
  /** The oldest first. */
  readonly settled: readonly SettledProvisioning[];
  /** Stored entries that could not be read: never acted on, preserved for an operator. */
  readonly malformed: readonly unknown[];
}

/** A record without entries. */
export const EMPTY_PROVISIONING_RECORD: ProvisioningRecord = {
  token: null,
  open: [],
  settled: [],
  malformed: [],
};

/** What a new holder does with a request that an earlier one left open. */
export type Settlement =
  /**
   * Send it again under its name: either it was carried out, or it is now; a late copy then changes nothing.
   */
  | { readonly _tag: 'repeat'; readonly intent: ProvisioningIntent }
  /** Leave it: its machines, if any come, are adopted and returned when idle. */
  | { readonly _tag: 'abandon'; readonly intent: ProvisioningIntent };

/**
 * Decides about each open request by its age at `now` (ms since the epoch). An intent from the future, by a
 * clock that was set back, is repeated.
 */
export const settlementsFor = (record: ProvisioningRecord, now: number): readonly Settlement[] =>
  record.open.map((intent) => ({
    _tag: now - intent.at <= INTENT_REPEAT_WINDOW_MS ? 'repeat' : 'abandon',
    intent,
  }));

/** The record with these requests announced. */
export const withOpenRequests = (
  record: ProvisioningRecord,
  intents: readonly ProvisioningIntent[],
): ProvisioningRecord => ({
  ...record,
  open: [...record.open, ...intents],
});

/** The record with the outcomes of these requests, which are no longer open. */
export const withSettledRequests = (
  record: ProvisioningRecord,
  settled: readonly SettledProvisioning[],
): ProvisioningRecord => {
  const names = new Set(settled.map(({ name }) => name));
  return {
    ...record,
    open: record.open.filter((intent) => !names.has(intent.name)),
    settled: [...record.settled, ...settled].slice(-MAX_SETTLED),
  };
};
