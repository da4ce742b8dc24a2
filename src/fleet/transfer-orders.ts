/**
 * Orders the transfers of spare machines that the scaling plan wants, and remembers them until they show.
 * Used by the leader, each round.
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

/** Sends an order to the holder of the shard that has the machines. */
export type SendTransferOrder = (
  from: number,
  transfers: readonly MachineTransfer[],
  permit: Permit,
) => Effect.Effect<unknown>;

/** What ordering transfers needs of the leader. */
export interface TransferOrdersDependencies extends Pick<FleetDependencies, 'cache' | 'now'> {
  readonly duty: Duty;
  readonly machines: MachineIndex;
  readonly send: SendTransferOrder;
}

interface OrderedTransfer {
  readonly transfer: PendingTransfer;
  /** ms, by the steady clock. */
  readonly orderedAt: number;
}

/**
 * State: transfers that were ordered and don't show yet. Until the summary of the new shard shows such a
 * machine, no summary does, and a job that it was gathered for would be planned for in another zone.
 */
export class TransferOrders {
  private readonly ordered = new Map<string, OrderedTransfer>();

  constructor(private readonly input: TransferOrdersDependencies) {}

  /** Transfers that don't show yet. */
  pending(): readonly PendingTransfer[] {
    return [...this.ordered.values()].map(({ transfer }) => transfer);
  }

  /** Forgets transfers that the new shard's summary shows, and those that took too long. */
  removeCompleted(summaries: readonly ShardSummary[]): void {
    const now = this.input.now();
    for (const [machine, { transfer, orderedAt }] of this.ordered) {
      const expired = now - orderedAt > TRANSFER_CONFIRMATION_TIMEOUT_MS;
      if (expired || this.hasArrived(transfer, summaries)) this.ordered.delete(machine);
    }
  }

  private hasArrived({ machine, to }: PendingTransfer, summaries: readonly ShardSummary[]): boolean {
    const entry = this.input.cache.get(machineKey(machine));
    const shown = summaries.find(({ shardId }) => shardId === to)?.revision ?? 0;
    return entry !== undefined && this.input.machines.get(machine)?.shardId === to && shown >= entry.version;
  }

  /** Sends the orders, all shards at once. */
  order(steps: readonly TransferStep[]): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      if (steps.length === 0) return;
      const bySource = this.remember(steps);
      const permit = this.input.duty.begin('order to the holder of a share');
      if (permit === null) return;
      yield* Effect.forEach(bySource, ([from, transfers]) => this.input.send(from, transfers, permit), {
        concurrency: 'unbounded',
        discard: true,
      });
      permit.end();
    });
  }

  /** The transfers by the shard that has the machines. */
  private remember(steps: readonly TransferStep[]): ReadonlyMap<number, readonly MachineTransfer[]> {
    const orderedAt = this.input.now();
    const bySource = new Map<number, MachineTransfer[]>();
    for (const { from, machine, to } of steps) {
      const transfers = bySource.get(from) ?? [];
      bySource.set(from, transfers);
      transfers.push({ machine, to });
      const record = this.input.machines.get(machine);
      if (!record) continue;
      const { type, zone, spot } = record;
      this.ordered.set(machine, { transfer: { machine, to, type, zone, spot }, orderedAt });
    }
    return bySource;
  }
}
