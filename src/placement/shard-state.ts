/**
 * Owns the jobs, machines and bindings of one shard. Only this class adds and removes jobs and machines, and
 * creates bindings, stops them and changes their phases. Heartbeats, records and rounds call it.
 */
import { STOP_GRACE_EXTRA_S } from '../constants/workers.js';
import type { MachineRecord } from '../fleet/machine-record.js';
import type { Demand, JobRecord } from '../jobs/model.js';
import { log } from '../log.js';
import type { EffectivePriority, Readiness } from '../pipelines/graph.js';
import { nextPhase, isOnMachine, type GoneEvidence, type Phase, type PhaseEvent } from './attempt-phase.js';
import { FailureAccounting } from './failure-accounting.js';
import type { RoundTrigger, SteadyClock, WallClock } from './ports.js';
import { chunkOf } from './run-records.js';
import { createJob, createMachine } from './shard-model-factories.js';
import {
  bindingKey,
  isFinished,
  type Binding,
  type ShardJob,
  type ShardMachine,
  type StopReason,
} from './shard-model.js';

/** What `ShardState` needs of its shard. */
export interface ShardStateDependencies extends SteadyClock, WallClock, RoundTrigger {}

const attemptKeyOf = (binding: Binding): string => bindingKey(binding.job, binding.index, binding.attempt);

/** The state of one shard. */
export class ShardState {
  private readonly jobsById = new Map<string, ShardJob>();
  private readonly machinesById = new Map<string, ShardMachine>();
  private readonly pendingStops = new Set<Binding>();
  private readonly cancellationRevisions = new Map<string, number>();

  readonly jobs: ReadonlyMap<string, ShardJob> = this.jobsById;
  readonly machines: ReadonlyMap<string, ShardMachine> = this.machinesById;
  /** Bindings whose stop is to be sent as a direct command. */
  readonly stopsToSend: ReadonlySet<Binding> = this.pendingStops;
  /**
   * Cancellations that were acknowledged before their jobs were known: by job, the revision at which the
   * cancellation became durable.
   */
  readonly acknowledgedCancellations: ReadonlyMap<string, number> = this.cancellationRevisions;
  private readonly failures = new FailureAccounting(this.machines);

  constructor(private readonly dependencies: ShardStateDependencies) {}

  // ---- machines -------------------------------------------------------------------------------------------

  addMachine(id: string, record: MachineRecord, version: number, total: Demand): ShardMachine {
    const machine = createMachine(id, record, version, total, this.dependencies.now());
    this.machinesById.set(id, machine);
    return machine;
  }

  removeMachine(machine: ShardMachine, how: GoneEvidence): void {
    for (const binding of [...machine.bound.values()]) this.apply(binding, { _tag: 'lost', how });
    this.machinesById.delete(machine.id);
    this.dependencies.requestRound();
  }

  /**
   * Stops the tasks on a machine that is about to be reclaimed, if they can save their work; the other tasks
   * may still finish in time.
   */
  drain(machine: ShardMachine): void {
    for (const binding of machine.bound.values()) {
      const job = this.jobs.get(binding.job);
      if (!job || binding.stop || this.saveGraceS(job) === 0) continue;
      if (job.spec.kind === 'gang')
        for (const member of job.bindings.values()) this.stop(member, 'draining', this.saveGraceS(job));
      else this.stop(binding, 'draining', this.saveGraceS(job));
    }
  }

  // ---- jobs -----------------------------------------------------------------------------------------------

  /** Adds the job or updates it from its record; a record older than the known one changes nothing. */
  applyJobRecord(record: JobRecord, version: number): ShardJob {
    const job = this.jobs.get(record.spec.id) ?? this.addJob(record, version);
    // The watch event of a change may arrive after a message about a later change.
    if (version < job.version) return job;
    job.version = version;
    const acknowledgedRevision = this.acknowledgedCancellations.get(job.spec.id);
    if (record.cancelled || acknowledgedRevision !== undefined) {
      job.version = Math.max(version, acknowledgedRevision ?? 0);
      this.cancellationRevisions.delete(job.spec.id);
      this.cancel(job, record.cancelledAt);
    }
    return job;
  }

