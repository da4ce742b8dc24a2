/**
 * Handles the expired leases of a shard's machines, their release to the cloud and their transfer to other
 * shards. Owns the times of the last check and of the last urgent release request. `Shard` calls it once a
 * round and when the leader orders a transfer.
 */
import { URGENT_RELEASE_INTERVAL_MS } from '../constants/cancellation.js';
import { MACHINE_CHECK_INTERVAL_MS } from '../constants/machines.js';
import type { MachineTransfer } from '../fleet/machine-transfer.js';
import { log } from '../log.js';
import type { KeyValueStore } from '../kv-store/client.js';
import { hasUnansweredRuns } from './direct-runs.js';
import type { MachineLiveness } from './machine-liveness.js';
import type { MachineReleases, MachineToRelease } from './machine-releases.js';
import type { ShardIdentity, StageQueries, SteadyClock } from './ports.js';
import type { UrgentRelease } from './shard-context.js';
import type { ShardState } from './shard-state.js';
import { bindingKey, type ShardMachine } from './shard-model.js';
import type { WorkerSessions } from './worker-sessions.js';
import type { MachineAssignment, MachineRecordWriter } from './machine-record-writer.js';

/** What the machine lifecycle needs of its shard. */
export interface MachineLifecycleDependencies
  extends
    Pick<ShardIdentity, 'shardId'>,
    SteadyClock,
    Pick<StageQueries, 'isPlacing' | 'isLost'>,
    UrgentRelease {
  readonly store: Pick<KeyValueStore, 'batchWrites'>;
  readonly shardState: ShardState;
  readonly liveness: MachineLiveness;
  readonly releases: MachineReleases;
  readonly sessions: WorkerSessions;
  readonly records: MachineRecordWriter;
}

/** Releases and transfers the machines of one shard. */
export class MachineLifecycle {
  private checkedAt = 0;
  private urgentReleaseAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly dependencies: MachineLifecycleDependencies) {}

  /**
   * Handles expired leases, overdue cancellations, due releases and machines that need a higher token, at
   * most once every `MACHINE_CHECK_INTERVAL_MS`.
   */
  check(): void {
    const { now, liveness, releases, shardState } = this.dependencies;
    const checkedAt = now();
    if (checkedAt - this.checkedAt < MACHINE_CHECK_INTERVAL_MS) return;
    this.checkedAt = checkedAt;
    for (const machine of liveness.updateAndFindExpired()) this.onLeaseExpired(machine);
    const overdue = releases.machinesWithOverdueCancellations(shardState.jobs.values());
    this.releaseNow(overdue.map((machine) => machine.id));
    this.writeRecords(this.machinesToRelease(overdue), this.machinesNeedingHigherToken());
  }

  private onLeaseExpired(machine: ShardMachine): void {
    log.info({ event: 'machine.lease_expired', machine: machine.id, tasks: machine.bound.size });
    for (const binding of [...machine.bound.values()])
      this.dependencies.shardState.apply(binding, { _tag: 'lost', how: { _tag: 'leaseOver' } });
  }

  private machinesToRelease(overdue: readonly ShardMachine[]): readonly MachineToRelease[] {
    const { releases, isPlacing } = this.dependencies;
    return [
      ...overdue
        .filter((machine) => !machine.releasing)
        .map((machine): MachineToRelease => ({ machine, reason: 'cancelled and not gone' })),
      ...releases.machinesToRelease(isPlacing()).filter(({ machine }) => !overdue.includes(machine)),
    ];
  }

  /**
   * Returns the machines whose record is to be rewritten in order to raise the token, and clears their
   * `needsHigherToken`.
   */
  private machinesNeedingHigherToken(): readonly ShardMachine[] {
    const machines = [...this.dependencies.shardState.machines.values()].filter(
      (machine) => machine.needsHigherToken && !machine.releasing,
    );
    for (const machine of machines) machine.needsHigherToken = false;
    return machines;
  }

  private writeRecords(toRelease: readonly MachineToRelease[], toRenew: readonly ShardMachine[]): void {
    const { shardId, records, store } = this.dependencies;
    const assignments = [
      ...toRenew.map((machine): MachineAssignment => ({ machine, shardId })),
      ...toRelease
        .filter(({ machine }) => !toRenew.includes(machine))
        .map(({ machine, reason }): MachineAssignment => {
          log.info({ event: 'machine.release_requested', machine: machine.id, why: reason });
          return { machine, shardId, releaseReason: reason };
        }),
    ];
    const priority = toRenew.length > 0 ? 'bind' : 'work';
    while (assignments.length > 0) void records.assign(assignments.splice(0, store.batchWrites), priority);
  }

  /**
   * Requests an urgent release from the leader directly, since the key-value store may be unavailable for
   * writes. A repeated or an early request does no harm.
   */
  private releaseNow(ids: readonly string[]): void {
    const { now, shardState, releaseNow, isLost } = this.dependencies;
    const askedAt = now();
    if (ids.length === 0 || askedAt - this.urgentReleaseAt < URGENT_RELEASE_INTERVAL_MS) return;
    this.urgentReleaseAt = askedAt;
    // The leader may carry out the request late, even if it answers that it has not: from now on, nothing new
    // is placed on the machines.
    for (const id of ids) {
      const machine = shardState.machines.get(id);
      if (machine) machine.cordoned = true;
    }
    void releaseNow(ids).then((released) => {
      if (!isLost() && released) this.onReleased(ids);
    });
  }

  private onReleased(ids: readonly string[]): void {
    const { shardState } = this.dependencies;
    for (const id of ids) {
      const machine = shardState.machines.get(id);
      for (const binding of [...(machine?.bound.values() ?? [])])
        shardState.apply(binding, { _tag: 'lost', how: { _tag: 'released' } });
    }
  }

  /**
   * Whether the machine may be transferred to another shard: it is healthy and not to be released, no task is
   * bound to it, no direct `run` command is without an answer, and its worker reports only exited tasks that
   * the stored runs no longer bind. Any holder may order the worker to forget such tasks.
   */
  isTransferable(machine: ShardMachine): boolean {
    return (
      !machine.releasing &&
      !machine.cordoned &&
      !machine.needsHigherToken &&
      this.dependencies.liveness.isIdle(machine) &&
      !hasUnansweredRuns(machine) &&
      machine.reclaimNoticeAt === null &&
      machine.health._tag === 'healthy' &&
      machine.reportedTasks.every(({ job, index, attempt }) =>
        this.dependencies.sessions.isDurablyUnbound(bindingKey(job, index, attempt), job, index),
      )
    );
  }

  /**
   * Transfers free machines to other shards; resolves to true if at least one record was written. The
   * record's new revision raises the token above every token that this holder sent.
   */
  async transferMachines(transfers: readonly MachineTransfer[]): Promise<boolean> {
    const { isPlacing, shardId, shardState, records, store } = this.dependencies;
    if (!isPlacing()) return false;
    const assignments = transfers.flatMap(({ machine: id, to }) => {
      const machine = shardState.machines.get(id);
      return machine && this.isTransferable(machine) ? [{ machine, shardId: to }] : [];
    });
    if (assignments.length === 0) return false;
    log.info({
      event: 'machine.transfer_started',
      from: shardId,
      moves: assignments.map(({ machine, shardId: to }) => `${machine.id}>${to}`),
    });
    const batches: Promise<boolean>[] = [];
    while (assignments.length > 0)
      batches.push(records.assign(assignments.splice(0, store.batchWrites), 'bind'));
    return (await Promise.all(batches)).some(Boolean);
  }
}
