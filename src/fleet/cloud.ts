/**
 * Client of the cloud's API: catalog, machine list, provisioning and release. It limits its requests to this
 * controller's part of the request rate. `src/fleet/cloud-codec.ts` has the wire format. The parts of the
 * leader use the client; every controller reads the catalog through it.
 */
import type { Permit } from '@dalegate/fencing';
import * as Effect from 'effect/Effect';
import { CLOUD_RATE_FRACTION, CLOUD_REQUEST_TIMEOUT_MS, CLOUD_SOCKETS } from '../constants/fleet.js';
import type { CallOutcome, HttpClient, HttpClientFactory, Target } from '../http/model.js';
import { RateLimiter } from '../kv-store/rate-limiter.js';
import { log } from '../log.js';
import {
  machinePagePath,
  readCatalog,
  readMachinePage,
  readProvisioningResult,
  readReleased,
  writeProvisioningRequest,
  writeReleaseRequest,
} from './cloud-codec.js';
import type {
  CatalogResult,
  MachinePageResult,
  ProvisioningRequest,
  ProvisioningResult,
} from './cloud-model.js';

/** The cloud's own response to a request above its rate: the request was not carried out. */
const RATE_EXCEEDED: CallOutcome = { _tag: 'response', status: 429, body: null };

/** State: the connections and the remaining request rate. */
export class Cloud {
  private readonly client: HttpClient;
  private readonly rateLimiter: RateLimiter;

  /** `rps`: requests per second that the cloud allows for all controllers together; `now`: returns ms. */
  constructor(
    target: Target,
    rps: number,
    controllers: number,
    now: () => number,
    createHttpClient: HttpClientFactory,
  ) {
    this.client = createHttpClient(target, CLOUD_SOCKETS);
    // Only the leader sends requests regularly; the other controllers only read the catalog at startup.
    const ownRps = rps * (controllers > 1 ? CLOUD_RATE_FRACTION : 1);
    this.rateLimiter = new RateLimiter(ownRps, 0, CLOUD_REQUEST_TIMEOUT_MS, now);
  }

  /** Reads the machine types that the cloud offers. */
  readonly catalog: Effect.Effect<CatalogResult> = Effect.promise(async () =>
    readCatalog(await this.read('/catalog')),
  );

  /** Reads the page of the machine list that follows the machine `after`; null: the first page. */
  listMachines(after: string | null): Effect.Effect<MachinePageResult> {
    return Effect.promise(async () => readMachinePage(await this.read(machinePagePath(after))));
  }

  /**
   * Provisions machines. If a request of the same name was carried out before, the cloud provisions nothing
   * and returns the outcome of that request.
   */
  provision(request: ProvisioningRequest, permit: Permit): Effect.Effect<ProvisioningResult> {
    return Effect.promise(async () =>
      readProvisioningResult(
        await this.sendWithPermit('/machines', writeProvisioningRequest(request), permit),
      ),
    );
  }

  /** Releases machines; returns whether the cloud confirmed that they and all processes on them are gone. */
  release(machines: readonly string[], permit: Permit): Effect.Effect<boolean> {
    return Effect.promise(async () =>
      readReleased(await this.sendWithPermit('/machines/release', writeReleaseRequest(machines), permit)),
    );
  }

  private async read(path: string): Promise<CallOutcome> {
    if (!(await this.rateLimiter.take(1, 'user'))) return RATE_EXCEEDED;
    return this.client.request('GET', path, undefined, CLOUD_REQUEST_TIMEOUT_MS);
  }

  /** Sends a request that has an effect. The permit is checked again immediately before the first byte. */
  private async sendWithPermit(path: string, body: unknown, permit: Permit): Promise<CallOutcome> {
    const { duty, token } = permit;
    const withinRate = await this.rateLimiter.take(1, 'user');
    log.debug({ event: 'cloud.rate_answered', path, duty, token, granted: withinRate });
    if (!withinRate) return RATE_EXCEEDED;
    return this.client.request('POST', path, body, CLOUD_REQUEST_TIMEOUT_MS, () => {
      const granted = permit.mayProceed();
      log.debug({ event: 'cloud.permit_checked', path, duty, token, granted });
      return granted;
    });
  }
}
