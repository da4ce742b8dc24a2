/**
 * A duty in one process, and the permits that its effects need.
 *
 * State: a {@link Duty} owns its {@link DutyState}, which only `nextDutyState` changes. Whoever follows the
 * claims in the state service applies events to it; whoever carries out effects asks it for permits.
 */
import type { DutyAudit, RefusalReason } from './audit.js';
import type { DutyName } from './duty-definitions.js';
import { nextDutyState, tokenOfState, type DutyEvent, type DutyState } from './duty-state.js';
import type { FencingToken } from './token.js';

/** What a duty needs of its process. */
export interface DutyDependencies {
  readonly name: DutyName;
  /** The claim in the state service that the duty hangs on. */
  readonly claim: string;
  /**
   * The token under which this process may act right now; null: it may not, because the claim is not its own
   * or the lease may have expired. Read from the clock at each call.
   */
  readonly actingToken: () => FencingToken | null;
  readonly audit: DutyAudit;
  /** Refuses late effects. When off they go out all the same, and are only recorded in the audit. */
  readonly enforceFencing: boolean;
}

/**
 * Permission to carry out one effect. It is asked again immediately before bytes leave the process, after
 * any wait, and for each retry: between the decision and that moment the process may have stood still.
 */
export interface Permit {
  readonly duty: DutyName;
  readonly claim: string;
  readonly token: FencingToken;
  /** May the effect be carried out at this very moment? A no is recorded in the audit. */
  readonly mayProceed: () => boolean;
  /** The effect has its answer, or is given up. Further calls change nothing. */
  readonly end: () => void;
}

/** One duty of this process. */
export class Duty {
  private current: DutyState = { _tag: 'idle' };

  constructor(private readonly dependencies: DutyDependencies) {}

  get name(): DutyName {
    return this.dependencies.name;
  }
  get claim(): string {
    return this.dependencies.claim;
  }
  get state(): DutyState {
    return this.current;
  }

  apply(event: DutyEvent): void {
    this.current = nextDutyState(this.current, event);
  }

  /** Suspends or restores the duty by what the lease says now. */
  refresh(): void {
    const token = tokenOfState(this.current);
    const mayAct = token !== null && this.dependencies.actingToken() === token;
    if (!mayAct) this.apply({ _tag: 'suspended' });
    else if (this.current._tag === 'draining') this.apply({ _tag: 'restored' });
  }

  /** A permit for an effect of the current holder; null: this process is not the holder now. */
  begin(effect: string): Permit | null {
    this.refresh();
    return this.current._tag === 'held' ? this.createPermit(effect, this.current.token) : null;
  }

  /** A permit for settling what an earlier holder left open; null: there is nothing to settle now. */
  beginSettlement(effect: string): Permit | null {
    this.refresh();
    return this.current._tag === 'acquiring' ? this.createPermit(effect, this.current.token) : null;
  }

  private createPermit(effect: string, token: FencingToken): Permit {
    this.apply({ _tag: 'effectBegun', token });
    let ended = false;
    return {
      duty: this.name,
      claim: this.claim,
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
    if (this.isCurrentTenure(token)) return true;
    const reason = this.refusalReason(token);
    this.dependencies.audit.recordRefusal({ duty: this.name, claim: this.claim, effect, token, reason });
    return !this.dependencies.enforceFencing;
  }

  private isCurrentTenure(token: FencingToken): boolean {
    const state = this.current;
    return (state._tag === 'held' || state._tag === 'acquiring') && state.token === token;
  }

  private refusalReason(token: FencingToken): RefusalReason {
    const currentToken = tokenOfState(this.current);
    if (currentToken !== null && currentToken > token) return 'later token held';
    return this.current._tag === 'draining' ? 'lease in doubt' : 'claim lost';
  }
}
