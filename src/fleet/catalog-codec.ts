/** The stored form of machine types in the catalog; names of the fields and their order are fixed. */
import type { MachineType } from '../jobs/model.js';

/** A stored machine type. */
export interface StoredMachineType {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly cacheGb: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly bootS: number;
  readonly zones: readonly string[];
}

/** What stands in place of a catalog that is stored in parts. */
export interface StoredPartCount {
  readonly p: number;
}

/** Writes a machine type as it is stored. */
export const writeMachineType = (type: MachineType): StoredMachineType => ({
  name: type.name,
  cpus: type.cpus,
  gpus: type.gpus,
  memoryGb: type.memoryGb,
  cacheGb: type.cacheGb,
  price: type.price,
  spotPrice: type.spotPrice,
  bootS: type.bootS,
  zones: type.zones,
});

/** Reads a stored machine type. */
export const readMachineType = (stored: StoredMachineType): MachineType => ({
  name: stored.name,
  cpus: stored.cpus,
  gpus: stored.gpus,
  memoryGb: stored.memoryGb,
  cacheGb: stored.cacheGb,
  price: stored.price,
  spotPrice: stored.spotPrice,
  bootS: stored.bootS,
  zones: stored.zones,
});
