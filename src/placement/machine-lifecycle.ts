import { URGENT_RETURN_INTERVAL_MS } from '../constants/cancellation.js';
import { MACHINE_CHECK_INTERVAL_MS } from '../constants/machines.js';
import type { MachineTransfer } from '../fleet/records.js';
import { log } from '../log.js';
import type { KeyValueStore } from '../kv-store/client.js';
import type { MachineLiveness } from './machine-liveness.js';
import type { ShardState } from './shard-state.js';
import { bindingKey, type ShardMachine } from './shard-model.js';
import type { WorkerSessions } from './worker-sessions.js';
import type { MachineAssignment, MachineRecordWriter } from './machine-record-writer.js';

/** What the machine lifecycle needs of its share. */
export interface MachineLifecycleDependencies {
  readonly shardId: number;
  readonly store: KeyValueStore;
  readonly shardState: ShardState;
  readonly liveness: MachineLiveness;
  readonly sessions: WorkerSessions;
  readonly records: MachineRecordWriter;
  readonly now: () => number;
  /** The share has been rebuilt, so it may place work and give machines away. */
  readonly isPlacing: () => boolean;
  /** The share's claim is no longer held by this process. */
  readonly isLost: () => boolean;
  /** Returns machines to the cloud at once, without a record of it; true: they are gone. */
  readonly releaseNow: (machines: readonly string[]) => Promise<boolean>;
}

/** What becomes of a share's machines: leases that run out, returns to the cloud, moves to other shares. */
export class MachineLifecycle {
  private checkedAt = 0;
  private urgentReleaseAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly dependencies: MachineLifecycleDependencies) {}

  check(): void {
    const now = this.dependencies.now();
    if (now - this.checkedAt < MACHINE_CHECK_INTERVAL_MS) return;
    this.checkedAt = now;
    for (const machine of this.dependencies.liveness.updateAndFindExpired()) {
      log.info({ event: 'machine.lease_expired', machine: machine.id, tasks: machine.bound.size });
      for (const binding of [...machine.bound.values()])
        this.dependencies.shardState.apply(binding, { _tag: 'lost', how: { _tag: 'leaseOver' } });
    }
    const overdue = this.dependencies.liveness.machinesWithOverdueCancellations(
      this.dependencies.shardState.jobs.values(),
    );
    this.releaseNow(overdue.map((machine) => machine.id));
    const release = [
      ...overdue
        .filter((machine) => !machine.releasing)
        .map((machine) => ({ machine, reason: 'cancelled and not gone' })),
      ...this.dependencies.liveness
        .machinesToRelease(this.dependencies.isPlacing())
        .filter(({ machine }) => !overdue.includes(machine)),
    ];
    const raise = [...this.dependencies.shardState.machines.values()].filter(
      (machine) => machine.raiseToken && !machine.releasing,
    );
    for (const machine of raise) machine.raiseToken = false;
    const records = [
      ...raise.map((machine): MachineAssignment => ({ machine, shardId: this.dependencies.shardId })),
      ...release
        .filter(({ machine }) => !raise.includes(machine))
        .map(({ machine, reason }): MachineAssignment => {
          log.info({ event: 'machine.release_requested', machine: machine.id, why: reason });
          return { machine, shardId: this.dependencies.shardId, releaseReason: reason };
        }),
    ];
    while (records.length > 0)
      void this.dependencies.records.assign(
        records.splice(0, this.dependencies.store.batchWrites),
        raise.length > 0 ? 'bind' : 'work',
      );
  }

  /**
   * While the state service can't be written, the leader is asked directly; twice is no harm, nor is too
   * early.
   */
  private releaseNow(machines: readonly string[]): void {
    const now = this.dependencies.now();
    if (machines.length === 0 || now - this.urgentReleaseAt < URGENT_RETURN_INTERVAL_MS) return;
    this.urgentReleaseAt = now;
    // The request may be carried out late, whatever its answer: nothing new goes there from now on.
    for (const id of machines) {
      const machine = this.dependencies.shardState.machines.get(id);
      if (machine) machine.cordoned = true;
    }
    void this.dependencies.releaseNow(machines).then((returned) => {
      if (this.dependencies.isLost() || !returned) return;
      for (const id of machines) {
        const machine = this.dependencies.shardState.machines.get(id);
        for (const binding of [...(machine?.bound.values() ?? [])])
          this.dependencies.shardState.apply(binding, { _tag: 'lost', how: { _tag: 'released' } });
      }
    });
  }

  /**
   * Free for another share: nothing on it but exits that are settled, which any holder may have forgotten.
   */
  isTransferable(machine: ShardMachine): boolean {
    return (
      !machine.releasing &&
      !machine.cordoned &&
      !machine.raiseToken &&
      this.dependencies.liveness.isIdle(machine) &&
      machine.unacknowledgedRuns.size === 0 &&
      machine.reclaimNoticeAt === null &&
      machine.health._tag === 'healthy' &&
      machine.reportedTasks.every((task) =>
        this.dependencies.sessions.isDurablyUnbound(
          bindingKey(task.job, task.index, task.attempt),
          task.job,
          task.index,
        ),
      )
    );
  }

  /** Moves free machines to other shares. Their new assignment raises the token beyond all that we sent. */
  async transferMachines(moves: readonly MachineTransfer[]): Promise<boolean> {
    if (!this.dependencies.isPlacing()) return false;
    const records = moves.flatMap(({ machine: id, to }) => {
      const machine = this.dependencies.shardState.machines.get(id);
      return machine && this.isTransferable(machine) ? [{ machine, shardId: to }] : [];
    });
    if (records.length === 0) return false;
    log.info({
      event: 'machine.transfer_started',
      from: this.dependencies.shardId,
      moves: records.map(({ machine, shardId }) => `${machine.id}>${shardId}`),
    });
    const batches: Promise<boolean>[] = [];
    while (records.length > 0)
      batches.push(
        this.dependencies.records.assign(records.splice(0, this.dependencies.store.batchWrites), 'bind'),
      );
    return (await Promise.all(batches)).some(Boolean);
  }
}
