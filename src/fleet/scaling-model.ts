/** Input and result of the leader's scaling plan. Plain data. */
import type { Catalog } from '../jobs/model.js';
import type { MachineKind } from './machine-record.js';
import type { MachineTransfer, PendingTransfer } from './machine-transfer.js';
import type { Reservation } from './reservation.js';
import type { ShardSummary } from './shard-summary.js';

/** Transfers a spare machine from one shard to another. */
export interface TransferStep extends MachineTransfer {
  readonly _tag: 'transfer';
  /** Id of the shard that has the machine. */
  readonly from: number;
}

/** Requests new machines of one kind. */
export interface ProvisioningStep extends MachineKind {
  readonly _tag: 'provision';
  /** For each new machine, the id of the shard that gets it. */
  readonly shardIds: readonly number[];
}

/** One step of a scaling plan. */
export type ScalingStep = TransferStep | ProvisioningStep;

/** Everything that the plan of one round depends on. */
export interface ScalingPlanInput {
  readonly summaries: readonly ShardSummary[];
  readonly catalog: Catalog;
  /** Whether the cloud recently refused machines of this kind. */
  readonly isRefused: (type: string, zone: string, spot: boolean) => boolean;
  /** Number of machines of this kind in all shards, booting ones included. */
  readonly machineCount: (type: string, zone: string, spot: boolean) => number;
  /** The reservations of the last round. */
  readonly reservations: readonly Reservation[];
  /**
   * Shards whose summaries don't reflect yet the machines that were provisioned or adopted for them. Nothing
   * more is provisioned for these shards, but their reservations remain.
   */
  readonly outdatedShards: ReadonlySet<number>;
  readonly pendingTransfers: readonly PendingTransfer[];
}

/** The steps that the leader takes in a round, and the reservations in force after it. */
export interface ScalingPlan {
  /** Transfers in the order in which they were chosen, then one provisioning step per kind. */
  readonly steps: readonly ScalingStep[];
  readonly reservations: readonly Reservation[];
}
