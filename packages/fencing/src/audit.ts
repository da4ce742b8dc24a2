/**
 * The audit of a process's duties: who held which claim from when to when, and which effects were refused.
 *
 * State: {@link DutyAudit} owns bounded lists of both, for the administration API; nothing is decided by
 * them. `Duty` and the checks of received orders record refusals, and whoever follows the claims in the
 * state service records holders. Each entry also goes to the listener that the audit was made with, which
 * logs it.
 */
import type { DutyName } from './duty-definitions.js';
import type { FencingToken } from './token.js';

/** Ended periods of all claims that stay listed. */
const MAX_ENDED_PERIODS = 128;
/** Refused effects that stay listed. */
const MAX_REFUSALS = 128;

/** For how long somebody held a claim, as seen in the state service. */
export interface HoldingPeriod {
  readonly claim: string;
  readonly token: FencingToken;
  readonly node: string;
  readonly process: string;
  /** ms since the epoch, when this process saw it. */
  readonly from: number;
  /** ms since the epoch; null: the period has not ended. */
  readonly to: number | null;
  /** Why it ended; null: it has not. */
  readonly ended: string | null;
}

/** Why an effect was refused. */
export type RefusalReason =
  /** The lease behind the claim may have expired. */
  | 'lease in doubt'
  /** Another process holds the claim, or nobody. */
  | 'claim lost'
  /** This process holds the duty again, under a later token than the effect's. */
  | 'later token held'
  /** An order of another process carried a token below the highest seen. */
  | 'stale order';

/** An effect that was not carried out because its token, or the lease behind it, was no longer valid. */
export interface Refusal {
  readonly duty: DutyName;
  readonly claim: string;
  readonly effect: string;
  readonly token: FencingToken;
  readonly reason: RefusalReason;
  /** ms since the epoch. */
  readonly at: number;
}

/** An entry of the audit, as its listener receives it. */
export type AuditEvent =
  | { readonly _tag: 'holderChanged'; readonly period: HoldingPeriod }
  | { readonly _tag: 'holderEnded'; readonly period: HoldingPeriod }
  | { readonly _tag: 'refused'; readonly refusal: Refusal };

const dropOldest = (list: unknown[], maxLength: number): void => {
  if (list.length > maxLength) list.splice(0, list.length - maxLength);
};

/** A bounded record of who held which claim, why it ended, and which late effects were refused. */
export class DutyAudit {
  private readonly endedPeriods: HoldingPeriod[] = [];
  private readonly currentPeriods = new Map<string, HoldingPeriod>();
  private readonly refusals: Refusal[] = [];
  private refusedSinceStart = 0;

  constructor(
    /** ms since the epoch. */
    private readonly timeOfDay: () => number,
    private readonly onEvent: (event: AuditEvent) => void = () => undefined,
  ) {}

  /** All refusals since the start, also those that are no longer listed. */
  get refusalCount(): number {
    return this.refusedSinceStart;
  }

  /** The state service shows a claim with this holder; nothing changes if it is known already. */
  recordHolder(claim: string, token: FencingToken, node: string, process: string): void {
    const known = this.currentPeriods.get(claim);
    if (known?.token === token) return;
    if (known) this.recordHolderEnd(claim, 'taken over');
    const period = { claim, token, node, process, from: this.timeOfDay(), to: null, ended: null };
    this.currentPeriods.set(claim, period);
    this.onEvent({ _tag: 'holderChanged', period });
  }

  /** The claim has no holder any more, or another one. */
  recordHolderEnd(claim: string, reason: string): void {
    const known = this.currentPeriods.get(claim);
    if (!known) return;
    this.currentPeriods.delete(claim);
    const period = { ...known, to: this.timeOfDay(), ended: reason };
    this.endedPeriods.push(period);
    dropOldest(this.endedPeriods, MAX_ENDED_PERIODS);
    this.onEvent({ _tag: 'holderEnded', period });
  }

  /** An effect was refused just now. */
  recordRefusal(refusal: Omit<Refusal, 'at'>): void {
    const entry = { ...refusal, at: this.timeOfDay() };
    this.refusedSinceStart += 1;
    this.refusals.push(entry);
    dropOldest(this.refusals, MAX_REFUSALS);
    this.onEvent({ _tag: 'refused', refusal: entry });
  }

  /** Who holds the claim now, and who did before, the latest last. */
  listPeriods(claim: string): readonly HoldingPeriod[] {
    const current = this.currentPeriods.get(claim);
    const ended = this.endedPeriods.filter((period) => period.claim === claim);
    return current === undefined ? ended : [...ended, current];
  }

  /** The last refused effects, of one duty or of all, the latest last. */
  listRefusals(duty?: DutyName): readonly Refusal[] {
    return this.refusals.filter((refusal) => duty === undefined || refusal.duty === duty);
  }
}
