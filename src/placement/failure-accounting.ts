/**
 * Attributes the failures of a job's tasks to the machines. Once tasks of the job have failed on
 * `JOB_FAULT_MACHINE_THRESHOLD` machines and none has completed, the job counts as at fault instead. Owns the
 * health of machines and the failure counts and pauses of jobs; `ShardState` reports failures to it.
 */
import { SUSPECT_MACHINE_PAUSE_MS } from '../constants/machines.js';
import {
  JOB_FAULT_MACHINE_THRESHOLD,
  JOB_BACKOFF_MS,
  MAX_JOB_BACKOFF_DOUBLINGS,
  MAX_JOB_BACKOFF_MS,
  NO_ROOM_BACKOFF_MS,
} from '../constants/placement.js';
import { log } from '../log.js';
import type { Binding, ShardJob, ShardMachine } from './shard-model.js';

/** ms: how long a job at fault waits after failures on `machinesFailedOn` machines. */
const jobPauseMs = (machinesFailedOn: number): number => {
  const doublings = Math.min(MAX_JOB_BACKOFF_DOUBLINGS, machinesFailedOn - JOB_FAULT_MACHINE_THRESHOLD);
  return Math.min(MAX_JOB_BACKOFF_MS, JOB_BACKOFF_MS * 2 ** doublings);
};

const delayUntil = (job: ShardJob, time: number): void => {
  job.backoffUntil = Math.max(job.backoffUntil, time);
};

/** Records the failures of a shard's tasks. */
export class FailureAccounting {
  constructor(private readonly machines: ReadonlyMap<string, ShardMachine>) {}

  /** Records the failure of a task; `machine` is undefined if the machine has left the shard. */
  onTaskFailed(binding: Binding, job: ShardJob, machine: ShardMachine | undefined, now: number): void {
    job.failures += 1;
    job.failedOn.add(binding.machine);
    log.info({
      event: 'task.failed',
      task: `${binding.job}/${binding.index}`,
      machine: binding.machine,
      errors: job.failures,
    });
    const jobAtFault = !job.hasCompletedTask && job.failedOn.size >= JOB_FAULT_MACHINE_THRESHOLD;
    if (!job.hasCompletedTask) delayUntil(job, jobAtFault ? now + jobPauseMs(job.failedOn.size) : now);
    if (jobAtFault) this.clearMachines(job);
    else if (machine) this.recordMachineFailure(machine, job, now);
  }

  /** Pauses a job for `NO_ROOM_BACKOFF_MS` after a worker had no capacity for one of its tasks. */
  onNoRoom(job: ShardJob, now: number): void {
    delayUntil(job, now + NO_ROOM_BACKOFF_MS);
  }

  /** Marks the machines that were suspect only because of this job as healthy again. */
  private clearMachines(job: ShardJob): void {
    for (const id of job.failedOn) {
      const machine = this.machines.get(id);
      if (machine?.health._tag === 'suspect' && machine.health.job === job.spec.id)
        machine.health = { _tag: 'healthy' };
    }
    job.failedOn.clear();
  }

  /**
   * Marks a machine as suspect or quarantines it. Failures of two jobs, or of a job that has completed a task
   * before, are the fault of the machine.
   */
  private recordMachineFailure(machine: ShardMachine, job: ShardJob, now: number): void {
    const { health } = machine;
    if (health._tag === 'suspect' && health.job !== job.spec.id) machine.health = { _tag: 'quarantined' };
    else if (health._tag === 'healthy')
      machine.health = job.hasCompletedTask
        ? { _tag: 'quarantined' }
        : { _tag: 'suspect', job: job.spec.id, until: now + SUSPECT_MACHINE_PAUSE_MS };
    if (machine.health._tag === 'quarantined')
      log.info({ event: 'machine.quarantined', machine: machine.id });
  }
}
