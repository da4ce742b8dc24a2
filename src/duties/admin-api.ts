/**
 * `GET /admin/v1/duties` and `GET /admin/v1/duties/NAME`: the holder of each duty, open intents, and refused
 * effects. Read only. The controller's router passes it the path below `/admin/v1/duties`.
 */
import { DUTY_NAMES, parseDutyName, type DutyName, type ProvisioningRecord } from '@dalegate/fencing';
import type { ServerRequest, ServerResponse } from '../http/model.js';
import type { AdminAccess } from '../settings/networks.js';
import { writeDuties, writeDutiesOverview } from './admin-codec.js';
import { reportDuty, type DutiesReport, type DutyReport, type ReleaseIntent } from './duties-report.js';
import type { DutyRegistry } from './duty-registry.js';

/** What the endpoint requires of its controller. */
export interface DutiesApiDependencies {
  readonly node: string;
  readonly registry: DutyRegistry;
  readonly access: AdminAccess;
  /** Returns whether this controller has read the claims. */
  readonly ready: () => boolean;
  readonly releaseIntents: () => readonly ReleaseIntent[];
  /** Reads the provisioning requests in the key-value store; null if it does not answer. */
  readonly loadProvisioningRecord: () => Promise<ProvisioningRecord | null>;
}

const jsonResponse = (status: number, body: unknown): ServerResponse => ({
  status,
  text: `${JSON.stringify(body)}\n`,
  headers: { 'content-type': 'application/json' },
});

/** Answers requests for duties, holders and open intents; changes nothing. */
export class DutiesApi {
  constructor(private readonly dependencies: DutiesApiDependencies) {}

  /** Answers a request; `path` holds the segments of the path, and is empty for all duties. */
  async handle(request: ServerRequest, path: readonly string[]): Promise<ServerResponse> {
    const refused = this.refuse(request);
    if (refused !== null) return refused;
    const [name, ...rest] = path;
    if (name === undefined) return jsonResponse(200, writeDutiesOverview(await this.reportAll()));
    const duty = rest.length === 0 ? parseDutyName(name) : null;
    if (duty === null)
      return jsonResponse(404, { error: `no duty is called "${path.join('/')}"`, duties: DUTY_NAMES });
    return jsonResponse(200, writeDuties(this.dependencies.node, this.reportDuties(duty)));
  }

  /** Returns the response to a request that is refused; null if the request may be answered. */
  private refuse(request: ServerRequest): ServerResponse | null {
    if (!this.dependencies.access.allows(request.remoteAddress))
      return jsonResponse(403, { error: 'the administration API is not open to this address' });
    if (request.method !== 'GET')
      return { ...jsonResponse(405, { error: 'read only' }), headers: { allow: 'GET' } };
    if (!this.dependencies.ready())
      return jsonResponse(503, { error: 'this controller has not read the claims yet' });
    return null;
  }

  private async reportAll(): Promise<DutiesReport> {
    const { node, registry } = this.dependencies;
    const provisioning = await this.dependencies.loadProvisioningRecord();
    return {
      node,
      duties: this.reportDuties(),
      provisioning,
      releaseIntents: this.dependencies.releaseIntents(),
      refusedSinceStart: registry.audit.refusalCount,
    };
  }

  /** Reports one duty on each of its claims, or all duties. */
  private reportDuties(name?: DutyName): readonly DutyReport[] {
    const { registry } = this.dependencies;
    return registry
      .list()
      .filter((duty) => name === undefined || duty.name === name)
      .map((duty) => reportDuty(duty, registry.audit));
  }
}
