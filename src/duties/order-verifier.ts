/**
 * Verification of the fencing tokens in orders that controllers send each other.
 *
 * State: {@link OrderVerifier} owns the highest token seen for each claim. The change dispatcher passes it
 * each claim that the key-value store shows; the endpoint for peer requests verifies an order before it is
 * carried out.
 */
import { parseToken, TokenRegister, tokenOf, type DutyAudit, type DutyName } from '@dalegate/fencing';

/** Whether an order from another controller is carried out. */
export type OrderVerdict =
  | { readonly _tag: 'accepted' }
  /** The token is malformed: the answer is 400 with the field. */
  | { readonly _tag: 'malformed'; readonly field: string; readonly reason: string }
  /** The sender was replaced: the answer is 409 with the current holder's token. */
  | { readonly _tag: 'stale'; readonly current: number };

/** What the verifier requires of its controller. */
export interface OrderVerifierDependencies {
  readonly audit: DutyAudit;
  /** Returns whether every controller sends tokens with its orders, so that one without is malformed. */
  readonly tokensRequired: () => boolean;
  /** Whether tokens are verified. If false, every order is accepted. */
  readonly enforceFencing: boolean;
}

/** Accepts orders of current holders, and refuses those of replaced ones. */
export class OrderVerifier {
  private readonly highestTokens = new TokenRegister();

  constructor(private readonly dependencies: OrderVerifierDependencies) {}

  /** Records the revision of a claim that the key-value store shows. */
  noteClaim(claim: string, revision: number): void {
    this.highestTokens.note(claim, tokenOf(revision));
  }

  /** Verifies an order for one effect of a duty by its token as received; the audit records a stale token. */
  verify(duty: DutyName, claim: string, effect: string, rawToken: unknown): OrderVerdict {
    if (!this.dependencies.enforceFencing) return { _tag: 'accepted' };
    if (rawToken === undefined && !this.dependencies.tokensRequired()) return { _tag: 'accepted' };
    const parsed = parseToken(rawToken, 'token');
    if (parsed._tag === 'invalid') return { _tag: 'malformed', field: parsed.field, reason: parsed.reason };
    const check = this.highestTokens.check(claim, parsed.token);
    if (check._tag === 'accepted') return check;
    this.dependencies.audit.recordRefusal({
      duty,
      claim,
      effect,
      token: parsed.token,
      reason: 'stale order',
    });
    return { _tag: 'stale', current: check.current };
  }
}
