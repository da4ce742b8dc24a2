/**
 * Client of the cloud's API: catalog, machine list, provisioning and release, within this controller's part
 * of the request rate. Its wire form is `src/fleet/cloud-codec.ts`. Used by the leader's parts, and for the
 * catalog by every controller.
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

/** As the cloud itself answers when its rate is exceeded: not carried out. */
const RATE_EXCEEDED: CallOutcome = { _tag: 'response', status: 429, body: null };

/** State: the connections, and what is left of the request rate. */
export class Cloud {
  private readonly client: HttpClient;
  private readonly rateLimiter: RateLimiter;

  /** `rps`: requests a second that the cloud allows all controllers together; `now` in ms. */
  constructor(
    target: Target,
    rps: number,
    controllers: number,
    now: () => number,
    createHttpClient: HttpClientFactory,
  ) {
    this.client = createHttpClient(target, CLOUD_SOCKETS);
    // Only the leader calls regularly; the others read the catalog at their start.
    const ownRps = rps * (controllers > 1 ? CLOUD_RATE_FRACTION : 1);
    this.rateLimiter = new RateLimiter(ownRps, 0, CLOUD_REQUEST_TIMEOUT_MS, now);
  }

  /** Reads the machine types that there are. */
  readonly catalog: Effect.Effect<CatalogResult> = Effect.promise(async () =>
    readCatalog(await this.read('/catalog')),
  );

  /** Reads the page of the machine list after this machine; null: the first page. */
  listMachines(after: string | null): Effect.Effect<MachinePageResult> {
    return Effect.promise(async () => readMachinePage(await this.read(machinePagePath(after))));
  }

  /**
   * Asks for machines. Sent again under its name, a request is not carried out twice, and tells its outcome.
   */
  provision(request: ProvisioningRequest, permit: Permit): Effect.Effect<ProvisioningResult> {
    return Effect.promise(async () =>
      readProvisioningResult(await this.act('/machines', writeProvisioningRequest(request), permit)),
    );
  }

  /** True: by the time of the answer these machines and all on them are gone. */
  release(machines: readonly string[], permit: Permit): Effect.Effect<boolean> {
    return Effect.promise(async () =>
      readReleased(await this.act('/machines/release', writeReleaseRequest(machines), permit)),
    );
  }

  private async read(path: string): Promise<CallOutcome> {
    if (!(await this.rateLimiter.take(1, 'user'))) return RATE_EXCEEDED;
    return this.client.request('GET', path, undefined, CLOUD_REQUEST_TIMEOUT_MS);
  }

  /** A call with an effect: the right to make it is asked for again as its bytes leave. */
  private async act(path: string, body: unknown, permit: Permit): Promise<CallOutcome> {
    const { duty, token } = permit;
    const inRate = await this.rateLimiter.take(1, 'user');
    log.debug({ event: 'cloud.rate_answered', path, duty, token, granted: inRate });
    if (!inRate) return RATE_EXCEEDED;
    return this.client.request('POST', path, body, CLOUD_REQUEST_TIMEOUT_MS, () => {
      const granted = permit.mayProceed();
      log.debug({ event: 'cloud.permit_checked', path, duty, token, granted });
      return granted;
    });
  }
}
