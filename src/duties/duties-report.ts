/** The report of the administration API about the duties of one controller, before it is encoded. Pure. */
import {
  DUTY_DEFINITIONS,
  type Duty,
  type DutyAudit,
  type DutyName,
  type DutyState,
  type EffectDefinition,
  type HoldingPeriod,
  type ProvisioningRecord,
  type Refusal,
} from '@dalegate/fencing';

/** One duty on one claim, as reported to an operator. */
export interface DutyReport {
  readonly duty: DutyName;
  readonly claim: string;
  readonly state: DutyState['_tag'];
  /** Number of effects of this process that are in flight. */
  readonly open: number;
  /** Null if no process holds the claim. */
  readonly holder: HoldingPeriod | null;
  readonly history: readonly HoldingPeriod[];
  readonly effects: readonly EffectDefinition[];
  readonly refused: readonly Refusal[];
}

/** A durable intent: the holder of a machine's shard requests the release of the machine. */
export interface ReleaseIntent {
  readonly machine: string;
  readonly shardId: number;
  /** Null if the intent was written by a version that records no reasons. */
  readonly reason: string | null;
  /** Null if the intent was written by a version that records no tokens. */
  readonly token: number | null;
}

/** All duties of one controller with its open intents, as reported to an operator. */
export interface DutiesReport {
  readonly node: string;
  readonly duties: readonly DutyReport[];
  /** The provisioning requests in the key-value store; null if it does not answer. */
  readonly provisioning: Pick<ProvisioningRecord, 'open' | 'settled' | 'malformed'> | null;
  readonly releaseIntents: readonly ReleaseIntent[];
  readonly refusedSinceStart: number;
}

/** Returns the report on a duty, with its entries in the audit. */
export const reportDuty = (duty: Duty, audit: DutyAudit): DutyReport => {
  const periods = audit.listPeriods(duty.claim);
  return {
    duty: duty.name,
    claim: duty.claim,
    state: duty.state._tag,
    open: duty.state._tag === 'idle' ? 0 : duty.state.open,
    holder: periods.find((period) => period.to === null) ?? null,
    history: periods.filter((period) => period.to !== null),
    effects: DUTY_DEFINITIONS[duty.name].effects,
    refused: audit.listRefusals(duty.name).filter((refusal) => refusal.claim === duty.claim),
  };
};
