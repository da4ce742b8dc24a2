/**
 * The answers of the administration API. The command line and operators' programs read them, so the names of
 * the fields and their order must not change.
 */
import type {
  DutyState,
  EffectDefinition,
  HoldingPeriod,
  Refusal,
  ProvisioningIntent,
  SettledProvisioning,
} from '@dalegate/fencing';
import type { DutiesReport, DutyReport, ReleaseIntent } from './duties-report.js';

/** A period in which one process held a claim. */
export interface WireHoldingPeriod {
  readonly claim: string;
  readonly token: number;
  readonly node: string;
  readonly process: string;
  /** ms since the epoch. */
  readonly from: number;
  /** ms since the epoch; null while the process holds the claim. */
  readonly to: number | null;
  readonly ended: string | null;
}

/** An effect of a duty, and how a late one is made harmless. */
export interface WireEffect {
  readonly name: string;
  readonly fence: string;
  readonly late: string;
}

/** An effect that was not carried out. */
export interface WireRefusal {
  readonly duty: string;
  readonly claim: string;
  readonly effect: string;
  readonly token: number;
  readonly reason: string;
  /** ms since the epoch. */
  readonly at: number;
}

/** One duty on one claim. */
export interface WireDuty {
  readonly duty: string;
  readonly claim: string;
  readonly state: string;
  /** Number of effects of the answering process that are in flight. */
  readonly open: number;
  readonly holder: WireHoldingPeriod | null;
  readonly history: readonly WireHoldingPeriod[];
  readonly effects: readonly WireEffect[];
  readonly refused: readonly WireRefusal[];
}

/** A provisioning request that was announced and has no outcome yet. */
export interface WireOpenRequest {
  readonly name: string;
  readonly machineType: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly shares: readonly number[];
  /** ms since the epoch. */
  readonly at: number;
}

/** A provisioning request that has an outcome. */
export interface WireSettledRequest {
  readonly name: string;
  readonly outcome: string;
  readonly machines: number;
  /** ms since the epoch. */
  readonly at: number;
}

/** A machine that is to be released. */
export interface WireReleaseIntent {
  readonly machine: string;
  readonly share: number;
  readonly reason: string | null;
  readonly token: number | null;
}

/** The answer to `GET /admin/v1/duties/NAME`. */
export interface WireDuties {
  readonly node: string;
  readonly duties: readonly WireDuty[];
}

/** The answer to `GET /admin/v1/duties`. */
export interface WireDutiesOverview extends WireDuties {
  /** Null, like the next two fields, if the key-value store does not answer. */
  readonly openRentals: readonly WireOpenRequest[] | null;
  readonly settledRentals: readonly WireSettledRequest[] | null;
  /** The malformed entries as they are stored. */
  readonly malformedIntents: readonly unknown[] | null;
  readonly releaseIntents: readonly WireReleaseIntent[];
  readonly refusedSinceStart: number;
}

const STATES: Readonly<Record<DutyState['_tag'], string>> = {
  idle: 'idle',
  acquiring: 'acquiring',
  held: 'held',
  draining: 'draining',
  lost: 'lost',
};

const writeHoldingPeriod = (period: HoldingPeriod): WireHoldingPeriod => ({
  claim: period.claim,
  token: period.token,
  node: period.node,
  process: period.process,
  from: period.from,
  to: period.to,
  ended: period.ended,
});

const writeEffect = (effect: EffectDefinition): WireEffect => ({
  name: effect.name,
  fence: effect.fence,
  late: effect.late,
});

const writeRefusal = (refusal: Refusal): WireRefusal => ({
  duty: refusal.duty,
  claim: refusal.claim,
  effect: refusal.effect,
  token: refusal.token,
  reason: refusal.reason,
  at: refusal.at,
});

const writeOpenRequest = (intent: ProvisioningIntent): WireOpenRequest => ({
  name: intent.name,
  machineType: intent.machineType,
  zone: intent.zone,
  spot: intent.spot,
  shares: intent.shardIds,
  at: intent.at,
});

const writeSettledRequest = (request: SettledProvisioning): WireSettledRequest => ({
  name: request.name,
  outcome: request.outcome,
  machines: request.machines,
  at: request.at,
});

const writeReleaseIntent = (intent: ReleaseIntent): WireReleaseIntent => ({
  machine: intent.machine,
  share: intent.shardId,
  reason: intent.reason,
  token: intent.token,
});

const writeDuty = (report: DutyReport): WireDuty => ({
  duty: report.duty,
  claim: report.claim,
  state: STATES[report.state],
  open: report.open,
  holder: report.holder === null ? null : writeHoldingPeriod(report.holder),
  history: report.history.map(writeHoldingPeriod),
  effects: report.effects.map(writeEffect),
  refused: report.refused.map(writeRefusal),
});

/** Writes the answer about one duty. */
export const writeDuties = (node: string, duties: readonly DutyReport[]): WireDuties => ({
  node,
  duties: duties.map(writeDuty),
});

/** Writes the answer about all duties. */
export const writeDutiesOverview = (report: DutiesReport): WireDutiesOverview => ({
  node: report.node,
  duties: report.duties.map(writeDuty),
  openRentals: report.provisioning?.open.map(writeOpenRequest) ?? null,
  settledRentals: report.provisioning?.settled.map(writeSettledRequest) ?? null,
  malformedIntents: report.provisioning?.malformed ?? null,
  releaseIntents: report.releaseIntents.map(writeReleaseIntent),
  refusedSinceStart: report.refusedSinceStart,
});

/** Reads either answer; the one about one duty has no other fields. Throws if the text is not JSON. */
export const readDuties = (text: string): WireDuties & Partial<WireDutiesOverview> =>
  JSON.parse(text) as WireDuties & Partial<WireDutiesOverview>;
