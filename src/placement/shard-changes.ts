/**
 * Applies changes of the shared records, and cancellations that other controllers report directly, to the
 * machines and jobs of a shard's state. No state of its own; `Shard` forwards the changes and the
 * cancellations.
 */
import type { MachineRecord } from '../fleet/machine-record.js';
import { readJobRecord } from '../jobs/job-record-codec.js';
import type { JobRecord } from '../jobs/model.js';
import { jobKey } from '../kv-store/keys.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import type { DirectCommands } from './direct-commands.js';
import type { RoundTrigger, ShardIdentity, StageQueries } from './ports.js';
import type { ShardContext } from './shard-context.js';
import type { ShardMachine } from './shard-model.js';
import type { ShardState } from './shard-state.js';

const NO_RESOURCES = { cpus: 0, gpus: 0, memoryGb: 0 };

/** What the application of changes needs of its shard. */
export interface ShardChangesDependencies
  extends
    Pick<ShardIdentity, 'shardId'>,
    Pick<StageQueries, 'isLoaded' | 'isLost'>,
    RoundTrigger,
    Pick<ShardContext, 'catalog' | 'mayAct' | 'shardOfTeam' | 'readiness' | 'effectivePriority'> {
  readonly shardState: ShardState;
  readonly directCommands: DirectCommands;
}

/** Whether the job is cancelled according to its shared record or to a cancellation that was acknowledged. */
export const isKnownCancelled = (shardState: ShardState, cache: WatchCache, job: string): boolean => {
  const item = cache.get(jobKey(job));
  return (
    shardState.acknowledgedCancellations.has(job) ||
    (item !== undefined && readJobRecord(item.value).cancelled)
  );
};

/** Applies changes that come from outside the shard. */
export class ShardChanges {
  constructor(private readonly dependencies: ShardChangesDependencies) {}

  onMachineRecord(id: string, record: MachineRecord, version: number): void {
    const { shardState, shardId } = this.dependencies;
    const known = shardState.machines.get(id);
    if (record.shardId !== shardId) {
      // Only free machines are transferred, so no task of this shard is on the machine.
      if (known) shardState.removeMachine(known, { _tag: 'released' });
      return;
    }
    if (known) this.updateMachine(known, record, version);
    else this.addMachine(id, record, version);
  }

  private updateMachine(machine: ShardMachine, record: MachineRecord, version: number): void {
    if (machine.version !== version) {
      machine.version = version;
      machine.confirmedToken = 0;
    }
    machine.releasing = record.releasing;
  }

  private addMachine(id: string, record: MachineRecord, version: number): void {
    const { shardState, directCommands, catalog, mayAct, requestRound } = this.dependencies;
    const total = catalog()?.get(record.type) ?? NO_RESOURCES;
    const machine = shardState.addMachine(id, record, version, total);
    if (record.addr !== '' && mayAct()) directCommands.announceToken(machine, record.agentEpoch);
    requestRound();
  }

  onMachineGone(id: string): void {
    const { shardState } = this.dependencies;
    const machine = shardState.machines.get(id);
    // The record is deleted only after the cloud answered 200 to the machine's release.
    if (machine) shardState.removeMachine(machine, { _tag: 'released' });
  }

  onJobRecord(record: JobRecord, version: number): void {
    const { shardOfTeam, shardId, isLoaded, shardState, requestRound } = this.dependencies;
    if (shardOfTeam.get(record.spec.team) !== shardId || !isLoaded()) return;
    shardState.applyJobRecord(record, version);
    this.onEffectivePriority(record.spec.id);
    requestRound();
  }

  /** Applies the readiness and effective priority of a job, either of which may have changed. */
  onEffectivePriority(id: string): void {
    const { shardState, effectivePriority, readiness } = this.dependencies;
    const job = shardState.jobs.get(id);
    const priority = effectivePriority(id);
    if (job && priority) shardState.updateReadiness(id, readiness(id), priority);
  }

  /** See `Shard.acknowledgeCancellation`. */
  acknowledgeCancellation(id: string, version: number): boolean {
    if (this.dependencies.isLost()) return false;
    this.dependencies.shardState.acknowledgeCancellation(id, version);
    this.dependencies.requestRound();
    return true;
  }

  onJobGone(id: string): void {
    this.dependencies.shardState.onJobRecordDeleted(id);
  }
}
