/**
 * One holder of a shard as a single worker meets it: the product's worker sessions, direct commands and
 * tokens around a stand-in of the worker, without rounds, records and network. Tests deliver, lose and repeat
 * the messages themselves.
 */
import assert from 'node:assert/strict';
import { MAX_FORGET_COMMAND_DELAY_MS } from '../constants/workers.js';
import { DirectCommands } from '../placement/direct-commands.js';
import { chunkOf } from '../placement/run-records.js';
import { bindingKey, type Binding, type Chunk, type ShardMachine } from '../placement/shard-model.js';
import { ShardState } from '../placement/shard-state.js';
import { WorkerSessions } from '../placement/worker-sessions.js';
import { WorkerTokens, type WorkerTokensDependencies } from '../placement/worker-tokens.js';
import { readWorkerHeartbeat, writeCommands, writeDirectCommands } from '../workers/codec.js';
import type { Command } from '../workers/model.js';
import type { DirectResult } from '../workers/worker-client.js';
import { jobSpec, machineRecord } from './bodies.js';
import { createStandInJob } from './cluster.js';
import { SeededRandom } from './seeded-random.js';
import { SimulatedEnvironment } from './simulated-environment.js';
import { WorkerStandIn } from './worker-stand-in.js';

/** The machine of the worker. */
const MACHINE = 'i-1';
/** The job whose tasks are started. */
export const JOB = 'job-000001';
const LEASE_MS = 20_000;
const HEARTBEAT_INTERVAL_MS = 3_000;
const JOB_TASKS = 8;

/** A direct command as it arrives at a worker. */
export interface DirectRequest {
  readonly crook: number;
  readonly stint: number;
  readonly calls: Parameters<WorkerStandIn['execute']>[1];
}

/** What the network does with a direct command: it may also lose the answer, or keep the command. */
export type DirectDelivery = 'answered' | 'answerLost' | 'kept';

/** A worker of the stand-ins that knows the job `JOB`. */
export const createWorker = (): WorkerStandIn => {
  const limits = new Map<string, number>();
  const random = new SeededRandom(1);
  const environment = new SimulatedEnvironment(
    ['n0'],
    random,
    LEASE_MS,
    HEARTBEAT_INTERVAL_MS,
    limits,
    LEASE_MS,
  );
  environment.jobs.set(JOB, createStandInJob(1, { heads: JOB_TASKS }, LEASE_MS));
  return new WorkerStandIn(MACHINE, 'x', false, environment);
};

/** Delivers a direct command to a worker; returns whether the worker executed it. */
export const deliverDirect = (worker: WorkerStandIn, { crook, stint, calls }: DirectRequest): boolean =>
  stint === worker.agentEpoch && worker.execute(crook, calls);

/** What a holder has in common with the other holders of a test. */
export interface WorkerHolderContext {
  readonly worker: WorkerStandIn;
  /** Receives each direct command that is sent. */
  readonly sent: DirectRequest[];
  /** Creates the tokens of a holder; the product's unless a test of the check replaces them. */
  readonly createTokens?: ((dependencies: WorkerTokensDependencies) => WorkerTokens) | undefined;
}

/** One holder of a shard, with one machine. */
export class WorkerHolder {
  /** ms on the steady clock. */
  now = 1_000_000;
  delivery: DirectDelivery = 'answered';
  readonly shardState = new ShardState({
    now: () => this.now,
    wall: () => this.now,
    requestRound: () => undefined,
  });
  readonly machine: ShardMachine;
  readonly directCommands: DirectCommands;
  private readonly sessions: WorkerSessions;

