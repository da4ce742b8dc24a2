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
export interface MachineLifecycleInput {
  readonly shardId: number;
  readonly store: KeyValueStore;
  readonly shardState: ShardState;
  readonly liveness: MachineLiveness;
  readonly sessions: WorkerSessions;
  readonly records: MachineRecordWriter;
  readonly now: () => number;
  /** The share has been rebuilt, so it may place work and give machines away. */
  readonly placing: () => boolean;
  /** The share's claim is no longer held by this process. */
  readonly lost: () => boolean;
  /** Returns machines to the cloud at once, without a record of it; true: they are gone. */
  readonly releaseNow: (machines: readonly string[]) => Promise<boolean>;
}

/** What becomes of a share's machines: leases that run out, returns to the cloud, moves to other shares. */
export class MachineLifecycle {
  private watchedAt = 0;
  private returnAskedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly input: MachineLifecycleInput) {}

  watch(): void {
    const now = this.input.now();
    if (now - this.watchedAt < MACHINE_CHECK_INTERVAL_MS) return;
    this.watchedAt = now;
    for (const machine of this.input.liveness.watch()) {
      log.info({ event: 'machine.lease_over', machine: machine.id, tasks: machine.bound.size });
      for (const binding of [...machine.bound.values()])
        this.input.shardState.apply(binding, { _tag: 'lost', how: { _tag: 'leaseOver' } });
    }
    const overdue = this.input.liveness.overdue(this.input.shardState.jobs.values());
    this.releaseNow(overdue.map((machine) => machine.id));
    const release = [
      ...overdue
        .filter((machine) => !machine.releasing)
        .map((machine) => ({ machine, why: 'cancelled and not gone' })),
      ...this.input.liveness
        .toRelease(this.input.placing())
        .filter(({ machine }) => !overdue.includes(machine)),
    ];
    const raise = [...this.input.shardState.machines.values()].filter(
      (machine) => machine.raiseToken && !machine.releasing,
    );
    for (const machine of raise) machine.raiseToken = false;
    const records = [
      ...raise.map((machine): MachineAssignment => ({ machine, shardId: this.input.shardId })),
      ...release
        .filter(({ machine }) => !raise.includes(machine))
        .map(({ machine, why }): MachineAssignment => {
          log.info({ event: 'machine.release_wanted', machine: machine.id, why });
          return { machine, shardId: this.input.shardId, release: why };
        }),
    ];
    while (records.length > 0)
      void this.input.records.assign(
        records.splice(0, this.input.store.batchWrites),
        raise.length > 0 ? 'bind' : 'work',
      );
  }

  /**
   * While the state service can't be written, the leader is asked directly; twice is no harm, nor is too
   * early.
   */
  private releaseNow(machines: readonly string[]): void {
    const now = this.input.now();
    if (machines.length === 0 || now - this.returnAskedAt < URGENT_RETURN_INTERVAL_MS) return;
    this.returnAskedAt = now;
    // The request may be carried out late, whatever its answer: nothing new goes there from now on.
    for (const id of machines) {
      const machine = this.input.shardState.machines.get(id);
      if (machine) machine.cordoned = true;
    }
    void this.input.releaseNow(machines).then((returned) => {
      if (this.input.lost() || !returned) return;
      for (const id of machines) {
        const machine = this.input.shardState.machines.get(id);
        for (const binding of [...(machine?.bound.values() ?? [])])
          this.input.shardState.apply(binding, { _tag: 'lost', how: { _tag: 'released' } });
      }
    });
  }

  /**
   * Free for another share: nothing on it but exits that are settled, which any holder may have forgotten.
   */
  movable(machine: ShardMachine): boolean {
    return (
      !machine.releasing &&
      !machine.cordoned &&
      !machine.raiseToken &&
      this.input.liveness.idle(machine) &&
      machine.unacknowledgedRuns.size === 0 &&
      machine.noticeAt === null &&
      machine.health._tag === 'fine' &&
      machine.reported.every((task) =>
        this.input.sessions.settled(bindingKey(task.job, task.index, task.attempt), task.job, task.index),
      )
    );
  }

  /** Moves free machines to other shares. Their new assignment raises the token beyond all that we sent. */
  async transferMachines(moves: readonly MachineTransfer[]): Promise<boolean> {
    if (!this.input.placing()) return false;
    const records = moves.flatMap(({ machine: id, to }) => {
      const machine = this.input.shardState.machines.get(id);
      return machine && this.movable(machine) ? [{ machine, shardId: to }] : [];
    });
    if (records.length === 0) return false;
    log.info({
      event: 'machine.move',
      from: this.input.shardId,
      moves: records.map(({ machine, shardId }) => `${machine.id}>${shardId}`),
    });
    const batches: Promise<boolean>[] = [];
    while (records.length > 0)
      batches.push(this.input.records.assign(records.splice(0, this.input.store.batchWrites), 'bind'));
    return (await Promise.all(batches)).some(Boolean);
  }
}
