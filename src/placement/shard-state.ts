import { SUSPECT_MACHINE_PAUSE_MS } from '../constants/machines.js';
import {
  FAULTY_JOB_MACHINES,
  JOB_BACKOFF_MS,
  MAX_JOB_BACKOFF_DOUBLINGS,
  MAX_JOB_BACKOFF_MS,
  NO_ROOM_BACKOFF_MS,
} from '../constants/placement.js';
import { STOP_GRACE_EXTRA_S } from '../constants/workers.js';
import type { MachineRecord } from '../fleet/records.js';
import type { Demand, JobRecord } from '../jobs/model.js';
import { log } from '../log.js';
import type { Readiness, EffectivePriority } from '../pipelines/graph.js';
import { chunkOf } from './run-records.js';
import {
  bindingKey,
  isFinished,
  type Binding,
  type ShardJob,
  type ShardMachine,
  type Stop,
} from './shard-model.js';
import { nextPhase, onMachine, type Gone, type Phase, type PhaseEvent } from './attempt-phase.js';

/** What the state of a share needs of the rest of the controller. */
export interface ShardStateDependencies {
  readonly now: () => number;
  /** ms since the epoch. */
  readonly wall: () => number;
  /** Something changed that a round should look at. */
  readonly requestRound: () => void;
}

/** Jobs, machines and bindings of one share, and the one place where a binding changes its state. */
export class ShardState {
  readonly jobs = new Map<string, ShardJob>();
  readonly machines = new Map<string, ShardMachine>();
  /** Bindings whose stop is to go out directly. */
  readonly stopsToSend = new Set<Binding>();
  /** Cancellations heard of before their jobs, by the revision at which they became durable. */
  readonly acknowledged = new Map<string, number>();

  constructor(private readonly dependencies: ShardStateDependencies) {}

  addMachine(id: string, record: MachineRecord, version: number, total: Demand): ShardMachine {
    const machine: ShardMachine = {
      id,
      type: record.type,
      zone: record.zone,
      spot: record.spot,
      version,
      recordedAt: record.at,
      releasing: record.releasing,
      cordoned: false,
      addr: record.addr,
      agentEpoch: 0,
      sequenceNumber: 0,
      confirmedToken: 0,
      everConfirmedToken: false,
      takenAt: this.dependencies.now(),
      unconfirmedSince: null,
      answeredAt: null,
      reclaimNoticeAt: null,
      reclaimNoticeS: null,
      unacknowledgedRuns: new Map(),
      heldAnswers: 0,
      reportedTasks: [],
      exitsPendingSince: null,
      bound: new Map(),
      images: new Set(record.images),
      health: { _tag: 'healthy' },
      idleSince: null,
      total,
      free: null,
      raiseToken: false,
    };
    this.machines.set(id, machine);
    return machine;
  }

  dropMachine(machine: ShardMachine, how: Gone): void {
    for (const binding of [...machine.bound.values()]) this.apply(binding, { _tag: 'lost', how });
    this.machines.delete(machine.id);
    this.dependencies.requestRound();
  }

  adoptJob(record: JobRecord, version: number): ShardJob {
    let job = this.jobs.get(record.spec.id);
    if (!job) {
      job = {
        spec: record.spec,
        submittedSpec: record.spec,
        submittedAt: record.at,
        waitingSince: record.at,
        dependencyParts: record.parts,
        readiness:
          record.dependsOn.length + record.parts > 0
            ? { _tag: 'waiting' }
            : { _tag: 'ready', since: record.at },
        version,
        cancelled: false,
        cancelledAt: null,
        done: new Set(),
        firstUnfinished: 0,
        bindings: new Map(),
        attempt: 0,
        validAttempt: 0,
        chunks: new Map(),
        failedOn: new Set(),
        failures: 0,
        backoffUntil: 0,
        hasCompletedTask: false,
        finishing: false,
        recordGone: false,
        finishSeparately: false,
        writesUnderWay: 0,
      };
      this.jobs.set(record.spec.id, job);
      log.debug({
        event: 'job.adopted',
        job: record.spec.id,
        class: record.spec.jobClass,
        tasks: record.spec.tasks,
        ageMs: this.dependencies.wall() - record.at,
      });
    }
    // The news of a change may come after a message about a later one.
    if (version < job.version) return job;
    job.version = version;
    const acknowledged = this.acknowledged.get(job.spec.id);
    if (record.cancelled || acknowledged !== undefined) {
      job.version = Math.max(version, acknowledged ?? 0);
      this.acknowledged.delete(job.spec.id);
      this.cancel(job, record.cancelledAt);
    }
    return job;
  }

