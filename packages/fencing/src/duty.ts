/**
 * A duty in one process, and the permits that its effects require.
 *
 * State: a {@link Duty} owns its {@link DutyState}, which only `nextDutyState` changes. The component that
 * follows the claims in the key-value store applies events to the duty; components that carry out effects
 * request permits from it.
 */
import type { DutyAudit, RefusalReason } from './audit.js';
import type { DutyName } from './duty-definitions.js';
import { nextDutyState, tokenOfState, type DutyEvent, type DutyState } from './duty-state.js';
import type { FencingToken } from './token.js';

/** What a duty requires of its process. */
export interface DutyDependencies {
  readonly name: DutyName;
  /** The name of the claim in the key-value store that the duty belongs to. */
  readonly claim: string;
  /**
   * Returns the token under which this process may act now; null if it does not hold the claim, or if its
   * lease may have expired. Each call reads the clock.
   */
  readonly actingToken: () => FencingToken | null;
  readonly audit: DutyAudit;
  /** Whether late effects are refused. If false, they are carried out and only recorded in the audit. */
  readonly enforceFencing: boolean;
}

/**
 * Permission to carry out one effect. The caller checks it again immediately before bytes leave the process,
 * after any wait, and for each retry: between the decision and that moment the process may have been paused.
 */
export interface Permit {
  readonly duty: DutyName;
  readonly claim: string;
  readonly token: FencingToken;
  /** Returns whether the effect may be carried out now; a refusal is recorded in the audit. */
  readonly mayProceed: () => boolean;
  /** Ends the permit once the effect was answered or given up. Further calls change nothing. */
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

  /** Suspends or restores the duty, depending on whether its lease is valid now. */
  refresh(): void {
    const token = tokenOfState(this.current);
    const mayAct = token !== null && this.dependencies.actingToken() === token;
    if (!mayAct) this.apply({ _tag: 'suspended' });
    else if (this.current._tag === 'draining') this.apply({ _tag: 'restored' });
  }

  /**
   * Returns a permit for an effect of the current holder; null if this process does not hold the duty now.
   */
  begin(effect: string): Permit | null {
    this.refresh();
    return this.current._tag === 'held' ? this.createPermit(effect, this.current.token) : null;
  }

  /** Returns a permit for settling what an earlier holder left open; null if nothing is to be settled now. */
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
