/**
 * Guards against a task that runs on two machines, or after its cancellation, because a copy of the direct
 * `run` that once started it reaches the worker again: after `reap` the worker would start the attempt anew.
 * A worker of the stand-ins executes what a shard's holder sends, and then each direct command once more.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobSpec, machineRecord } from '../testing/bodies.js';
import { createStandInJob } from '../testing/cluster.js';
import { SeededRandom } from '../testing/seeded-random.js';
import { SimulatedEnvironment } from '../testing/simulated-environment.js';
import { WorkerStandIn } from '../testing/worker-stand-in.js';
import { readWorkerHeartbeat, writeCommands, writeDirectCommands } from '../workers/codec.js';
import type { Command } from '../workers/model.js';
import type { DirectResult } from '../workers/worker-client.js';
import { MAX_FORGET_COMMAND_DELAY_MS } from '../constants/workers.js';
import { DirectCommands } from './direct-commands.js';
import { bindingKey, type Binding, type ShardMachine } from './shard-model.js';
import { ShardState } from './shard-state.js';
import { WorkerSessions } from './worker-sessions.js';
import { WorkerTokens } from './worker-tokens.js';

const MACHINE = 'i-1';
const TASK = 'job-000001/0';
const ATTEMPT = 1;
const LEASE_MS = 20_000;
const HEARTBEAT_INTERVAL_MS = 3_000;
const FIRST_CLAIM = 50;
const LATER_CLAIM = 80;
const RECORD_REVISION = 40;
const TRANSFER_REVISION = 90;

/** A direct command as the worker receives it. */
type DirectRequest = ReturnType<typeof writeDirectCommands>;
/** A command on the wire. */
type WireCall = Parameters<WorkerStandIn['execute']>[1][number];

const NO_TASK_LIMITS = new Map<string, number>();

/** One holder of a shard, as far as workers meet it. */
class Holder {
  now = 1_000_000;
  /** The revision up to which this holder has seen every change of the shared keys. */
  appliedRevision = FIRST_CLAIM;
  /** Whether the answers to direct commands are lost. */
  losesAnswers = false;
  readonly shardState = new ShardState({
    now: () => this.now,
    wall: () => this.now,
    requestRound: () => undefined,
  });
  readonly machine: ShardMachine;
  readonly directCommands: DirectCommands;
  private readonly sessions: WorkerSessions;