  /** A job's record was deleted: its final record is durable. */
  onRecordGone(id: string): void {
    this.acknowledged.delete(id);
    const job = this.jobs.get(id);
    if (!job) return;
    job.recordGone = true;
    this.dropIfOver(job);
    if (job.bindings.size > 0) log.error({ event: 'job.record_vanished', job: id });
  }

  /**
   * Forgets a job whose record is gone. A holder that is told of a cancellation directly may finish the job
   * before its watch shows the cancelled record; that older event then brings the job back, and its final
   * record could never be written again.
   */
  dropIfOver(job: ShardJob): void {
    if (!job.recordGone || job.finishing || job.bindings.size > 0) return;
    if (this.jobs.get(job.spec.id) === job) this.jobs.delete(job.spec.id);
  }

  private cancel(job: ShardJob, at: number | null): void {
    job.cancelledAt ??= at ?? this.dependencies.wall();
    if (job.cancelled) return;
    job.cancelled = true;
    for (const binding of job.bindings.values()) this.stop(binding, 'cancelled', 0);
  }

  /** Where a job stands among those that it follows, and what it is worth for those that need it. */
  updateReadiness(id: string, readiness: Readiness, effectivePriority: EffectivePriority): void {
    const job = this.jobs.get(id);
    if (!job) return;
    job.readiness = readiness;
    if (readiness._tag === 'ready') job.waitingSince = Math.max(job.submittedAt, readiness.since);
    job.spec = {
      ...job.submittedSpec,
      priority: effectivePriority.priority,
      deadlineS:
        effectivePriority.dueAt === null ? null : (effectivePriority.dueAt - job.waitingSince) / 1000,
    };
    // It has no task, and never will.
    if (readiness._tag === 'doomed') this.cancel(job, null);
    this.dependencies.requestRound();
  }

