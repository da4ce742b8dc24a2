/**
 * When may a user be told that a job is cancelled? Only when whoever holds its share cannot fail to act on it
 * in time. Plain data in, plain data out; `docs/design.md` has the proof.
 */

/** The share's claim as read after the cancellation was durable. */
export type FreshClaim =
  | { readonly _tag: 'free' }
  | { readonly _tag: 'held'; readonly node: string; readonly version: number }
  /** It could not be read. */
  | { readonly _tag: 'unsure' };

/** What the claim's holder let be known, and under which claim. */
export interface CancellationEvidence {
  /** Answered `/heed` for this very cancellation: it is in its book. */
  readonly acknowledged: { readonly claim: number } | null;
  /**
   * Its summary, which it makes only with its book loaded: it has seen all shared keys up to this revision.
   */
  readonly summary: { readonly claim: number; readonly revision: number } | null;
  /** The same, through the state service. */
  readonly mark: { readonly claim: number; readonly revision: number } | null;
  /** It is known to stop cancelled tasks even before its share is loaded. */
  readonly understands: boolean;
}

/** Whether a cancellation may be told to its user, and on which evidence. */
export type CancellationVerdict =
  | { readonly _tag: 'assured'; readonly by: 'free' | 'later claim' | 'acknowledged' | 'summary' | 'mark' }
  | { readonly _tag: 'open' };

const open: CancellationVerdict = { _tag: 'open' };

/** `cancelled`: the revision at which the cancellation became durable. */
export const assessEvidence = (
  cancelled: number,
  claim: FreshClaim,
  evidence: CancellationEvidence,
): CancellationVerdict => {
  switch (claim._tag) {
    case 'unsure':
      return open;
    case 'free':
      // Whoever takes it sees every change before its own claim, and this one is.
      return { _tag: 'assured', by: 'free' };
    case 'held': {
      const { version } = claim;
      if (version > cancelled && evidence.understands) return { _tag: 'assured', by: 'later claim' };
      if (evidence.acknowledged?.claim === version) return { _tag: 'assured', by: 'acknowledged' };
      const seen = (sign: { claim: number; revision: number } | null): boolean =>
        sign !== null && sign.claim === version && sign.revision >= cancelled;
      if (seen(evidence.summary)) return { _tag: 'assured', by: 'summary' };
      if (seen(evidence.mark)) return { _tag: 'assured', by: 'mark' };
      return open;
    }
  }
};

/**
 * ms, steady: until when a holder may answer its workers in an outage, without renewals. All that was told
 * before `freshAt` it knows. What it doesn't know was told later, and a worker that it answered last by then
 * lets go of its tasks a lease after that, which is still in time.
 */
export const outageGraceUntil = (outage: {
  /** The state service is down as far as most nodes say. */
  readonly confirmed: boolean;
  /** Every node says so, and each is known to tell only what the holder has acknowledged. */
  readonly nobodyTells: boolean;
  readonly confirmedAt: number;
  readonly cancelMs: number;
  readonly leaseMs: number;
  readonly marginMs: number;
}): number | null => {
  if (!outage.confirmed) return null;
  if (outage.nobodyTells) return Number.POSITIVE_INFINITY;
  return outage.confirmedAt + outage.cancelMs - outage.leaseMs - outage.marginMs;
};
