/**
 * Guards against a task that runs on two machines, or after its cancellation, because a copy of the direct
 * `run` that once started it reaches the worker again: once the worker has dropped the attempt, it would
 * start it anew. After each of the events below every direct command is delivered once more.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MAX_FORGET_COMMAND_DELAY_MS } from '../constants/workers.js';
import { createStandInJob } from '../testing/cluster.js';
import {
  createWorker,
  deliverDirect,
  JOB,
  WorkerHolder,
  type DirectRequest,
} from '../testing/worker-holder.js';
import type { TaskOnMachine } from '../testing/worker-stand-in.js';
import { recordDirectRun, removeDirectRun } from './direct-runs.js';

const TASK = `${JOB}/0`;
const OTHER_TASK = 'job-000002/0';
const FIRST_CLAIM = 50;
const LATER_CLAIM = 80;
const RECORD_REVISION = 40;
const TRANSFER_REVISION = 90;

/** A task of another job that takes the whole machine. */
const wholeMachineTask = (): TaskOnMachine => ({
  job: createStandInJob(2, { accelerators: 8 }, 60_000),
  index: 0,
  attempt: 1,
  state: 'running',
  cause: '',
  readyAt: 0,
  startedAt: 0,
});

/** A worker, the holder of its machine's shard, and all direct commands that were sent to it. */
class Scenario {
  readonly sent: DirectRequest[] = [];
  readonly worker = createWorker();
  readonly holder: WorkerHolder;

  constructor() {
    this.holder = this.holderUnder(FIRST_CLAIM, RECORD_REVISION);
    this.holder.report();
    this.holder.report();
  }

  holderUnder(claim: number, recordRevision: number): WorkerHolder {
    return new WorkerHolder(claim, recordRevision, Math.max(claim, recordRevision), this);
  }

  /** Starts the task directly, and preempts it once another change of the store is known. */
  async startAndPreempt(attempt = 1): Promise<void> {
    const binding = await this.holder.start(0, attempt);
    this.holder.appliedRevision += 1;
    this.holder.preempt(binding);
  }

  private tasks(): readonly string[] {
    return [...this.worker.tasks].map(([task, { attempt, state }]) => `${task}#${attempt} ${state}`);
  }

  /** Delivers every direct command once more, and requires that none of them starts a task. */
  repeatAll(): void {
    const before = this.tasks();
    for (const request of this.sent) deliverDirect(this.worker, request);
    assert.deepEqual(this.tasks(), before, 'a copy of a command started a task again');
  }

  requireForgotten(): void {
    assert.equal(this.worker.tasks.has(TASK), false, 'the worker has been told to forget the attempt');
  }
}

