/** Transfers of free machines between shards, as the leader orders them. Plain data. */
import type { MachineKind } from './machine-record.js';

/** A free machine that the leader wants in another shard. */
export interface MachineTransfer {
  readonly machine: string;
  /** Id of the shard. */
  readonly to: number;
}

/** A transfer that was ordered and that the summary of the receiving shard does not show yet. */
export type PendingTransfer = MachineTransfer & MachineKind;