  /**
   * @param appliedRevision - The revision up to which this holder has seen every change of the shared keys.
   */
  constructor(
    readonly claim: number,
    recordRevision: number,
    public appliedRevision: number,
    private readonly context: WorkerHolderContext,
  ) {
    const tokenDependencies = { claim, appliedRevision: () => this.appliedRevision };
    const shared = {
      shardState: this.shardState,
      tokens: context.createTokens?.(tokenDependencies) ?? new WorkerTokens(tokenDependencies),
      now: () => this.now,
      isLoaded: () => true,
      requestRound: () => undefined,
    };
    this.sessions = new WorkerSessions({
      ...shared,
      leaseMs: LEASE_MS,
      isPlacing: () => true,
      isCancelled: () => false,
    });
    this.directCommands = new DirectCommands({
      ...shared,
      isLost: () => false,
      sendCommands: (_addr, token, agentEpoch, commands) => this.send(token, agentEpoch, commands),
    });
    const total = { cpus: 64, gpus: 8, memoryGb: 256 };
    this.machine = this.shardState.addMachine(MACHINE, machineRecord(), recordRevision, total);
    this.shardState.applyJobRecord(
      {
        spec: jobSpec(JOB, { kind: 'array', tasks: JOB_TASKS }),
        at: 0,
        cancelled: false,
        cancelledAt: null,
        dependsOn: [],
        parts: 0,
      },
      1,
    );
  }

  private send(token: number, agentEpoch: number, commands: readonly Command[]): Promise<DirectResult> {
    const { worker, sent } = this.context;
    const request = writeDirectCommands(token, agentEpoch, commands) as DirectRequest;
    sent.push(request);
    if (this.delivery === 'kept') return Promise.resolve({ _tag: 'unknown' });
    const executed = deliverDirect(worker, request);
    const heartbeat = readWorkerHeartbeat(worker.nextHeartbeat());
    if (this.delivery === 'answerLost' || !heartbeat) return Promise.resolve({ _tag: 'unknown' });
    return Promise.resolve({ _tag: executed ? 'executed' : 'refused', heartbeat });
  }

  /**
   * Passes the worker's next heartbeat to this holder, and the answer to the worker unless it is lost.
   * Returns the names of the calls in the answer; null: the heartbeat was not accepted.
   */
  report(isAnswerLost = false): readonly unknown[] | null {
    this.now += HEARTBEAT_INTERVAL_MS;
    const heartbeat = readWorkerHeartbeat(this.context.worker.nextHeartbeat());
    if (!heartbeat || !this.sessions.onHeartbeat(heartbeat)) return null;
    const answer = this.sessions.commandsFor(heartbeat);
    assert.ok(answer);
    const { crook, calls } = writeCommands(answer.token, answer.commands) as Omit<DirectRequest, 'stint'>;
    if (!isAnswerLost) this.context.worker.execute(crook, calls);
    return calls.map(({ call }) => call);
  }

  /** Reports until exited tasks are due to be forgotten, and once more. */
  reportUntilForgotten(): void {
    this.report();
    this.now += MAX_FORGET_COMMAND_DELAY_MS;
    this.report();
    this.report();
  }

  /** Adds the binding of an attempt that is durable. */
  bind(index: number, attempt: number): Binding {
    const job = this.shardState.jobs.get(JOB);
    assert.ok(job);
    return this.shardState.bind(job, index, attempt, this.machine, { _tag: 'bound' });
  }

  /** Binds a task, and starts it with a direct command. */
  async start(index = 0, attempt = 1): Promise<Binding> {
    const binding = this.bind(index, attempt);
    this.directCommands.sendRuns([binding]);
    await Promise.resolve();
    return binding;
  }

  /** Stops the task as preemption does, and lets the worker report that it has exited. */
  preempt(binding: Binding): void {
    this.shardState.stop(binding, 'evicted', 0);
    this.report();
    this.report();
    assert.equal(binding.phase._tag, 'gone');
  }

  /** Sets the attempts that the stored runs bind, by their keys. */
  setDurable(keys: ReadonlySet<string>): void {
    const chunk: Chunk = { version: 1, parts: 0, durable: keys, dirtySince: null };
    this.shardState.jobs.get(JOB)?.chunks.set(chunkOf(0), chunk);
  }
}

/** The key of an attempt of a task of `JOB`. */
export const attemptKeyOf = (index: number, attempt: number): string => bindingKey(JOB, index, attempt);