const scenarios: readonly {
  readonly name: string;
  readonly run: (scenario: Scenario) => Promise<void>;
}[] = [
  {
    name: 'after the task was preempted and forgotten',
    run: async (scenario) => {
      await scenario.startAndPreempt();
      scenario.repeatAll();
      scenario.holder.reportUntilForgotten();
      scenario.requireForgotten();
    },
  },
  {
    name: 'after the worker had no room for the task and was told to forget the refusal',
    run: async (scenario) => {
      const { holder, worker } = scenario;
      worker.tasks.set(OTHER_TASK, wholeMachineTask());
      await holder.start();
      assert.equal(worker.tasks.get(TASK)?.cause, 'no_room');
      holder.appliedRevision += 1;
      worker.tasks.delete(OTHER_TASK);
      holder.reportUntilForgotten();
      scenario.requireForgotten();
    },
  },
  {
    name: 'after a command whose answer was lost',
    run: async (scenario) => {
      const { holder } = scenario;
      holder.delivery = 'answerLost';
      const binding = await holder.start();
      holder.appliedRevision += 1;
      holder.report();
      holder.preempt(binding);
      holder.reportUntilForgotten();
      scenario.requireForgotten();
    },
  },
  {
    name: 'before the answer that tells the worker to forget arrives',
    run: async (scenario) => {
      const { holder } = scenario;
      await scenario.startAndPreempt();
      holder.now += MAX_FORGET_COMMAND_DELAY_MS;
      assert.deepEqual(holder.report(true), ['reap']);
      scenario.repeatAll();
      holder.reportUntilForgotten();
      assert.notEqual(holder.machine.confirmedToken, 0, 'a lost answer with a raised token costs nothing');
      scenario.requireForgotten();
    },
  },
  {
    name: 'after a later attempt of the task took its place by a direct command',
    run: async (scenario) => {
      await scenario.startAndPreempt();
      await scenario.startAndPreempt(2);
      assert.equal(scenario.worker.tasks.get(TASK)?.attempt, 2);
    },
  },
  {
    name: 'after a later attempt of the task took its place by the answer to a heartbeat',
    run: async (scenario) => {
      await scenario.startAndPreempt();
      const binding = scenario.holder.bind(0, 2);
      assert.deepEqual(scenario.holder.report(), ['run', 'reap']);
      scenario.holder.preempt(binding);
      assert.equal(scenario.worker.tasks.get(TASK)?.attempt, 2);
    },
  },
  {
    name: 'after a later holder of the shard had the worker forget the task',
    run: async (scenario) => {
      await scenario.startAndPreempt();
      scenario.holderUnder(LATER_CLAIM, RECORD_REVISION).reportUntilForgotten();
      scenario.requireForgotten();
    },
  },
  {
    name: 'after the machine moved to another shard, whose holder had the worker forget the task',
    run: async (scenario) => {
      await scenario.startAndPreempt();
      scenario.holderUnder(FIRST_CLAIM + 1, TRANSFER_REVISION).reportUntilForgotten();
      scenario.requireForgotten();
    },
  },
  {
    name: 'after the machine moved to another shard, before its holder is known to the worker',
    run: async (scenario) => {
      await scenario.startAndPreempt();
      scenario.holder.reportUntilForgotten();
      scenario.requireForgotten();
      scenario.repeatAll();
      scenario.holderUnder(FIRST_CLAIM + 1, TRANSFER_REVISION).report();
    },
  },
  {
    name: 'after the session of the worker ended with all its tasks',
    run: async (scenario) => {
      await scenario.holder.start();
      scenario.worker.agentEpoch += 1;
      scenario.worker.tasks.clear();
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

test('a later attempt is not started before such a revision is known either', async () => {
  const scenario = new Scenario();
  const { holder, worker } = scenario;
  holder.preempt(await holder.start());
  const sentBefore = scenario.sent.length;
  await holder.start(0, 2);
  assert.equal(scenario.sent.length, sentBefore, 'no direct command is sent');
  assert.deepEqual(holder.report(), []);
  assert.equal(worker.tasks.get(TASK)?.attempt, 1);
  holder.appliedRevision += 1;
  assert.deepEqual(holder.report(), ['run', 'reap']);
  assert.equal(worker.tasks.get(TASK)?.attempt, 2);
  scenario.repeatAll();
});

test('the token is not raised while the answer to a direct run is awaited: it would be refused', async () => {
  const scenario = new Scenario();
  const { holder, worker } = scenario;
  holder.preempt(await holder.start());
  holder.report();
  holder.appliedRevision += 1;
  const pending = recordDirectRun(holder.machine, { job: JOB, index: 1, attempt: 2 }, FIRST_CLAIM);
  holder.now += MAX_FORGET_COMMAND_DELAY_MS;
  holder.report();
  assert.equal(worker.token, FIRST_CLAIM);
  assert.equal(worker.tasks.get(TASK)?.state, 'exited');
  removeDirectRun(holder.machine, pending);
  holder.report();
  scenario.requireForgotten();
});

test('a task that no direct command started is forgotten without a higher token', () => {
  const scenario = new Scenario();
  const { holder, worker } = scenario;
  holder.appliedRevision += 1;
  worker.execute(FIRST_CLAIM, [{ call: 'run', head: TASK, try: 1 }]);
  holder.report();
  holder.reportUntilForgotten();
  scenario.requireForgotten();
  assert.equal(worker.token, FIRST_CLAIM);
});

test('commands that the worker refuses for good are not kept', async () => {
  const scenario = new Scenario();
  await scenario.startAndPreempt();
  assert.equal(scenario.holder.machine.directRuns.size, 1);
  scenario.holder.reportUntilForgotten();
  assert.equal(scenario.holder.machine.directRuns.size, 0);
});
