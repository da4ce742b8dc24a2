import type { DutyAudit, RefusalReason } from './audit.js';
import type { DutyName } from './duties.js';
import { nextDutyState, tokenOfState, type DutyEvent, type DutyState } from './duty-state.js';
import type { FencingToken } from './token.js';

/** What a duty needs of its process. */
export interface DutyInput {
  readonly name: DutyName;
  /** The claim in the state service that the duty hangs on. */
  readonly claim: string;
  /**
   * The token under which this process may act right now; null: it may not. Read from the clock at each call.
   */
  readonly right: () => FencingToken | null;
  readonly audit: DutyAudit;
  /** Refuses what has lost its right. When off, refusals are only counted: the behaviour before fencing. */
  readonly enforce: boolean;
}

/**
 * Leave to carry out one effect. It is asked again immediately before bytes leave the process, after any
 * wait, and for each retry: between the decision and that moment the process may have stood still.
 */
export interface Permit {
  readonly duty: DutyName;
  readonly claim: string;
  readonly token: FencingToken;
  /** May the effect be carried out at this very moment? */
  readonly mayProceed: () => boolean;
  /** The effect has its answer, or is given up. */
  readonly end: () => void;
}

/** One duty of this process. */
export class Duty {
  private current: DutyState = { _tag: 'idle' };

  constructor(private readonly input: DutyInput) {}

  get name(): DutyName {
    return this.input.name;
  }
  get claim(): string {
    return this.input.claim;
  }
  get state(): DutyState {
    return this.current;
  }

  apply(event: DutyEvent): void {
    this.current = nextDutyState(this.current, event);
  }

  /** Compares with what the lease says now. */
  refresh(): void {
    const token = tokenOfState(this.current);
    const hasRight = token !== null && this.input.right() === token;
    if (this.current._tag === 'draining' && hasRight) this.apply({ _tag: 'restored' });
    else if (!hasRight) this.apply({ _tag: 'suspended' });
  }

  /** Leave for an effect of the current holder; null: this process is not that now. */
  begin(effect: string): Permit | null {
    this.refresh();
    return this.current._tag === 'held' ? this.permit(effect, this.current.token) : null;
  }

  /** Leave for an effect that settles what an earlier holder left open. */
  beginSettlement(effect: string): Permit | null {
    this.refresh();
    return this.current._tag === 'acquiring' ? this.permit(effect, this.current.token) : null;
  }

  private permit(effect: string, token: FencingToken): Permit {
    this.apply({ _tag: 'effectBegun', token });
    let ended = false;
    return {
      duty: this.input.name,
      claim: this.input.claim,
      token,
      mayProceed: () => this.mayProceed(effect, token),
      end: () => {
        if (ended) return;
        ended = true;
        this.apply({ _tag: 'effectEnded', token });
      },
    };
  }

  private mayProceed(effect: string, token: FencingToken): boolean {
    this.refresh();
    const { _tag } = this.current;
    const holds = (_tag === 'held' || _tag === 'acquiring') && tokenOfState(this.current) === token;
    if (holds) return true;
    this.input.audit.refuse({
      duty: this.input.name,
      claim: this.input.claim,
      effect,
      token,
      reason: this.refusalReason(token),
    });
    return !this.input.enforce;
  }

  private refusalReason(token: FencingToken): RefusalReason {
    const held = tokenOfState(this.current);
    if (held !== null && held > token) return 'later token held';
    return this.current._tag === 'draining' ? 'lease in doubt' : 'claim lost';
  }
}
