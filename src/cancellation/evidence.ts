/**
 * Decides whether the cancellation of a job may be confirmed to its user. A cancellation may be confirmed
 * only if the holder of the job's shard certainly acts on the cancellation in time. Pure functions without
 * state; `docs/design.md` has the proof. `acknowledgement.ts` calls them.
 */

/** The claim of the job's shard, read after the cancellation became durable. */
export type ConfirmedClaim =
  | { readonly _tag: 'unclaimed' }
  /** `node` is the holder of the claim, `revision` the revision of the claim. */
  | { readonly _tag: 'held'; readonly node: string; readonly revision: number }
  /** The claim could not be read. */
  | { readonly _tag: 'unknown' };

/** The revision up to which the holder of this claim has seen all changes of the shared keys. */
interface ObservedRevision {
  readonly claim: number;
  readonly revision: number;
}

/** The evidence about the holder of the claim, with the claim to which it applies. */
export interface CancellationEvidence {
  /** The holder's response that its shard acts on this cancellation; null: there is no such response. */
  readonly acknowledged: { readonly claim: number } | null;
  /**
   * The claim and the revision in the summary of the shard, which the holder creates only once the shard is
   * loaded; null: there is no recent summary.
   */
  readonly summary: ObservedRevision | null;
  /** The acknowledgement that a holder of the shard recorded in the key-value store; null: there is none. */
  readonly durableAcknowledgement: ObservedRevision | null;
  /** Whether the holder is known to stop cancelled tasks even before its shard is loaded. */
  readonly stopsTasksBeforeLoading: boolean;
}

/** Whether a cancellation may be confirmed to its user; `by` names the evidence. */
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
  const coversCancellation = (observed: ObservedRevision | null): boolean =>
    observed !== null && observed.claim === claim && observed.revision >= cancelledRevision;
  if (claim > cancelledRevision && evidence.stopsTasksBeforeLoading)
    return { _tag: 'confirmed', by: 'later claim' };
  if (evidence.acknowledged?.claim === claim) return { _tag: 'confirmed', by: 'acknowledged' };
  if (coversCancellation(evidence.summary)) return { _tag: 'confirmed', by: 'summary' };
  if (coversCancellation(evidence.durableAcknowledgement))
    return { _tag: 'confirmed', by: 'durable acknowledgement' };
  return UNCONFIRMED;
};

/**
 * Decides whether a cancellation may be confirmed to users. `cancelledRevision` is the revision at which the
 * cancellation became durable; `claim` was read after that.
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
      // The next claim on the shard is written after the cancellation, and its holder sees every change made
      // before the claim.
      return { _tag: 'confirmed', by: 'unclaimed' };
    case 'held':
      return assessHolder(cancelledRevision, claim.revision, evidence);
  }
};
