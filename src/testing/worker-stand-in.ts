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
  readonly apartMs?: number;
  accepted: boolean;
  cancelledAt: number | null;
  doneTold: boolean;
}

/** A task on a stand-in machine. */
export interface OnMachine {
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
  dead = false;
  /** Cut from the controllers: nothing gets in or out. */
  cut = false;
  /** Its reports arrive, but neither answers nor commands reach it. */
  deaf = false;
  /** It reaches no controller, while direct commands reach it. */
  mute = false;
  /** ms: until then it does nothing; what arrives meanwhile waits. */
  hungUntil = 0;
  readonly tasks = new Map<string, OnMachine>();
  readonly cached = new Set<string>();
  private leaseFrom = Date.now();
  private target = 0;

  constructor(
    readonly id: string,
    readonly zone: string,
    readonly spot: boolean,
    private readonly world: SimulatedEnvironment,
  ) {}

  report(): WireRecord {
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
        const job = this.world.jobs.get(id);
        if (!job) throw new Error(`unknown job ${id}`);
        const task: OnMachine = {
          job,
          index: Number(index),
          attempt,
          state: 'pulling',
          cause: '',
          readyAt: Date.now() + (this.cached.has(id) ? 0 : 2_000),
          startedAt: null,
        };
        const used = [...this.tasks.values()].filter((other) => other.state !== 'exited');
        if (used.reduce((sum, other) => sum + other.job.gpus, 0) + job.gpus > 8) this.exit(task, 'no_room');
        this.tasks.set(key, task);
      }
    }
    return true;
  }

  private exit(task: OnMachine, cause: string): void {
    task.state = 'exited';
    task.cause = cause;
  }

  get hung(): boolean {
    return Date.now() < this.hungUntil;
  }
  async awake(): Promise<void> {
    while (this.hung) await new Promise((resolve) => setTimeout(resolve, 20));
  }
  /** The worker looks at its clock before anything else, also when it resumes. */
  get leaseOver(): boolean {
    return Date.now() - this.leaseFrom > this.world.leaseMs;
  }
  expire(): void {
    if (!this.leaseOver) return;
    this.agentEpoch += 1;
    this.tasks.clear();
    this.leaseFrom = Date.now();
  }

  /** Called every step of the clock. */
  step(): void {
    const now = Date.now();
    if (this.dead || this.hung) return;
    this.expire();
    for (const task of this.tasks.values()) {
      if (task.state === 'pulling' && now >= task.readyAt) {
        this.cached.add(task.job.id);
        this.world.onStart(this, task.job, task.index);
        task.state = task.job.gang ? 'gathering' : 'running';
        task.startedAt = now;
      }
      if (task.state === 'gathering' && this.world.gangComplete(task.job, task.attempt)) {
        task.state = 'running';
        task.startedAt = now;
      }
      if (task.state === 'running' && task.job.gang && !this.world.gangComplete(task.job, task.attempt))
        this.exit(task, 'peers');
      if (
        task.state === 'running' &&
        task.startedAt !== null &&
        now - task.startedAt >= task.job.runMs + (task.job.apartMs ?? 0) * task.index
      ) {
        this.world.onDone(task.job, task.index);
      }
    }
    for (const task of this.tasks.values()) {
      if (task.state === 'running' && this.world.isDone(task.job, task.index)) this.exit(task, 'done');
    }
  }

  async live(): Promise<void> {
    while (!this.dead) {
      const agentEpoch = this.agentEpoch;
      const sentAt = Date.now();
      const answer = await this.world.call(
        this.id,
        this.world.nodes[this.target] ?? '',
        'POST',
        '/hello',
        this.report(),
        4_000,
      );
      await this.awake();
      this.expire();
      if (this.dead) return;
      // An answer that waited with a hung machine is dropped like any that took too long.
      if (Date.now() - sentAt > 4_000) continue;
      let pause = this.world.reportMs;
      if (answer._tag === 'response' && answer.status === 200) {
        const body = answer.body as { crook: number; calls: WireRecord[] };
        if (agentEpoch === this.agentEpoch && this.execute(body.crook, body.calls))
          this.leaseFrom = Math.max(this.leaseFrom, sentAt);
        if (body.calls.length > 0) pause = 500;
      } else {
        const holderNode =
          answer._tag === 'response' && answer.status === 421 ? readRedirect(answer.body) : undefined;
        const next = holderNode === undefined ? -1 : this.world.nodes.indexOf(holderNode);
        pause = next >= 0 && next !== this.target ? 100 : 1_000;
        this.target = next >= 0 && next !== this.target ? next : (this.target + 1) % this.world.nodes.length;
      }
      await new Promise((resolve) => setTimeout(resolve, pause));
    }
  }
}
