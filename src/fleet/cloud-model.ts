/** Requests to the cloud and what they return, in the terms of this service. Plain data. */
import type { MachineType } from '../jobs/model.js';
import type { MachineKind } from './machine-record.js';

/** A machine in the cloud's list. */
export interface ListedMachine extends MachineKind {
  readonly id: string;
  /** Time since it was provisioned, in s. */
  readonly ageS: number;
}

/** The outcome of reading the catalog. */
export type CatalogResult =
  | { readonly _tag: 'types'; readonly types: readonly MachineType[] }
  | { readonly _tag: 'failed'; readonly why: string };

/** The outcome of a provisioning request. */
export type ProvisioningResult =
  /** Carried out; there may be fewer machines than asked for. */
  | { readonly _tag: 'rented'; readonly machines: readonly string[] }
  | { readonly _tag: 'noCapacity' }
  /** Not carried out, as far as the answer says. */
  | { readonly _tag: 'refused'; readonly why: string }
  /** Not sent: this process lost the right to send it while it waited. */
  | { readonly _tag: 'withheld' }
  /** May have been carried out, or may be later. */
  | { readonly _tag: 'unknown'; readonly why: string };

/** The outcome of reading a page of the machine list. */
export type MachinePageResult =
  | { readonly _tag: 'page'; readonly machines: readonly ListedMachine[]; readonly more: boolean }
  | { readonly _tag: 'failed'; readonly why: string };

/** A request for new machines; the cloud carries out each name once. */
export interface ProvisioningRequest extends MachineKind {
  readonly name: string;
  readonly count: number;
}
