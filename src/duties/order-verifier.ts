import { parseToken, TokenRegister, tokenOf, type DutyAudit, type DutyName } from '@dalegate/fencing';

/** Whether an order of another controller is carried out. */
export type OrderVerdict =
  | { readonly _tag: 'accepted' }
  /** The token is malformed: 400 with the field. */
  | { readonly _tag: 'malformed'; readonly field: string; readonly reason: string }
  /** The sender was replaced: 409 with the current holder's token. */
  | { readonly _tag: 'stale'; readonly current: number };

/** What the gate needs of its controller. */
export interface OrderVerifierDependencies {
  readonly audit: DutyAudit;
  /** Every controller sends tokens with its orders, so one without is malformed. */
  readonly tokensRequired: () => boolean;
  readonly enforceFencing: boolean;
}

/** Checks the fencing tokens of orders that controllers send each other. */
export class OrderVerifier {
  private readonly register = new TokenRegister();

  constructor(private readonly input: OrderVerifierDependencies) {}

  /** The state service shows this revision of a claim. */
  noteClaim(claim: string, revision: number): void {
    this.register.note(claim, tokenOf(revision));
  }

  verify(duty: DutyName, claim: string, effect: string, raw: unknown): OrderVerdict {
    if (!this.input.enforceFencing || (raw === undefined && !this.input.tokensRequired()))
      return { _tag: 'accepted' };
    const parsed = parseToken(raw, 'token');
    if (parsed._tag === 'invalid') return { _tag: 'malformed', field: parsed.field, reason: parsed.reason };
    const verdict = this.register.check(claim, parsed.token);
    if (verdict._tag === 'accepted') return verdict;
    this.input.audit.recordRefusal({ duty, claim, effect, token: parsed.token, reason: 'stale order' });
    return { _tag: 'stale', current: verdict.current };
  }
}