  private addJob(record: JobRecord, version: number): ShardJob {
    const job = createJob(record, version);
    this.jobsById.set(record.spec.id, job);
    log.debug({
      event: 'job.adopted',
      job: record.spec.id,
      class: record.spec.jobClass,
      tasks: record.spec.tasks,
      ageMs: this.dependencies.wall() - record.at,
    });
    return job;
  }

  /** Handles the deletion of a job's record, which means that its final record is durable. */
  onJobRecordDeleted(id: string): void {
    this.cancellationRevisions.delete(id);
    const job = this.jobs.get(id);
    if (!job) return;
    job.recordDeleted = true;
    this.removeIfRecordDeleted(job);
    if (job.bindings.size > 0) log.error({ event: 'job.record_vanished', job: id });
  }

  /** Removes a job whose final record this shard has written. */
  removeFinishedJob(job: ShardJob): void {
    this.jobsById.delete(job.spec.id);
  }

  /**
   * Removes a job whose record is deleted, unless it still has bindings or its final record is being written.
   * Reason: a holder that receives a cancellation directly may finish the job before its watch shows the
   * cancelled record. The late watch event then adds the job again, although its final record exists and can
   * never be written a second time.
   */
  removeIfRecordDeleted(job: ShardJob): void {
    if (!job.recordDeleted || job.finishing || job.bindings.size > 0) return;
    if (this.jobs.get(job.spec.id) === job) this.jobsById.delete(job.spec.id);
  }

  /**
   * Applies a cancellation that is durable at this revision and that another controller reported. This
   * controller's watch may show it much later.
   */
  acknowledgeCancellation(id: string, version: number): void {
    const job = this.jobs.get(id);
    if (!job) {
      this.cancellationRevisions.set(id, version);
      return;
    }
    job.version = Math.max(job.version, version);
    this.cancel(job, null);
  }

  private cancel(job: ShardJob, at: number | null): void {
    job.cancelledAt ??= at ?? this.dependencies.wall();
    if (job.cancelled) return;
    job.cancelled = true;
    for (const binding of job.bindings.values()) this.stop(binding, 'cancelled', 0);
  }

  /**
   * Updates the readiness of a job, the start of its waiting time, and the priority and deadline that result
   * from the jobs that depend on it.
   */
  updateReadiness(id: string, readiness: Readiness, effectivePriority: EffectivePriority): void {
    const job = this.jobs.get(id);
    if (!job) return;
    const { priority, dueAt } = effectivePriority;
    job.readiness = readiness;
    if (readiness._tag === 'ready') job.waitingSince = Math.max(job.submittedAt, readiness.since);
    const deadlineS = dueAt === null ? null : (dueAt - job.waitingSince) / 1000;
    job.spec = { ...job.submittedSpec, priority, deadlineS };
    // A job with a cancelled dependency has no task on a machine and never gets one.
    if (readiness._tag === 'dependencyCancelled') this.cancel(job, null);
    this.dependencies.requestRound();
  }

  /** s: how long a task of the job may take to save its work when it is stopped; 0: it saves nothing. */
  saveGraceS(job: ShardJob): number {
    return job.spec.checkpointS > 0 ? job.spec.saveS + STOP_GRACE_EXTRA_S : 0;
  }

  // ---- bindings -------------------------------------------------------------------------------------------

  bind(job: ShardJob, index: number, attempt: number, machine: ShardMachine, phase: Phase): Binding {
    const binding: Binding = {
      job: job.spec.id,
      index,
      attempt,
      machine: machine.id,
      phase,
      stop: null,
      lastSeen: null,
      boundAt: this.dependencies.now(),
      runningAt: null,
      runCommandsSent: 0,
    };
    job.bindings.set(index, binding);
    machine.bound.set(attemptKeyOf(binding), binding);
    machine.free = null;
    return binding;
  }

  /** Removes a binding whose write certainly did not take effect. */
  unbind(binding: Binding): void {
    this.removeFromMachine(binding);
    const job = this.jobs.get(binding.job);
    if (job?.bindings.get(binding.index) === binding) job.bindings.delete(binding.index);
  }

