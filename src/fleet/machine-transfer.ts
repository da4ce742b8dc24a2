/** Transfers of free machines between shards, which the leader orders. Plain data. */
import type { MachineKind } from './machine-record.js';

/** A free machine, and the shard that the leader assigns it to. */
export interface MachineTransfer {
  readonly machine: string;
  /** Id of the receiving shard. */
  readonly to: number;
}

/** A transfer that was ordered, but that the summary of the receiving shard does not reflect yet. */
export type PendingTransfer = MachineTransfer & MachineKind;
