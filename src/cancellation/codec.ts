/**
 * Reads and writes requests to acknowledge cancellations and their answers, as they travel, and durable
 * acknowledgements, as they are stored. No state.
 */
import type { Cancellation, DurableAcknowledgement } from './model.js';

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
export const writeAcknowledgeRequest = (
  cancellations: readonly Cancellation[],
): readonly WireCancellation[] =>
  cancellations.map(({ shardId, claim, job, revision }) => [shardId, claim, job, revision]);

/** Reads a request to acknowledge cancellations; rows that are malformed are left out. */
export const readAcknowledgeRequest = (body: unknown): readonly Cancellation[] =>
  (Array.isArray(body) ? (body as unknown[]) : []).flatMap((row): readonly Cancellation[] => {
    if (!Array.isArray(row)) return [];
    const [slot, claim, job, version] = row as unknown[];
    return typeof slot === 'number' &&
      typeof claim === 'number' &&
      typeof job === 'string' &&
      typeof version === 'number'
      ? [{ shardId: slot, claim, job, revision: version }]
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
export const writeDurableAcknowledgement = ({
  claim,
  revision,
}: DurableAcknowledgement): StoredAcknowledgement => ({
  c: claim,
  r: revision,
});

/** Reads a stored durable acknowledgement. */
export const readDurableAcknowledgement = (value: unknown): DurableAcknowledgement => {
  const stored = value as StoredAcknowledgement;
  return { claim: stored.c, revision: stored.r };
};