  private removeFromMachine(binding: Binding): ShardMachine | undefined {
    const machine = this.machines.get(binding.machine);
    if (!machine) return undefined;
    machine.bound.delete(attemptKeyOf(binding));
    machine.free = null;
    return machine;
  }

  /** Stops a task; a stop whose grace is not shorter than that of an earlier stop changes nothing. */
  stop(binding: Binding, reason: StopReason, graceS: number): void {
    if (binding.stop && binding.stop.graceS <= graceS) return;
    binding.stop = { reason, graceS, since: this.dependencies.now() };
    // The tasks of a finished gang end by themselves, together; a worker that missed the end receives the
    // stop in the answer to its heartbeat.
    if (isOnMachine(binding.phase) && reason !== 'finished') this.pendingStops.add(binding);
    this.dependencies.requestRound();
  }

  /**
   * Returns the bindings whose stop is to be sent directly and whose tasks are still on their machines;
   * clears the list of pending stops.
   */
  takeStopsToSend(): readonly Binding[] {
    if (this.pendingStops.size === 0) return [];
    const stops = [...this.pendingStops].filter((binding) => binding.stop && isOnMachine(binding.phase));
    this.pendingStops.clear();
    return stops;
  }

  /**
   * Stops all tasks of a gang that lost a member; the gang then waits for placement again, on any machines.
   */
  stopBrokenGang(job: ShardJob): void {
    for (const binding of job.bindings.values()) this.stop(binding, 'broken', 0);
  }

  /** Moves a binding to its next phase and applies the consequences. */
  apply(binding: Binding, event: PhaseEvent): void {
    const before = binding.phase;
    binding.phase = nextPhase(before, event);
    if (binding.phase._tag === before._tag) return;
    const job = this.jobs.get(binding.job);
    if (binding.phase._tag === 'running' && binding.runningAt === null) {
      binding.runningAt = this.dependencies.now();
      if (job) this.markImageUsed(binding.machine, job.spec.image);
    }
    log.debug({
      event: 'task.phase_changed',
      task: `${binding.job}/${binding.index}`,
      attempt: binding.attempt,
      machine: binding.machine,
      from: before._tag,
      to: binding.phase._tag,
      how: binding.phase._tag === 'gone' ? binding.phase.how : undefined,
    });
    if (binding.phase._tag === 'gone') this.onGone(binding, binding.phase.how, job);
  }

  /** Marks the image as present on the machine and as the one that it used last. */
  private markImageUsed(id: string, image: string): void {
    const images = this.machines.get(id)?.images;
    images?.delete(image);
    images?.add(image);
  }

  private onGone(binding: Binding, how: GoneEvidence, job: ShardJob | undefined): void {
    const machine = this.removeFromMachine(binding);
    this.dependencies.requestRound();
    if (job?.bindings.get(binding.index) !== binding) return;
    job.bindings.delete(binding.index);
    const chunk = job.chunks.get(chunkOf(binding.index));
    if (chunk) chunk.dirtySince ??= this.dependencies.now();
    if (how._tag === 'exited' && how.cause === 'done' && job.spec.kind !== 'service') {
      this.onTaskDone(binding, job);
      return;
    }
    if (how._tag === 'exited') this.onFailedExit(binding, how.cause, job, machine);
    if (job.spec.kind === 'gang' && !isFinished(job)) this.stopBrokenGang(job);
  }

  private onTaskDone(binding: Binding, job: ShardJob): void {
    job.hasCompletedTask = true;
    if (job.spec.kind !== 'gang') {
      job.done.add(binding.index);
      return;
    }
    // A gang completes as a whole: if one task is done, all are.
    for (let index = 0; index < job.spec.tasks; index += 1) job.done.add(index);
    for (const other of job.bindings.values()) this.stop(other, 'finished', 0);
  }

  private onFailedExit(
    binding: Binding,
    cause: Extract<GoneEvidence, { _tag: 'exited' }>['cause'],
    job: ShardJob,
    machine: ShardMachine | undefined,
  ): void {
    const now = this.dependencies.now();
    if (cause === 'error' || cause === 'unknown') this.failures.onTaskFailed(binding, job, machine, now);
    if (cause === 'noRoom') this.failures.onNoRoom(job, now);
  }
}
