/**
 * The record of provisioning requests: those that were announced and have no outcome, and the latest
 * outcomes.
 *
 * The cloud does not compare fencing tokens, but it identifies requests by name: a repeated request receives
 * the answer of the first one and provisions nothing. A request is therefore recorded by name in the
 * key-value store before it is sent, and the next holder of the duty repeats it under the same name. From
 * then on a late copy of the request changes nothing.
 *
 * Pure; `ProvisioningJournal` holds the record of the current tenure, and `provisioning-record-codec.ts`
 * defines its stored form.
 */
import type { FencingToken } from './token.js';

/**
 * ms: maximum age at which a new holder repeats a request; the demand for an older one is outdated. If the
 * cloud still carries out an older one, its machines are adopted when they report or are listed. The
 * limit is longer than a change of holder takes, and shorter than a boot.
 */
export const INTENT_REPEAT_WINDOW_MS = 30_000;
/** Maximum number of outcomes in the record. */
const MAX_SETTLED = 24;

/** A provisioning request as it is announced. */
export interface ProvisioningIntent {
  readonly name: string;
  readonly machineType: string;
  readonly zone: string;
  readonly spot: boolean;
  /** The shard that each machine is intended for. */
  readonly shardIds: readonly number[];
  /** When the request was created, in ms since the epoch. */
  readonly at: number;
}

/** How a provisioning request ended; these texts are stored and shown to operators. */
export type ProvisioningOutcome =
  'rented' | 'no capacity' | 'refused' | 'withheld' | 'unanswered' | 'abandoned' | 'repeated by successor';

/** A request that has an outcome. */
export interface SettledProvisioning {
  readonly name: string;
  readonly outcome: ProvisioningOutcome;
  /** Number of machines that were provisioned. */
  readonly machines: number;
  /** When the outcome was recorded, in ms since the epoch. */
  readonly at: number;
}

/** The record in the key-value store: the open requests, and the latest that ended. */
export interface ProvisioningRecord {
  /** The token under which the record was last written; null if it never was, or could not be read. */
  readonly token: FencingToken | null;
  readonly open: readonly ProvisioningIntent[];
  /** Oldest first. */
  readonly settled: readonly SettledProvisioning[];
  /** Stored entries that could not be read: they are never acted on, and kept for an operator. */
  readonly malformed: readonly unknown[];
}

/** A record without entries. */
export const EMPTY_PROVISIONING_RECORD: ProvisioningRecord = {
  token: null,
  open: [],
  settled: [],
  malformed: [],
};

/** What a new holder does with a request that an earlier holder left open. */
export type Settlement =
  /**
   * Send the request again under its name: the cloud carries it out now, unless it already did. A late copy
   * then changes nothing.
   */
  | { readonly _tag: 'repeat'; readonly intent: ProvisioningIntent }
  /** Do not send the request again: its machines, if there are any, are adopted and released when idle. */
  | { readonly _tag: 'abandon'; readonly intent: ProvisioningIntent };

/**
 * Decides on each open request by its age at `now` (ms since the epoch). A request dated in the future,
 * because clocks differ or one was set back, is repeated.
 */
export const settlementsFor = (record: ProvisioningRecord, now: number): readonly Settlement[] =>
  record.open.map((intent) => ({
    _tag: now - intent.at <= INTENT_REPEAT_WINDOW_MS ? 'repeat' : 'abandon',
    intent,
  }));

/** Returns the record with these requests added to the open ones. */
export const withOpenRequests = (
  record: ProvisioningRecord,
  intents: readonly ProvisioningIntent[],
): ProvisioningRecord => ({
  ...record,
  open: [...record.open, ...intents],
});

/** Returns the record with these outcomes added, and their requests no longer open. */
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