  constructor(
    claim: number,
    recordRevision: number,
    private readonly worker: WorkerStandIn,
    private readonly sent: DirectRequest[],
  ) {
    const tokens = new WorkerTokens({ claim, appliedRevision: () => this.appliedRevision });
    const shared = {
      shardState: this.shardState,
      tokens,
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
  }

  private send(token: number, agentEpoch: number, commands: readonly Command[]): Promise<DirectResult> {
    const request = writeDirectCommands(token, agentEpoch, commands);
    this.sent.push(request);
    const executed = deliver(this.worker, request);
    const heartbeat = readWorkerHeartbeat(this.worker.nextHeartbeat());
    if (this.losesAnswers || !heartbeat) return Promise.resolve({ _tag: 'unknown' });
    return Promise.resolve({ _tag: executed ? 'executed' : 'refused', heartbeat });
  }

  /** Sends the worker's heartbeat, and the answer to it unless it is lost; returns the names of the calls. */
  report(isAnswerLost = false): readonly unknown[] {
    this.now += HEARTBEAT_INTERVAL_MS;
    const heartbeat = readWorkerHeartbeat(this.worker.nextHeartbeat());
    assert.ok(heartbeat && this.sessions.onHeartbeat(heartbeat));
    const answer = this.sessions.commandsFor(heartbeat);
    assert.ok(answer);
    const { crook, calls } = writeCommands(answer.token, answer.commands) as {
      readonly crook: number;
      readonly calls: readonly WireCall[];
    };
    if (!isAnswerLost) assert.ok(this.worker.execute(crook, calls), 'the token is never lowered');
    return calls.map(({ call }) => call);
  }

  /** Reports until exited tasks are due to be forgotten, and once more. */
  reportUntilForgotten(): void {
    this.report();
    this.now += MAX_FORGET_COMMAND_DELAY_MS;
    this.report();
    this.report();
  }

  /** Binds the task and starts it with a direct command. */
  async start(): Promise<Binding> {
    const spec = jobSpec('job-000001', { kind: 'array', tasks: 1 });
    const job = this.shardState.applyJobRecord(
      { spec, at: 0, cancelled: false, cancelledAt: null, dependsOn: [], parts: 0 },
      1,
    );
    const binding = this.shardState.bind(job, 0, ATTEMPT, this.machine, { _tag: 'bound' });
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
}

/** Delivers a direct command to a worker as the network does; returns whether it was executed. */
const deliver = (worker: WorkerStandIn, request: DirectRequest): boolean => {
  const { crook, stint, calls } = request as {
    readonly crook: number;
    readonly stint: number;
    readonly calls: readonly WireCall[];
  };
  return stint === worker.agentEpoch && worker.execute(crook, calls);
};

/** A worker with one machine, its holder, and all direct commands that were sent to it. */
class Scenario {
  readonly sent: DirectRequest[] = [];
  readonly worker: WorkerStandIn;
  readonly holder: Holder;

  constructor() {
    const environment = new SimulatedEnvironment(
      ['n0'],
      new SeededRandom(1),
      LEASE_MS,
      HEARTBEAT_INTERVAL_MS,
      NO_TASK_LIMITS,
      2 * LEASE_MS,
    );
    environment.jobs.set('job-000001', createStandInJob(1, {}, 60_000));
    this.worker = new WorkerStandIn(MACHINE, 'x', false, environment);
    this.holder = this.successor(FIRST_CLAIM, RECORD_REVISION);
    this.holder.report();
    this.holder.report();
  }

  successor(claim: number, recordRevision: number): Holder {
    const holder = new Holder(claim, recordRevision, this.worker, this.sent);
    holder.appliedRevision = Math.max(claim, recordRevision);
    return holder;
  }

  /** Delivers every direct command once more, and requires that none of them starts a task. */
  repeatAll(): void {
    const before = this.worker.tasks.get(TASK)?.state;
    for (const request of this.sent) deliver(this.worker, request);
    assert.equal(this.worker.tasks.get(TASK)?.state, before, 'a copy of a command started the task again');
  }

  requireForgotten(): void {
    assert.equal(this.worker.tasks.has(TASK), false, 'the worker has been told to forget the attempt');
  }
}

const scenarios: readonly { readonly name: string; readonly run: (s: Scenario) => Promise<void> }[] = [
  {
    name: 'after the task was preempted and forgotten',
    run: async (s) => {
      const binding = await s.holder.start();
      s.holder.appliedRevision += 1;
      s.holder.preempt(binding);
      s.repeatAll();
      s.holder.reportUntilForgotten();
      s.requireForgotten();
    },
  },
  {
    name: 'after the worker had no room for the task and was told to forget the refusal',
    run: async (s) => {
      const other = createStandInJob(2, { accelerators: 8 }, 60_000);
      s.worker.tasks.set('job-000002/0', {
        job: other,
        index: 0,
        attempt: ATTEMPT,
        state: 'running',
        cause: '',
        readyAt: 0,
        startedAt: 0,
      });
      await s.holder.start();
      assert.equal(s.worker.tasks.get(TASK)?.cause, 'no_room');
      s.holder.appliedRevision += 1;
      s.worker.tasks.delete('job-000002/0');
      s.holder.reportUntilForgotten();
      s.requireForgotten();
    },
  },
  {
    name: 'after a command whose answer was lost',
    run: async (s) => {
      s.holder.losesAnswers = true;
      const binding = await s.holder.start();
      s.holder.appliedRevision += 1;
      s.holder.report();
      s.holder.preempt(binding);
      s.holder.reportUntilForgotten();
      s.requireForgotten();
    },
  },
  {
    name: 'before the answer that tells the worker to forget arrives',
    run: async (s) => {
      const binding = await s.holder.start();
      s.holder.appliedRevision += 1;
      s.holder.preempt(binding);
      s.holder.now += MAX_FORGET_COMMAND_DELAY_MS;
      assert.deepEqual(s.holder.report(true), ['reap']);
      s.repeatAll();
      assert.notEqual(s.holder.machine.confirmedToken, 0);
      s.holder.reportUntilForgotten();
      assert.notEqual(s.holder.machine.confirmedToken, 0, 'a lost answer with a raised token costs nothing');
      s.requireForgotten();
    },
  },
  {
    name: 'after a later holder of the shard had the worker forget the task',
    run: async (s) => {
      s.holder.preempt(await s.holder.start());
      s.successor(LATER_CLAIM, RECORD_REVISION).reportUntilForgotten();
      s.requireForgotten();
    },
  },
  {
    name: 'after the machine moved to another shard, whose holder had the worker forget the task',
    run: async (s) => {
      s.holder.preempt(await s.holder.start());
      s.successor(FIRST_CLAIM + 1, TRANSFER_REVISION).reportUntilForgotten();
      s.requireForgotten();
    },
  },
  {
    name: 'after the machine moved to another shard, before its holder is known to the worker',
    run: async (s) => {
      const binding = await s.holder.start();
      s.holder.appliedRevision += 1;
      s.holder.preempt(binding);
      s.holder.reportUntilForgotten();
      s.requireForgotten();
      s.repeatAll();
      s.successor(FIRST_CLAIM + 1, TRANSFER_REVISION).report();
    },
  },
  {
    name: 'after the session of the worker ended with all its tasks',
    run: async (s) => {
      await s.holder.start();
      s.worker.agentEpoch += 1;
      s.worker.tasks.clear();
    },
  },
];
for (const { name, run } of scenarios)
  test(`a repeated direct run starts nothing: ${name}`, async () => {
    const scenario = new Scenario();
    await run(scenario);
    assert.ok(scenario.sent.length > 0, 'the task was started by a direct command');
    scenario.repeatAll();
  });

test('an attempt is not forgotten before a revision above the token of its direct run is known', async () => {
  const scenario = new Scenario();
  const { holder, worker } = scenario;
  holder.preempt(await holder.start());
  holder.reportUntilForgotten();
  assert.equal(worker.tasks.get(TASK)?.state, 'exited');
  scenario.repeatAll();
  holder.appliedRevision += 1;
  holder.report();
  scenario.requireForgotten();
  assert.equal(worker.token, FIRST_CLAIM + 1);
  scenario.repeatAll();
});

test('the token is not raised while the answer to a direct run is awaited: it would be refused', async () => {
  const scenario = new Scenario();
  const { holder, worker } = scenario;
  holder.preempt(await holder.start());
  holder.report();
  holder.appliedRevision += 1;
  const key = bindingKey('job-000001', 1, 2);
  holder.machine.directRuns.set(key, { token: FIRST_CLAIM, agentEpoch: 1, outcome: 'pending' });
  holder.now += MAX_FORGET_COMMAND_DELAY_MS;
  holder.report();
  assert.equal(worker.token, FIRST_CLAIM);
  assert.equal(worker.tasks.get(TASK)?.state, 'exited');
  holder.machine.directRuns.delete(key);
  holder.report();
  scenario.requireForgotten();
});

test('a task that no direct command started is forgotten without a higher token', () => {
  const { holder, worker } = new Scenario();
  holder.appliedRevision += 1;
  worker.execute(FIRST_CLAIM, [{ call: 'run', head: TASK, try: ATTEMPT }]);
  holder.report();
  holder.reportUntilForgotten();
  assert.equal(worker.tasks.has(TASK), false);
  assert.equal(worker.token, FIRST_CLAIM);
});

test('commands that the worker refuses for good are not kept', async () => {
  const { holder } = new Scenario();
  const binding = await holder.start();
  assert.equal(holder.machine.directRuns.size, 1);
  holder.appliedRevision += 1;
  holder.preempt(binding);
  holder.reportUntilForgotten();
  assert.equal(holder.machine.directRuns.size, 0);
});
