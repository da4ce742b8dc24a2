/** The wire format of requests to the cloud and of its responses. No other module uses the cloud's names. */
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
/** Value of `error` in a response which says that the cloud has no machine of the requested kind. */
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

/** The reason why a request failed; null: it succeeded. */
const failureOf = (answer: CallOutcome): string | null => {
  if (answer._tag === 'noResponse') return answer.why;
  return answer.status === HTTP_OK ? null : `status ${answer.status}`;
};

const bodyOf = (answer: CallOutcome): unknown => (answer._tag === 'response' ? answer.body : null);

/** Reads the response to a catalog request. */
export const readCatalog = (answer: CallOutcome): CatalogResult => {
  const why = failureOf(answer);
  if (why !== null) return { _tag: 'failed', why };
  const { breeds } = bodyOf(answer) as { readonly breeds: readonly WireMachineType[] };
  return { _tag: 'types', types: breeds.map(readMachineType) };
};

/** The path of the machine list page that follows the machine `after`; null: the first page. */
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

/** Reads the response to a provisioning request. */
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

/** Whether the response to a release request confirms that the machines are gone. */
export const readReleased = (answer: CallOutcome): boolean => failureOf(answer) === null;
