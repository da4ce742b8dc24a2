/** What the administration API tells of the duties of one controller, before it is encoded. Pure. */
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

/** One duty on one claim, as an operator reads it. */
export interface DutyReport {
  readonly duty: DutyName;
  readonly claim: string;
  readonly state: DutyState['_tag'];
  /** Effects of this process that are under way. */
  readonly open: number;
  /** Null: nobody holds the claim. */
  readonly holder: HoldingPeriod | null;
  readonly history: readonly HoldingPeriod[];
  readonly effects: readonly EffectDefinition[];
  readonly refused: readonly Refusal[];
}

/** A machine that the holder of its shard wants released, which is a durable intent. */
export interface ReleaseIntent {
  readonly machine: string;
  readonly shardId: number;
  /** Null: written by a version that gives no reasons. */
  readonly reason: string | null;
  /** Null: written by a version that gives no tokens. */
  readonly token: number | null;
}

/** All duties of one controller with its open intents, as an operator reads them. */
export interface DutiesReport {
  readonly node: string;
  readonly duties: readonly DutyReport[];
  /** Provisioning requests, as the state service holds them; null: it does not answer. */
  readonly provisioning: Pick<ProvisioningRecord, 'open' | 'settled' | 'malformed'> | null;
  readonly releaseIntents: readonly ReleaseIntent[];
  readonly refusedSinceStart: number;
}

/** Reports on a duty with what the audit lists for it. */
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
