/** Requests to the cloud and their results, in the terms of this service. Plain data. */
import type { MachineType } from '../jobs/model.js';
import type { MachineKind } from './machine-record.js';

/** A machine in the cloud's list. */
export interface ListedMachine extends MachineKind {
  readonly id: string;
  /** Time since the machine was provisioned, in s. */
  readonly ageS: number;
}

/** The result of reading the catalog. */
export type CatalogResult =
  | { readonly _tag: 'types'; readonly types: readonly MachineType[] }
  | { readonly _tag: 'failed'; readonly why: string };

/** The result of a provisioning request. */
export type ProvisioningResult =
  /** The cloud provisioned machines, possibly fewer than requested. */
  | { readonly _tag: 'rented'; readonly machines: readonly string[] }
  | { readonly _tag: 'noCapacity' }
  /** The response says that the cloud did not carry out the request. */
  | { readonly _tag: 'refused'; readonly why: string }
  /** The request was not sent: this process lost its permit while the request waited. */
  | { readonly _tag: 'withheld' }
  /** No response: the cloud may have carried out the request, or may still carry it out later. */
  | { readonly _tag: 'unknown'; readonly why: string };

/** The result of reading a page of the machine list. */
export type MachinePageResult =
  | { readonly _tag: 'page'; readonly machines: readonly ListedMachine[]; readonly more: boolean }
  | { readonly _tag: 'failed'; readonly why: string };

/** A request for new machines. The cloud carries out only the first request of each name. */
export interface ProvisioningRequest extends MachineKind {
  readonly name: string;
  readonly count: number;
}
