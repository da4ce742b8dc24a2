/**
 * Reads and writes the wire form of requests to acknowledge cancellations and of the responses, and the
 * stored form of durable acknowledgements. No state.
 */
import type { Cancellation, DurableAcknowledgement } from './model.js';

/** The wire form of a cancellation. */
type WireCancellation = readonly [shardId: number, claim: number, job: string, revision: number];

interface WireAcknowledgeReply {
  /** For each cancellation, in the order of the request, whether the holder acknowledges the cancellation. */
  readonly heeded: readonly boolean[];
}

interface StoredAcknowledgement {
  /** The revision of the claim. */
  readonly c: number;
  /** The revision up to which the holder has seen all changes of the shared keys. */
  readonly r: number;
}

/** Writes a request to acknowledge cancellations. */
export const writeAcknowledgeRequest = (
  cancellations: readonly Cancellation[],
): readonly WireCancellation[] =>
  cancellations.map(({ shardId, claim, job, revision }) => [shardId, claim, job, revision]);

/** Reads a request to acknowledge cancellations; ignores malformed rows. */
export const readAcknowledgeRequest = (body: unknown): readonly Cancellation[] =>
  (Array.isArray(body) ? (body as unknown[]) : []).flatMap((row): readonly Cancellation[] => {
    if (!Array.isArray(row)) return [];
    const [shardId, claim, job, revision] = row as unknown[];
    return typeof shardId === 'number' &&
      typeof claim === 'number' &&
      typeof job === 'string' &&
      typeof revision === 'number'
      ? [{ shardId, claim, job, revision }]
      : [];
  });

/**
 * Writes the response to a request to acknowledge cancellations: for each cancellation of the request, in the
 * same order, whether the holder acknowledges the cancellation.
 */
export const writeAcknowledgeReply = (acknowledged: readonly boolean[]): WireAcknowledgeReply => ({
  heeded: acknowledged,
});

/**
 * Reads the response to a request with `count` cancellations. A cancellation without a value in the response
 * is not acknowledged.
 */
export const readAcknowledgeReply = (body: unknown, count: number): readonly boolean[] => {
  const { heeded } = (body ?? {}) as { heeded?: unknown };
  return Array.from({ length: count }, (_, index) => Array.isArray(heeded) && heeded[index] === true);
};

/** Writes a durable acknowledgement in its stored form. */
export const writeDurableAcknowledgement = ({
  claim,
  revision,
}: DurableAcknowledgement): StoredAcknowledgement => ({
  c: claim,
  r: revision,
});

/** Reads a durable acknowledgement from its stored form. */
export const readDurableAcknowledgement = (value: unknown): DurableAcknowledgement => {
  const stored = value as StoredAcknowledgement;
  return { claim: stored.c, revision: stored.r };
};
