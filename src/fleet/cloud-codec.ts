/** The wire form of requests to the cloud and of its answers; no other module knows the cloud's words. */
import { MACHINE_LIST_PAGE_ITEMS } from '../constants/fleet.js';
import type { CallOutcome } from '../http/model.js';
import type { MachineType } from '../jobs/model.js';
import type {
  CatalogResult,
  ListedMachine,
  MachinePageResult,
  ProvisioningRequest,
  ProvisioningResult,
} from './cloud-model.js';

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;
/** The `error` of an answer that says that there are no such machines. */
const NO_CAPACITY = 'no capacity';

interface WireMachineType {
  readonly sku: string;
  readonly vcpus: number;
  readonly accelerators: number;
  readonly memoryGb: number;
  readonly localGb: number;
  readonly hourly: number;
  readonly marketPrice: number;
  readonly readyS: number;
  readonly paddocks: readonly string[];
}

interface WireMachine {
  readonly uid: string;
  readonly breed: string;
  readonly paddock: string;
  readonly agistment: boolean;
  readonly ageS: number;
}

const readMachineType = (type: WireMachineType): MachineType => ({
  name: type.sku,
  cpus: type.vcpus,
  gpus: type.accelerators,
  memoryGb: type.memoryGb,
  cacheGb: type.localGb,
  price: type.hourly,
  spotPrice: type.marketPrice,
  bootS: type.readyS,
  zones: type.paddocks,
});

const readMachine = (machine: WireMachine): ListedMachine => ({
  id: machine.uid,
  type: machine.breed,
  zone: machine.paddock,
  spot: machine.agistment,
  ageS: machine.ageS,
});

/** Why an answer can't be read; null: it can. */
const failureOf = (answer: CallOutcome): string | null => {
  if (answer._tag === 'noResponse') return answer.why;
  return answer.status === HTTP_OK ? null : `status ${answer.status}`;
};

const bodyOf = (answer: CallOutcome): unknown => (answer._tag === 'response' ? answer.body : null);

/** Reads the answer to a request for the catalog. */
export const readCatalog = (answer: CallOutcome): CatalogResult => {
  const why = failureOf(answer);
  if (why !== null) return { _tag: 'failed', why };
  const { breeds } = bodyOf(answer) as { readonly breeds: readonly WireMachineType[] };
  return { _tag: 'types', types: breeds.map(readMachineType) };
};

/** The path of a page of the machine list, after this machine; null: the first page. */
export const machinePagePath = (after: string | null): string => {
  const since = after === null ? '' : `&since=${encodeURIComponent(after)}`;
  return `/machines?most=${MACHINE_LIST_PAGE_ITEMS}${since}`;
};

/** Reads a page of the machine list. */
export const readMachinePage = (answer: CallOutcome): MachinePageResult => {
  const why = failureOf(answer);
  if (why !== null) return { _tag: 'failed', why };
  const { drovers, more } = bodyOf(answer) as {
    readonly drovers: readonly WireMachine[];
    readonly more: boolean;
  };
  return { _tag: 'page', machines: drovers.map(readMachine), more };
};

/** Writes the body of a provisioning request. */
export const writeProvisioningRequest = (request: ProvisioningRequest): unknown => ({
  hire: request.name,
  breed: request.type,
  paddock: request.zone,
  agistment: request.spot,
  howMany: request.count,
});

/** Reads the answer to a provisioning request. */
export const readProvisioningResult = (answer: CallOutcome): ProvisioningResult => {
  if (answer._tag === 'noResponse')
    return answer.sent === false ? { _tag: 'withheld' } : { _tag: 'unknown', why: answer.why };
  const body = answer.body as { readonly drovers?: readonly string[]; readonly error?: string } | null;
  if (answer.status === HTTP_OK) return { _tag: 'rented', machines: body?.drovers ?? [] };
  if (answer.status === HTTP_UNAVAILABLE && body?.error === NO_CAPACITY) return { _tag: 'noCapacity' };
  return { _tag: 'refused', why: `status ${answer.status} ${body?.error ?? ''}` };
};

/** Writes the body of a release request. */
export const writeReleaseRequest = (machines: readonly string[]): unknown => ({ drovers: machines });

/** Does the answer to a release request say that the machines are gone? */
export const readReleased = (answer: CallOutcome): boolean => failureOf(answer) === null;
