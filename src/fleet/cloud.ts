import type { Permit } from '@dalegate/fencing';
import * as Effect from 'effect/Effect';
import {
  CLOUD_RATE_FRACTION,
  CLOUD_REQUEST_TIMEOUT_MS,
  CLOUD_SOCKETS,
  MACHINE_LIST_PAGE_ITEMS,
} from '../constants/fleet.js';
import type { CallOutcome, HttpClient, HttpClientFactory, Target } from '../http.js';
import type { MachineType } from '../jobs/model.js';
import { RateLimiter } from '../kv-store/rate-limiter.js';

/** The cloud's API; its wire words stay here. */
export interface ListedMachine {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly state: 'booting' | 'running' | 'failed';
  readonly ageS: number;
}
/** The answer to a question for the machine types. */
export type CatalogResult =
  | { readonly _tag: 'types'; readonly types: readonly MachineType[] }
  | { readonly _tag: 'failed'; readonly why: string };
/** What became of a rental request. */
export type ProvisioningResult =
  | { readonly _tag: 'rented'; readonly machines: readonly string[] }
  | { readonly _tag: 'noCapacity' }
  /** Not carried out, as far as the answer says. */
  | { readonly _tag: 'refused'; readonly why: string }
  /** Not sent: this process lost the right to send it while it waited. */
  | { readonly _tag: 'withheld' }
  /** May have been carried out, or may be later. */
  | { readonly _tag: 'unknown'; readonly why: string };
/** A page of the machine list. */
export type MachinesResult =
  | { readonly _tag: 'page'; readonly machines: readonly ListedMachine[]; readonly more: boolean }
  | { readonly _tag: 'failed'; readonly why: string };

/** A rental request under its unique name. */
export interface ProvisioningRequest {
  readonly name: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

interface RawType {
  sku: string;
  vcpus: number;
  accelerators: number;
  memoryGb: number;
  localGb: number;
  hourly: number;
  marketPrice: number;
  readyS: number;
  paddocks: string[];
}

/** Reads the machine types of a catalog answer; null: malformed. */
const readTypes = (raw: readonly RawType[]): readonly MachineType[] =>
  raw.map((type): MachineType => ({
    name: type.sku,
    cpus: type.vcpus,
    gpus: type.accelerators,
    memoryGb: type.memoryGb,
    cacheGb: type.localGb,
    price: type.hourly,
    spotPrice: type.marketPrice,
    bootS: type.readyS,
    zones: type.paddocks,
  }));

const readRental = (answer: CallOutcome): ProvisioningResult => {
  if (answer._tag === 'noResponse')
    return answer.sent === false ? { _tag: 'withheld' } : { _tag: 'unknown', why: answer.why };
  const body = answer.body as { drovers?: string[]; error?: string } | null;
  if (answer.status === 200) return { _tag: 'rented', machines: body?.drovers ?? [] };
  if (answer.status === 503 && body?.error === 'no capacity') return { _tag: 'noCapacity' };
  return { _tag: 'refused', why: `status ${answer.status} ${body?.error ?? ''}` };
};

const STATES: Record<string, ListedMachine['state']> = {
  starting: 'booting',
  running: 'running',
  failed: 'failed',
};

/** As the cloud itself would answer: not carried out. */
const OVER_RATE: CallOutcome = { _tag: 'response', status: 429, body: null };

/** Client for the cloud's interface, within this node's part of its rate. */
export class Cloud {
  private readonly client: HttpClient;
  private readonly budget: RateLimiter;
  constructor(
    target: Target,
    rps: number,
    nodes: number,
    now: () => number,
    createHttpClient: HttpClientFactory,
  ) {
    this.client = createHttpClient(target, CLOUD_SOCKETS);
    // Only the leader calls regularly; the others read the catalog at their start.
    this.budget = new RateLimiter(
      rps * (nodes > 1 ? CLOUD_RATE_FRACTION : 1),
      0,
      CLOUD_REQUEST_TIMEOUT_MS,
      now,
    );
  }

  private async read(path: string): Promise<CallOutcome> {
    if (!(await this.budget.take(1, 'user'))) return OVER_RATE;
    return this.client.request('GET', path, undefined, CLOUD_REQUEST_TIMEOUT_MS);
  }

  /** A call with an effect: the right to make it is asked for again as its bytes leave. */
  private async act(path: string, body: unknown, { mayProceed }: Permit): Promise<CallOutcome> {
    if (!(await this.budget.take(1, 'user'))) return OVER_RATE;
    return this.client.request('POST', path, body, CLOUD_REQUEST_TIMEOUT_MS, mayProceed);
  }

  readonly catalog: Effect.Effect<CatalogResult> = Effect.promise(async (): Promise<CatalogResult> => {
    const answer = await this.read('/catalog');
    if (answer._tag === 'noResponse') return { _tag: 'failed', why: answer.why };
    if (answer.status !== 200) return { _tag: 'failed', why: `status ${answer.status}` };
    return { _tag: 'types', types: readTypes((answer.body as { breeds: RawType[] }).breeds) };
  });

  provision(request: ProvisioningRequest, permit: Permit): Effect.Effect<ProvisioningResult> {
    return Effect.promise(async (): Promise<ProvisioningResult> => {
      const body = {
        hire: request.name,
        breed: request.type,
        paddock: request.zone,
        agistment: request.spot,
        howMany: request.count,
      };
      const answer = await this.act('/machines', body, permit);
      return readRental(answer);
    });
  }

  /** True: by the time of the answer these machines and all on them are gone. */
  release(ids: readonly string[], permit: Permit): Effect.Effect<boolean> {
    return Effect.promise(async () => {
      const answer = await this.act('/machines/release', { drovers: ids }, permit);
      return answer._tag === 'response' && answer.status === 200;
    });
  }

  page(after: string | null): Effect.Effect<MachinesResult> {
    return Effect.promise(async (): Promise<MachinesResult> => {
      const answer = await this.read(
        `/machines?most=${MACHINE_LIST_PAGE_ITEMS}${after === null ? '' : `&since=${encodeURIComponent(after)}`}`,
      );
      if (answer._tag === 'noResponse') return { _tag: 'failed', why: answer.why };
      if (answer.status !== 200) return { _tag: 'failed', why: `status ${answer.status}` };
      const body = answer.body as {
        drovers: {
          uid: string;
          breed: string;
          paddock: string;
          agistment: boolean;
          status: string;
          ageS: number;
        }[];
        more: boolean;
      };
      return {
        _tag: 'page',
        more: body.more,
        machines: body.drovers.map((raw) => ({
          id: raw.uid,
          type: raw.breed,
          zone: raw.paddock,
          spot: raw.agistment,
          state: STATES[raw.status] ?? 'running',
          ageS: raw.ageS,
        })),
      };
    });
  }
}
