/**
 * Stand-in for a machine and its worker, written to the published protocol: leases, tokens, tasks and gangs.
 */

import { readRedirect } from '../workers/codec.js';
import { type WireRecord } from './key-value-store-stand-in.js';
import type { SimulatedEnvironment } from './simulated-environment.js';
/** A job with what its user knows of it. */
export interface StandInJob {
  readonly body: WireRecord;
  readonly id: string;
  readonly team: string;
  readonly gang: boolean;
  readonly oneZone: boolean;
  readonly tasks: number;
  readonly gpus: number;
  readonly cpus: number;
  readonly memoryGb: number;
  readonly runMs: number;
  /** Jobs that have to be done before a task of this one starts. */
  readonly follows?: readonly StandInJob[];
  /** ms that each task runs longer than the one before. */
  readonly taskStaggerMs?: number;
  accepted: boolean;
  cancelledAt: number | null;
  isFinalStatusReported: boolean;
}

/** A task on a stand-in machine. */
export interface TaskOnMachine {
  readonly job: StandInJob;
  readonly index: number;
  readonly attempt: number;
  state: 'pulling' | 'gathering' | 'running' | 'exited';
  cause: string;
  readyAt: number;
  startedAt: number | null;
}

/** One machine with its worker. */
export class WorkerStandIn {
  agentEpoch = 1;
  sequenceNumber = 0;
  token = 0;
  isTerminated = false;
  /** Cut from the controllers: nothing gets in or out. */
  isPartitioned = false;
  /** Its reports arrive, but neither answers nor commands reach it. */
  deaf = false;
  /** It reaches no controller, while direct commands reach it. */
  mute = false;
  /** ms: until then it does nothing; what arrives meanwhile waits. */
  hungUntil = 0;
  readonly tasks = new Map<string, TaskOnMachine>();
  readonly jobsWithCachedImage = new Set<string>();
  private leaseStartedAt = Date.now();
  private targetNodeIndex = 0;

  constructor(
    readonly id: string,
    readonly zone: string,
    readonly spot: boolean,
    private readonly environment: SimulatedEnvironment,
  ) {}

  nextHeartbeat(): WireRecord {
    this.sequenceNumber += 1;
    return {
      drover: this.id,
      addr: `${this.id}:9000`,
      breed: 'g',
      paddock: this.zone,
      agistment: this.spot,
      stint: this.agentEpoch,
      tally: this.sequenceNumber,
      crook: this.token,
      warningS: null,
      heads: [...this.tasks].map(([key, task]) => ({
        head: key,
        try: task.attempt,
        status: task.state,
        ...(task.state === 'exited' ? { cause: task.cause } : {}),
      })),
    };
  }

  execute(token: number, calls: readonly WireRecord[]): boolean {
    if (token < this.token) return false;
    this.token = token;
    for (const call of calls) {
      const key = call['head'] as string;
      const attempt = call['try'] as number;
      const held = this.tasks.get(key);
      if (call['call'] === 'reap') {
        if (held && held.attempt === attempt && held.state === 'exited') this.tasks.delete(key);
      } else if (call['call'] === 'stop') {
        if (held && held.attempt === attempt && held.state !== 'exited') this.exit(held, 'halted');
      } else if (!held || held.state === 'exited') {
        if (held?.attempt === attempt) continue;
        const [id, index] = key.split('/') as [string, string];
        const job = this.environment.jobs.get(id);
        if (!job) throw new Error(`unknown job ${id}`);
        const task: TaskOnMachine = {
          job,
          index: Number(index),
          attempt,
          state: 'pulling',
          cause: '',
          readyAt: Date.now() + (this.jobsWithCachedImage.has(id) ? 0 : 2_000),
          startedAt: null,
        };
        const used = [...this.tasks.values()].filter((other) => other.state !== 'exited');
        if (used.reduce((sum, other) => sum + other.job.gpus, 0) + job.gpus > 8) this.exit(task, 'no_room');
        this.tasks.set(key, task);
      }
    }
    return true;
  }

  private exit(task: TaskOnMachine, cause: string): void {
    task.state = 'exited';
    task.cause = cause;
  }

  get isHung(): boolean {
    return Date.now() < this.hungUntil;
  }
  async waitUntilResumed(): Promise<void> {
    while (this.isHung) await new Promise((resolve) => setTimeout(resolve, 20));
  }
  /** The worker looks at its clock before anything else, also when it resumes. */
  get leaseOver(): boolean {
    return Date.now() - this.leaseStartedAt > this.environment.leaseMs;
  }
  expireLease(): void {
    if (!this.leaseOver) return;
    this.agentEpoch += 1;
    this.tasks.clear();
    this.leaseStartedAt = Date.now();
  }

  /** Called every step of the clock. */
  step(): void {
    const now = Date.now();
    if (this.isTerminated || this.isHung) return;
    this.expireLease();
    for (const task of this.tasks.values()) {
      if (task.state === 'pulling' && now >= task.readyAt) {
        this.jobsWithCachedImage.add(task.job.id);
        this.environment.onTaskStart(this, task.job, task.index);
        task.state = task.job.gang ? 'gathering' : 'running';
        task.startedAt = now;
      }
      if (task.state === 'gathering' && this.environment.isGangComplete(task.job, task.attempt)) {
        task.state = 'running';
        task.startedAt = now;
      }
      if (
        task.state === 'running' &&
        task.job.gang &&
        !this.environment.isGangComplete(task.job, task.attempt)
      )
        this.exit(task, 'peers');
      if (
        task.state === 'running' &&
        task.startedAt !== null &&
        now - task.startedAt >= task.job.runMs + (task.job.taskStaggerMs ?? 0) * task.index
      ) {
        this.environment.onTaskDone(task.job, task.index);
      }
    }
    for (const task of this.tasks.values()) {
      if (task.state === 'running' && this.environment.isTaskDone(task.job, task.index))
        this.exit(task, 'done');
    }
  }

  async runHeartbeatLoop(): Promise<void> {
    while (!this.isTerminated) {
      const agentEpoch = this.agentEpoch;
      const sentAt = Date.now();
      const answer = await this.environment.call(
        this.id,
        this.environment.nodes[this.targetNodeIndex] ?? '',
        'POST',
        '/hello',
        this.nextHeartbeat(),
        4_000,
      );
      await this.waitUntilResumed();
      this.expireLease();
      if (this.isTerminated) return;
      // An answer that waited with a hung machine is dropped like any that took too long.
      if (Date.now() - sentAt > 4_000) continue;
      let pause = this.environment.heartbeatIntervalMs;
      if (answer._tag === 'response' && answer.status === 200) {
        const body = answer.body as { crook: number; calls: WireRecord[] };
        if (agentEpoch === this.agentEpoch && this.execute(body.crook, body.calls))
          this.leaseStartedAt = Math.max(this.leaseStartedAt, sentAt);
        if (body.calls.length > 0) pause = 500;
      } else {
        const holderNode =
          answer._tag === 'response' && answer.status === 421 ? readRedirect(answer.body) : undefined;
        const next = holderNode === undefined ? -1 : this.environment.nodes.indexOf(holderNode);
        pause = next >= 0 && next !== this.targetNodeIndex ? 100 : 1_000;
        this.targetNodeIndex =
          next >= 0 && next !== this.targetNodeIndex
            ? next
            : (this.targetNodeIndex + 1) % this.environment.nodes.length;
      }
      await new Promise((resolve) => setTimeout(resolve, pause));
    }
  }
}
