import {
  DUTY_DEFINITIONS,
  DUTY_NAMES,
  parseDutyName,
  type Duty,
  type DutyName,
  type DutyState,
  type EffectDefinition,
  type HoldingPeriod,
  type Refusal,
  type ProvisioningRecord,
} from '@dalegate/fencing';
import type { ServerRequest, ServerResponse } from '../http.js';
import type { AdminAccess } from '../settings/networks.js';
import { writeDuties, writeDutiesOverview } from './admin-codec.js';
import type { DutyRegistry } from './duty-registry.js';

/** What the endpoint needs of its controller. */
export interface DutiesApiDependencies {
  readonly node: string;
  readonly registry: DutyRegistry;
  readonly access: AdminAccess;
  /** This node has read the claims. */
  readonly ready: () => boolean;
  readonly releaseIntents: () => readonly ReleaseIntentView[];
  /** Open rental requests, as the state service holds them; null: it does not answer. */
  readonly loadProvisioningRecord: () => Promise<ProvisioningRecord | null>;
}

/** One duty on one claim, as an operator reads it. */
export interface DutyView {
  readonly duty: DutyName;
  readonly claim: string;
  readonly state: DutyState['_tag'];
  /** Effects of this process that are under way. */
  readonly open: number;
  readonly holder: HoldingPeriod | null;
  readonly history: readonly HoldingPeriod[];
  readonly effects: readonly EffectDefinition[];
  readonly refused: readonly Refusal[];
}

/** A machine that the holder of its share wants released, which is a durable intent. */
export interface ReleaseIntentView {
  readonly machine: string;
  readonly shardId: number;
  /** Null: written by a version that gives no reasons. */
  readonly reason: string | null;
  readonly token: number | null;
}

/** All duties of one controller with its open intents, as an operator reads them. */
export interface DutiesView {
  readonly node: string;
  readonly duties: readonly DutyView[];
  readonly openRentals: ProvisioningRecord['open'] | null;
  readonly settledRentals: ProvisioningRecord['settled'] | null;
  readonly malformedIntents: ProvisioningRecord['malformed'] | null;
  readonly releaseIntents: readonly ReleaseIntentView[];
  readonly refusedSinceStart: number;
}

const json = (status: number, body: unknown): ServerResponse => ({
  status,
  text: `${JSON.stringify(body)}\n`,
  headers: { 'content-type': 'application/json' },
});

/** Reads duties, holders and open intents; changes nothing. */
export class DutiesApi {
  constructor(private readonly input: DutiesApiDependencies) {}

  async handle(call: ServerRequest, path: readonly string[]): Promise<ServerResponse> {
    if (!this.input.access.allows(call.remoteAddress))
      return json(403, { error: 'the administration API is not open to this address' });
    if (call.method !== 'GET') return { ...json(405, { error: 'read only' }), headers: { allow: 'GET' } };
    if (!this.input.ready()) return json(503, { error: 'this controller has not read the claims yet' });
    const [name, ...rest] = path;
    if (name === undefined) return json(200, writeDutiesOverview(await this.overview()));
    const duty = rest.length === 0 ? parseDutyName(name) : null;
    if (duty === null)
      return json(404, { error: `no duty is called "${path.join('/')}"`, duties: DUTY_NAMES });
    const named = this.input.registry.all().filter((entry) => entry.name === duty);
    const views = named.map((entry) => this.view(entry));
    return json(200, writeDuties(this.input.node, views));
  }

  private async overview(): Promise<DutiesView> {
    const { registry } = this.input;
    const rentals = await this.input.loadProvisioningRecord();
    return {
      node: this.input.node,
      duties: registry.all().map((duty) => this.view(duty)),
      openRentals: rentals?.open ?? null,
      settledRentals: rentals?.settled ?? null,
      malformedIntents: rentals?.malformed ?? null,
      releaseIntents: this.input.releaseIntents(),
      refusedSinceStart: registry.audit.refusalCount,
    };
  }

  private view(duty: Duty): DutyView {
    const { audit } = this.input.registry;
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
  }
}
