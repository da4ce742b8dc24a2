/** The stored format of machine types in the catalog. The names of the fields and their order are fixed. */
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

/** The value of the catalog's key if the catalog is stored in parts. */
export interface StoredPartCount {
  /** Number of parts. */
  readonly p: number;
}

/** Converts a machine type to its stored format. */
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

/** Converts a machine type from its stored format. */
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
