/**
 * When may a user be told that a job is cancelled? Only when whoever holds its shard cannot fail to act on it
 * in time. Pure decision, no state; `docs/design.md` has the proof. The acknowledgement of cancellations
 * asks.
 */

/** The shard's claim as read after the cancellation was durable. */
export type ConfirmedClaim =
  | { readonly _tag: 'unclaimed' }
  /** `revision`: of the claim. */
  | { readonly _tag: 'held'; readonly node: string; readonly revision: number }
  /** It could not be read. */
  | { readonly _tag: 'unknown' };

/** What a holder has seen: under this claim, all shared keys up to this revision. */
interface ObservedRevision {
  readonly claim: number;
  readonly revision: number;
}

/** What the claim's holder let be known, and under which claim. */
export interface CancellationEvidence {
  /** Its answer to a request for this very cancellation: its shard acts on it. */
  readonly acknowledged: { readonly claim: number } | null;
  /** Its summary, which it makes only once its shard is loaded. */
  readonly summary: ObservedRevision | null;
  /** What it recorded in the key-value store. */
  readonly durableAcknowledgement: ObservedRevision | null;
  /** It is known to stop cancelled tasks even before its shard is loaded. */
  readonly stopsTasksBeforeLoading: boolean;
}

/** Whether a cancellation may be confirmed to its user, and on which evidence. */
export type CancellationVerdict =
  | {
      readonly _tag: 'confirmed';
      readonly by: 'unclaimed' | 'later claim' | 'acknowledged' | 'summary' | 'durable acknowledgement';
    }
  | { readonly _tag: 'unconfirmed' };

const UNCONFIRMED: CancellationVerdict = { _tag: 'unconfirmed' };

const assessHolder = (
  cancelledRevision: number,
  claim: number,
  evidence: CancellationEvidence,
): CancellationVerdict => {
  const coversCancellation = (seen: ObservedRevision | null): boolean =>
    seen !== null && seen.claim === claim && seen.revision >= cancelledRevision;
  if (claim > cancelledRevision && evidence.stopsTasksBeforeLoading)
    return { _tag: 'confirmed', by: 'later claim' };
  if (evidence.acknowledged?.claim === claim) return { _tag: 'confirmed', by: 'acknowledged' };
  if (coversCancellation(evidence.summary)) return { _tag: 'confirmed', by: 'summary' };
  if (coversCancellation(evidence.durableAcknowledgement))
    return { _tag: 'confirmed', by: 'durable acknowledgement' };
  return UNCONFIRMED;
};

/**
 * May users be told of a cancellation? `cancelledRevision` is the revision at which it became durable,
 * `claim` was read after that.
 */
export const assessEvidence = (
  cancelledRevision: number,
  claim: ConfirmedClaim,
  evidence: CancellationEvidence,
): CancellationVerdict => {
  switch (claim._tag) {
    case 'unknown':
      return UNCONFIRMED;
    case 'unclaimed':
      // Whoever takes the claim sees every change before it, and the cancellation is one.
      return { _tag: 'confirmed', by: 'unclaimed' };
    case 'held':
      return assessHolder(cancelledRevision, claim.revision, evidence);
  }
};
