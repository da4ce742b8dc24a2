/** What the leader's scaling plan is made from, and what it consists of. Plain data. */
import type { Catalog } from '../jobs/model.js';
import type { MachineKind } from './machine-record.js';
import type { MachineTransfer, PendingTransfer } from './machine-transfer.js';
import type { Reservation } from './reservation.js';
import type { ShardSummary } from './shard-summary.js';

/** A spare machine goes from one shard to another. */
export interface TransferStep extends MachineTransfer {
  readonly _tag: 'transfer';
  /** Id of the shard that has it. */
  readonly from: number;
}

/** New machines of one kind are asked for. */
export interface ProvisioningStep extends MachineKind {
  readonly _tag: 'provision';
  /** For each machine the shard that it is for. */
  readonly shardIds: readonly number[];
}

/** One step of a scaling plan. */
export type ScalingStep = TransferStep | ProvisioningStep;

/** All that a round's plan depends on. */
export interface ScalingPlanInput {
  readonly summaries: readonly ShardSummary[];
  readonly catalog: Catalog;
  /** Did the cloud lately refuse machines of this kind? */
  readonly isRefused: (type: string, zone: string, spot: boolean) => boolean;
  /** Machines of this kind that are up or booting, in all shards together. */
  readonly machineCount: (type: string, zone: string, spot: boolean) => number;
  /** Those of the last round. */
  readonly reservations: readonly Reservation[];
  /**
   * Shards whose summary doesn't show yet the machines that were provisioned or adopted for them: nothing
   * more is done for them, but what is reserved for them stays reserved.
   */
  readonly outdatedShards: ReadonlySet<number>;
  readonly pendingTransfers: readonly PendingTransfer[];
}

/** What the leader does this round, and the reservations in force after it. */
export interface ScalingPlan {
  /** Transfers in the order in which they were chosen, then one provisioning step a kind. */
  readonly steps: readonly ScalingStep[];
  readonly reservations: readonly Reservation[];
}
