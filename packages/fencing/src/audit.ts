import type { DutyName } from './duties.js';
import type { FencingToken } from './token.js';

/**
 * Periods of claims and refused effects that are kept for reading: a day of some changes an hour, in a few
 * tens of KiB.
 */
const KEPT_PERIODS = 128;
const KEPT_REFUSALS = 128;

/** For how long somebody held a claim, as seen in the state service. */
export interface HoldingPeriod {
  readonly claim: string;
  readonly token: FencingToken;
  readonly node: string;
  readonly process: string;
  /** ms since the epoch, when this process saw it. */
  readonly from: number;
  readonly to: number | null;
  readonly ended: string | null;
}

/** Why an effect was refused. */
export type RefusalReason =
  /** The lease behind the claim may be over. */
  | 'lease in doubt'
  /** Another process holds the claim, or nobody. */
  | 'claim lost'
  /** This process holds the duty again, under a later token than the effect's. */
  | 'later token held'
  /** An order of another process carried a token below the highest seen. */
  | 'stale order';

/** An effect that was not carried out because its token, or the right behind it, was no longer good. */
export interface Refusal {
  readonly duty: DutyName;
  readonly claim: string;
  readonly effect: string;
  readonly token: FencingToken;
  readonly reason: RefusalReason;
  /** ms since the epoch. */
  readonly at: number;
}

/** Something that the audit tells a log. */
export type AuditEvent =
  | { readonly _tag: 'holderChanged'; readonly period: HoldingPeriod }
  | { readonly _tag: 'holderEnded'; readonly period: HoldingPeriod }
  | { readonly _tag: 'refused'; readonly refusal: Refusal };

const keepLast = <T>(list: T[], most: number): void => {
  if (list.length > most) list.splice(0, list.length - most);
};

/** A bounded record of who held which claim, why it ended, and which late effects were refused. */
export class DutyAudit {
  private readonly ended: HoldingPeriod[] = [];
  private readonly present = new Map<string, HoldingPeriod>();
  private readonly refusals: Refusal[] = [];
  /** All refusals since the start, also those that are no longer listed. */
  refusalCount = 0;

  constructor(
    /** ms since the epoch. */
    private readonly timeOfDay: () => number,
    private readonly tell: (event: AuditEvent) => void = () => undefined,
  ) {}

  /** The state service shows a claim with this holder. */
  holder(claim: string, token: FencingToken, node: string, process: string): void {
    const known = this.present.get(claim);
    if (known?.token === token) return;
    if (known) this.end(claim, 'taken over');
    const period = { claim, token, node, process, from: this.timeOfDay(), to: null, ended: null };
    this.present.set(claim, period);
    this.tell({ _tag: 'holderChanged', period });
  }

  /** The claim has no holder any more, or another one. */
  end(claim: string, reason: string): void {
    const known = this.present.get(claim);
    if (!known) return;
    this.present.delete(claim);
    const period = { ...known, to: this.timeOfDay(), ended: reason };
    this.ended.push(period);
    keepLast(this.ended, KEPT_PERIODS);
    this.tell({ _tag: 'holderEnded', period });
  }

  refuse(refusal: Omit<Refusal, 'at'>): void {
    const entry = { ...refusal, at: this.timeOfDay() };
    this.refusalCount += 1;
    this.refusals.push(entry);
    keepLast(this.refusals, KEPT_REFUSALS);
    this.tell({ _tag: 'refused', refusal: entry });
  }

  /** Who holds what now, and who did before, the latest last. */
  periods(claim: string): readonly HoldingPeriod[] {
    const now = this.present.get(claim);
    return [...this.ended.filter((period) => period.claim === claim), ...(now ? [now] : [])];
  }

  refused(duty?: DutyName): readonly Refusal[] {
    return this.refusals.filter((refusal) => duty === undefined || refusal.duty === duty);
  }
}
