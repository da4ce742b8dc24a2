/**
 * The audit of a process's duties: which process held which claim in which period, and which effects were
 * refused.
 *
 * State: {@link DutyAudit} owns bounded lists of holding periods and refused effects, for the administration
 * API; no decision depends on them. `Duty` and the verifier of received orders record refusals; the component
 * that follows the claims in the key-value store records holders. The audit also passes each entry to the
 * listener given to its constructor, which logs the entry.
 */
import type { DutyName } from './duty-definitions.js';
import type { FencingToken } from './token.js';

/** Maximum number of ended holding periods that are kept, over all claims. */
const MAX_ENDED_PERIODS = 128;
/** Maximum number of refused effects that are kept. */
const MAX_REFUSALS = 128;

/** A period in which one process held a claim, as observed in the key-value store. */
export interface HoldingPeriod {
  readonly claim: string;
  readonly token: FencingToken;
  readonly node: string;
  readonly process: string;
  /** When this process observed the holder, in ms since the epoch. */
  readonly from: number;
  /** When the period ended, in ms since the epoch; null if it has not ended. */
  readonly to: number | null;
  /** Why the period ended; null if it has not ended. */
  readonly ended: string | null;
}

/** Why an effect was refused. */
export type RefusalReason =
  /** The lease behind the claim may have expired. */
  | 'lease in doubt'
  /** Another process holds the claim, or no process does. */
  | 'claim lost'
  /** This process holds the duty again, under a later token than that of the effect. */
  | 'later token held'
  /** An order from another process carried a token below the highest one seen for the claim. */
  | 'stale order';

/**
 * An effect whose token, or the lease behind it, was no longer valid. It was not carried out, unless fencing
 * is off for the duty.
 */
export interface Refusal {
  readonly duty: DutyName;
  readonly claim: string;
  readonly effect: string;
  readonly token: FencingToken;
  readonly reason: RefusalReason;
  /** When the effect was refused, in ms since the epoch. */
  readonly at: number;
}

/** An entry of the audit, as the listener receives it. */
export type AuditEvent =
  | { readonly _tag: 'holderChanged'; readonly period: HoldingPeriod }
  | { readonly _tag: 'holderEnded'; readonly period: HoldingPeriod }
  | { readonly _tag: 'refused'; readonly refusal: Refusal };

const dropOldest = (list: unknown[], maxLength: number): void => {
  if (list.length > maxLength) list.splice(0, list.length - maxLength);
};

/** A bounded record of the holders of each claim, why their periods ended, and the refused effects. */
export class DutyAudit {
  private readonly endedPeriods: HoldingPeriod[] = [];
  private readonly currentPeriods = new Map<string, HoldingPeriod>();
  private readonly refusals: Refusal[] = [];
  private refusedSinceStart = 0;

  constructor(
    /** The wall clock, in ms since the epoch. */
    private readonly timeOfDay: () => number,
    private readonly onEvent: (event: AuditEvent) => void = () => undefined,
  ) {}

  /** The number of refusals since the start, including those that are no longer kept. */
  get refusalCount(): number {
    return this.refusedSinceStart;
  }

  /** Records the holder of a claim in the key-value store; does nothing if this token is already recorded. */
  recordHolder(claim: string, token: FencingToken, node: string, process: string): void {
    const current = this.currentPeriods.get(claim);
    if (current?.token === token) return;
    if (current) this.recordHolderEnd(claim, 'taken over');
    const period = { claim, token, node, process, from: this.timeOfDay(), to: null, ended: null };
    this.currentPeriods.set(claim, period);
    this.onEvent({ _tag: 'holderChanged', period });
  }

  /** Ends the current period of a claim, if there is one: its holder lost the claim. */
  recordHolderEnd(claim: string, reason: string): void {
    const current = this.currentPeriods.get(claim);
    if (!current) return;
    this.currentPeriods.delete(claim);
    const period = { ...current, to: this.timeOfDay(), ended: reason };
    this.endedPeriods.push(period);
    dropOldest(this.endedPeriods, MAX_ENDED_PERIODS);
    this.onEvent({ _tag: 'holderEnded', period });
  }

  /** Records an effect that was refused at the current time. */
  recordRefusal(refusal: Omit<Refusal, 'at'>): void {
    const entry = { ...refusal, at: this.timeOfDay() };
    this.refusedSinceStart += 1;
    this.refusals.push(entry);
    dropOldest(this.refusals, MAX_REFUSALS);
    this.onEvent({ _tag: 'refused', refusal: entry });
  }

  /** Returns the periods of a claim that are kept, the oldest first; the current one, if any, is the last. */
  listPeriods(claim: string): readonly HoldingPeriod[] {
    const current = this.currentPeriods.get(claim);
    const ended = this.endedPeriods.filter((period) => period.claim === claim);
    return current === undefined ? ended : [...ended, current];
  }

  /** Returns the refused effects that are kept, of one duty or of all duties, the oldest first. */
  listRefusals(duty?: DutyName): readonly Refusal[] {
    return this.refusals.filter((refusal) => duty === undefined || refusal.duty === duty);
  }
}
