/**
 * Orders the transfers of spare machines in the scaling plan, and keeps them until a summary reflects them.
 * The leader calls it in each round.
 */
import type { Duty, Permit } from '@dalegate/fencing';
import * as Effect from 'effect/Effect';
import { TRANSFER_CONFIRMATION_TIMEOUT_MS } from '../constants/fleet.js';
import { machineKey } from '../kv-store/keys.js';
import type { FleetDependencies } from './dependencies.js';
import type { MachineIndex } from './machine-index.js';
import type { MachineTransfer, PendingTransfer } from './machine-transfer.js';
import type { TransferStep } from './scaling-model.js';
import type { ShardSummary } from './shard-summary.js';

/** Sends a transfer order to the holder of the shard `from`, which has the machines. */
export type SendTransferOrder = (
  from: number,
  transfers: readonly MachineTransfer[],
  permit: Permit,
) => Effect.Effect<unknown>;

/** Dependencies of the transfer orders on the leader. */
export interface TransferOrdersDependencies extends Pick<FleetDependencies, 'cache' | 'now'> {
  readonly duty: Duty;
  readonly machines: MachineIndex;
  readonly send: SendTransferOrder;
}

interface OrderedTransfer {
  readonly transfer: PendingTransfer;
  /** Time of the order, in ms on the steady clock. */
  readonly orderedAt: number;
}

/**
 * State: transfers that were ordered, but that no summary reflects yet. During such a transfer,
 * no summary contains the machine. If the plan did not count the machine, the plan would choose another zone
 * for the job for which the machine was gathered.
 */
export class TransferOrders {
  private readonly orderedTransfers = new Map<string, OrderedTransfer>();

  constructor(private readonly dependencies: TransferOrdersDependencies) {}

  /** Transfers that no summary reflects yet. */
  pending(): readonly PendingTransfer[] {
    return [...this.orderedTransfers.values()].map(({ transfer }) => transfer);
  }

  /** Removes transfers that the receiving shard's summary reflects, and those that have timed out. */
  removeCompleted(summaries: readonly ShardSummary[]): void {
    const now = this.dependencies.now();
    for (const [machine, { transfer, orderedAt }] of this.orderedTransfers) {
      const expired = now - orderedAt > TRANSFER_CONFIRMATION_TIMEOUT_MS;
      if (expired || this.hasArrived(transfer, summaries)) this.orderedTransfers.delete(machine);
    }
  }

  private hasArrived({ machine, to }: PendingTransfer, summaries: readonly ShardSummary[]): boolean {
    const entry = this.dependencies.cache.get(machineKey(machine));
    const summaryRevision = summaries.find(({ shardId }) => shardId === to)?.revision ?? 0;
    return (
      entry !== undefined &&
      this.dependencies.machines.get(machine)?.shardId === to &&
      summaryRevision >= entry.version
    );
  }

  /** Sends the orders to all shards concurrently. */
  order(steps: readonly TransferStep[]): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      if (steps.length === 0) return;
      const bySource = this.recordTransfers(steps);
      const permit = this.dependencies.duty.begin('order to the holder of a share');
      if (permit === null) return;
      yield* Effect.forEach(
        bySource,
        ([from, transfers]) => this.dependencies.send(from, transfers, permit),
        {
          concurrency: 'unbounded',
          discard: true,
        },
      );
      permit.end();
    });
  }

  /** Records the transfers as pending, and returns them by the shard that has the machines. */
  private recordTransfers(steps: readonly TransferStep[]): ReadonlyMap<number, readonly MachineTransfer[]> {
    const orderedAt = this.dependencies.now();
    const bySource = new Map<number, MachineTransfer[]>();
    for (const { from, machine, to } of steps) {
      const transfers = bySource.get(from) ?? [];
      bySource.set(from, transfers);
      transfers.push({ machine, to });
      const record = this.dependencies.machines.get(machine);
      if (!record) continue;
      const { type, zone, spot } = record;
      this.orderedTransfers.set(machine, { transfer: { machine, to, type, zone, spot }, orderedAt });
    }
    return bySource;
  }
}