  /**
   * A cancellation that is durable at this revision, told by another node: the shared keys may show it much
   * later.
   */
  acknowledge(id: string, version: number): void {
    const job = this.jobs.get(id);
    if (!job) {
      this.acknowledged.set(id, version);
      return;
    }
    job.version = Math.max(job.version, version);
    this.cancel(job, null);
  }

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
    machine.bound.set(bindingKey(job.spec.id, index, attempt), binding);
    machine.free = null;
    return binding;
  }

  /** Takes back a bind that surely was not carried out. */
  unbind(binding: Binding): void {
    const machine = this.machines.get(binding.machine);
    if (machine) {
      machine.bound.delete(bindingKey(binding.job, binding.index, binding.attempt));
      machine.free = null;
    }
    const job = this.jobs.get(binding.job);
    if (job?.bindings.get(binding.index) === binding) job.bindings.delete(binding.index);
  }

  stop(binding: Binding, reason: Stop['reason'], graceS: number): void {
    if (binding.stop && binding.stop.graceS <= graceS) return;
    binding.stop = { reason, graceS, since: this.dependencies.now() };
    // What is finished ends by itself, with the others of its gang; a worker that missed that hears of it
    // with its report.
    if (onMachine(binding.phase) && reason !== 'finished') this.stopsToSend.add(binding);
    this.dependencies.requestRound();
  }

  graceOf(job: ShardJob): number {
    return job.spec.checkpointS > 0 ? job.spec.saveS + STOP_GRACE_EXTRA_S : 0;
  }

  /** A gang that lost a member is stopped whole and waits again, free to go anywhere. */
  stopBrokenGang(job: ShardJob): void {
    for (const binding of job.bindings.values()) this.stop(binding, 'broken', 0);
  }

  /** Work that can be saved leaves a machine that is about to go; the rest may still finish in time. */
  drain(machine: ShardMachine): void {
    for (const binding of machine.bound.values()) {
      const job = this.jobs.get(binding.job);
      if (!job || binding.stop || this.graceOf(job) === 0) continue;
      if (job.spec.kind === 'gang')
        for (const member of job.bindings.values()) this.stop(member, 'draining', this.graceOf(job));
      else this.stop(binding, 'draining', this.graceOf(job));
    }
  }

  apply(binding: Binding, event: PhaseEvent): void {
    const before = binding.phase;
    binding.phase = nextPhase(before, event);
    if (binding.phase._tag === before._tag) return;
    const job = this.jobs.get(binding.job);
    if (binding.phase._tag === 'running' && binding.runningAt === null) {
      binding.runningAt = this.dependencies.now();
      if (job) this.noteImage(binding.machine, job.spec.image);
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

  /** The machine has the image, and used it last. */
  private noteImage(id: string, image: string): void {
    const images = this.machines.get(id)?.images;
    images?.delete(image);
    images?.add(image);
  }

  private onGone(binding: Binding, how: Gone, job: ShardJob | undefined): void {
    const machine = this.machines.get(binding.machine);
    if (machine) {
      machine.bound.delete(bindingKey(binding.job, binding.index, binding.attempt));
      machine.free = null;
    }
    this.dependencies.requestRound();
    if (!job || job.bindings.get(binding.index) !== binding) return;
    job.bindings.delete(binding.index);
    const chunk = job.chunks.get(chunkOf(binding.index));
    if (chunk) chunk.dirtySince ??= this.dependencies.now();
    if (how._tag === 'exited' && how.cause === 'done' && job.spec.kind !== 'service') {
      job.hasCompletedTask = true;
      // A gang completes together: one task done means all are.
      if (job.spec.kind === 'gang') {
        for (let index = 0; index < job.spec.tasks; index += 1) job.done.add(index);
        for (const other of job.bindings.values()) this.stop(other, 'finished', 0);
      } else job.done.add(binding.index);
      return;
    }
    if (how._tag === 'exited' && (how.cause === 'error' || how.cause === 'unknown'))
      this.onError(binding, job, machine);
    if (how._tag === 'exited' && how.cause === 'noRoom')
      job.backoffUntil = Math.max(job.backoffUntil, this.dependencies.now() + NO_ROOM_BACKOFF_MS);
    if (job.spec.kind === 'gang' && !isFinished(job)) this.stopBrokenGang(job);
  }

  /**
   * A failure counts against the machine until the same job fails elsewhere too, and then against the job.
   */
  private onError(binding: Binding, job: ShardJob, machine: ShardMachine | undefined): void {
    const now = this.dependencies.now();
    job.failures += 1;
    job.failedOn.add(binding.machine);
    log.info({
      event: 'task.failed',
      task: `${binding.job}/${binding.index}`,
      machine: binding.machine,
      errors: job.failures,
    });
    const jobAtFault = !job.hasCompletedTask && job.failedOn.size >= FAULTY_JOB_MACHINES;
    if (!job.hasCompletedTask) {
      const pause = jobAtFault
        ? Math.min(
            MAX_JOB_BACKOFF_MS,
            JOB_BACKOFF_MS *
              2 ** Math.min(MAX_JOB_BACKOFF_DOUBLINGS, job.failedOn.size - FAULTY_JOB_MACHINES),
          )
        : 0;
      job.backoffUntil = Math.max(job.backoffUntil, now + pause);
    }
    if (jobAtFault) {
      for (const id of job.failedOn) {
        const other = this.machines.get(id);
        if (other?.health._tag === 'suspect' && other.health.job === job.spec.id)
          other.health = { _tag: 'healthy' };
      }
      job.failedOn.clear();
      return;
    }
    if (!machine) return;
    if (machine.health._tag === 'suspect' && machine.health.job !== job.spec.id)
      machine.health = { _tag: 'quarantined' };
    else if (machine.health._tag === 'healthy') {
      machine.health = job.hasCompletedTask
        ? { _tag: 'quarantined' }
        : { _tag: 'suspect', job: job.spec.id, until: now + SUSPECT_MACHINE_PAUSE_MS };
    }
    if (machine.health._tag === 'quarantined')
      log.info({ event: 'machine.quarantined', machine: machine.id });
  }
}
