import type { Cancellation } from './acknowledgement.js';
import type { DurableAcknowledgement } from './durable-acknowledgement.js';

/**
 * Requests to acknowledge cancellations and their answers, as they travel; durable acknowledgements as they
 * are stored.
 */

/** A cancellation on the wire. */
type WireCancellation = readonly [slot: number, claim: number, job: string, version: number];

interface WireAcknowledgeReply {
  readonly heeded: readonly boolean[];
}

interface StoredAcknowledgement {
  readonly c: number;
  readonly r: number;
}

/** Writes a request to acknowledge cancellations. */
export const writeAcknowledgeRequest = (list: readonly Cancellation[]): readonly WireCancellation[] =>
  list.map(({ shardId, claim, job, version }) => [shardId, claim, job, version]);

/** Reads a request to acknowledge cancellations; rows that are malformed are left out. */
export const readAcknowledgeRequest = (body: unknown): readonly Cancellation[] =>
  (Array.isArray(body) ? (body as unknown[]) : []).flatMap((row): readonly Cancellation[] => {
    if (!Array.isArray(row)) return [];
    const [slot, claim, job, version] = row as unknown[];
    return typeof slot === 'number' &&
      typeof claim === 'number' &&
      typeof job === 'string' &&
      typeof version === 'number'
      ? [{ shardId: slot, claim, job, version }]
      : [];
  });

/** Writes the answer to such a request: for each cancellation, whether its holder acts on it. */
export const writeAcknowledgeReply = (acknowledged: readonly boolean[]): WireAcknowledgeReply => ({
  heeded: acknowledged,
});

/** Reads the answer to a request of `count` cancellations; what it doesn't say is not acknowledged. */
export const readAcknowledgeReply = (body: unknown, count: number): readonly boolean[] => {
  const { heeded } = (body ?? {}) as { heeded?: unknown };
  return Array.from({ length: count }, (_, index) => Array.isArray(heeded) && heeded[index] === true);
};

/** Writes a durable acknowledgement as it is stored. */
export const writeAcknowledgement = (mark: DurableAcknowledgement): StoredAcknowledgement => ({
  c: mark.claim,
  r: mark.revision,
});

/** Reads a stored durable acknowledgement. */
export const readAcknowledgement = (value: unknown): DurableAcknowledgement => {
  const stored = value as StoredAcknowledgement;
  return { claim: stored.c, revision: stored.r };
};
