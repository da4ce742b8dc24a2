import assert from 'node:assert/strict';
import { mock, test } from 'node:test';
import type { CallOutcome } from '../http/model.js';
import { CANCEL_MS, Cluster, createStandInJob, NODES, STEP_MS, runDueCallbacks } from '../testing/cluster.js';
import { SeededRandom } from '../testing/seeded-random.js';
import { SimulatedEnvironment } from '../testing/simulated-environment.js';
import type { StandInJob } from '../testing/worker-stand-in.js';

/**
 * The main path of the service, end to end, against the stand-ins: message loss, delays and restarts, on
 * virtual time and from one seed per test.
 */
const LIMITS = new Map([
  ['red', 24],
  ['blue', 16],
]);

type Fault = (env: SimulatedEnvironment, cluster: Cluster) => void;
const scenarios: readonly {
  name: string;
  seed: number;
  loss: number;
  faults: readonly (readonly [number, Fault])[];
  duplicateProbability?: number;
  /** The largest number of times that one task may start. */
  maxStarts?: number;
}[] = [
  { name: 'no faults', seed: 1, loss: 0, faults: [] },
  { name: 'messages are lost, and some are delivered late', seed: 2, loss: 0.01, faults: [] },
  {
    name: 'one controller is killed and restarts immediately, then all three',
    seed: 3,
    loss: 0.002,
    faults: [
      [15, (_, cluster) => cluster.stop('n0')],
      [15.3, (_, cluster) => cluster.start('n0')],
      [30, (_, cluster) => NODES.forEach((node) => cluster.stop(node))],
      [33, (_, cluster) => NODES.forEach((node) => cluster.start(node))],
    ],
  },
  {
    name: 'a store outage longer than a lease, one controller refused by the store, machines failing',
    seed: 4,
    loss: 0.002,
    faults: [
      [20, (env) => env.state.setOutage(true)],
      [40, (env) => env.state.setOutage(false)],
      [50, (env) => env.state.refused.add('n1')],
      [
        55,
        (env) =>
          [...env.machines.values()]
            .filter((machine) => machine.tasks.size > 0)
            .slice(0, 1)
            .forEach((machine) => env.terminateMachine(machine.id)),
      ],
      [65, (env) => env.state.refused.delete('n1')],
    ],
  },
  {
    name: 'machines with tasks are cut off: for less than their lease, then for longer',
    seed: 5,
    loss: 0.001,
    faults: [
      [24, (env) => env.machines.forEach((machine) => (machine.isPartitioned = machine.tasks.size > 0))],
      [36, (env) => env.machines.forEach((machine) => (machine.isPartitioned = false))],
      [48, (env) => env.machines.forEach((machine) => (machine.isPartitioned = machine.tasks.size > 0))],
      [70, (env) => env.machines.forEach((machine) => (machine.isPartitioned = false))],
    ],
  },
  // The agent epoch of such a machine increases when its lease expires, which proves that its tasks are gone.
  // A gang must not be bound to the machine again and again.
  {
    name: 'machines with tasks send heartbeats but receive nothing, for a long time',
    seed: 6,
    loss: 0,
    faults: [
      [
        24,
        (env) =>
          [...env.machines.values()]
            .filter((machine) => machine.tasks.size > 0)
            .slice(0, 2)
            .forEach((machine) => (machine.deaf = true)),
      ],
      [140, (env) => env.machines.forEach((machine) => (machine.deaf = false))],
    ],
    maxStarts: 3,
  },
  // A late copy of a heartbeat proves neither that a task is gone nor that its machine still exists. A late
  // copy of a request that took effect changes nothing.
  {
    name: 'messages arrive twice, the copy 1 s, one lease or three leases later, across takeovers and moves',
    seed: 8,
    loss: 0.001,
    duplicateProbability: 0.15,
    faults: [
      [22, (_, cluster) => cluster.stop('n1')],
      [22.1, (_, cluster) => cluster.start('n1')],
      [40, (_, cluster) => cluster.stop('n0')],
      [52, (_, cluster) => cluster.start('n0')],
      [60, (_, cluster) => NODES.forEach((node) => cluster.stop(node))],
      [60.1, (_, cluster) => NODES.forEach((node) => cluster.start(node))],
    ],
  },
  // The controller cannot learn of a new holder, so it must stop answering its workers by itself before a new
  // holder commands them.
  {
    name: 'a controller loses the store and its peers, but not its workers; then another one does',
    seed: 9,
    loss: 0,
    faults: [
      [20, (env) => env.partition('n0', ['state', 'mesh-n1', 'mesh-n2'])],
      [50, (env) => env.partition('n0', [])],
      [62, (env) => env.partition('n1', ['state', 'mesh-n0', 'mesh-n2'])],
      [85, (env) => env.partition('n1', [])],
    ],
  },
  {
    name: 'processes restart within 0.1 s, several times in a row, also while claims are taken over',
    seed: 10,
    loss: 0.001,
    faults: [20, 20.4, 21, 25, 25.3, 26, 30.2, 30.4].flatMap((at, k) => {
      const node = NODES[k % 2] ?? 'n0';
      return [
        [at, (_: SimulatedEnvironment, cluster: Cluster) => cluster.stop(node)],
        [at + 0.1, (_: SimulatedEnvironment, cluster: Cluster) => cluster.start(node)],
      ] as const;
    }),
  },
  {
    name: 'connections between controllers are refused for a long time',
    seed: 11,
    loss: 0,
    faults: [
      [
        18,
        (env) =>
          NODES.forEach((node) =>
            env.partition(
              node,
              NODES.map((other) => `mesh-${other}`),
            ),
          ),
      ],
      [80, (env) => NODES.forEach((node) => env.partition(node, []))],
    ],
  },
];

for (const scenario of scenarios) {
  test(`service: ${scenario.name}`, { timeout: 120_000 }, async () => {
    mock.timers.enable({ apis: ['setTimeout', 'Date'], now: 1_700_000_000_000 });
    const env = new SimulatedEnvironment(
      NODES,
      new SeededRandom(scenario.seed),
      15_000,
      3_000,
      LIMITS,
      CANCEL_MS,
    );
    const cluster = new Cluster(env);
    try {
      const begin = Date.now();
      NODES.forEach((node) => cluster.start(node));
      for (let k = 0; k < 4; k += 1) env.bootMachine(k % 2 === 0 ? 'x' : 'y', false, 100);
      env.lossProbability = scenario.loss;
      env.duplicateProbability = scenario.duplicateProbability ?? 0;
      env.duplicateDelaysMs = [1_000, 15_000, 45_000];

      const jobs: StandInJob[] = [];
      for (let n = 0; n < 16; n += 1) {
        if (n % 4 === 1)
          jobs.push(
            createStandInJob(
              n,
              { shape: 'group', heads: 2, accelerators: 8, vcpus: 60, together: true, owner: 'red' },
              8_000,
            ),
          );
        else if (n % 4 === 3)
          jobs.push(createStandInJob(n, { owner: 'blue', heads: 7, agistment: true }, 12_000));
        else jobs.push(createStandInJob(n, { heads: 1 + (n % 5) }, 8_000 + 1_500 * n));
      }
      /** A user: submits a job until it is accepted and polls until it is done; one user cancels the job. */
      const simulateUser = async (job: StandInJob, order: number): Promise<void> => {
        await new Promise((resolve) => setTimeout(resolve, 3_000 + order * 4_000));
        const request = (method: string, path: string, body?: unknown): Promise<CallOutcome> =>
          env.call('user', NODES[env.random.below(3)] ?? 'n0', method, path, body, 2_000);
        env.jobs.set(job.id, job);
        for (;;) {
          const answer = await request('POST', '/v2/runs', job.body);
          if (answer._tag === 'response' && (answer.status === 201 || answer.status === 200)) break;
          if (answer._tag === 'response' && answer.status < 500)
            env.violations.push(`refused ${job.id} ${answer.status}`);
          await new Promise((resolve) => setTimeout(resolve, 1_000));
        }
        job.accepted = true;
        if (order === 6) {
          await new Promise((resolve) => setTimeout(resolve, 6_000));
          for (;;) {
            const answer = await request('POST', `/v2/runs/${job.id}/abort`);
            if (answer._tag === 'response' && answer.status === 200) {
              if ((answer.body as { status: string }).status === 'withdrawn') job.cancelledAt = Date.now();
              break;
            }
            await new Promise((resolve) => setTimeout(resolve, 1_000));
          }
        }
        for (;;) {
          const answer = await request('GET', `/v2/runs/${job.id}`);
          if (answer._tag === 'response' && answer.status === 404) env.violations.push(`forgotten ${job.id}`);
          if (answer._tag === 'response' && answer.status === 200) {
            const { status } = answer.body as { status: string };
            if (status === 'done' && !env.areAllTasksDone(job)) env.violations.push(`not_done ${job.id}`);
            if (job.cancelledAt !== null && status !== 'withdrawn')
              env.violations.push(`went_back ${job.id} ${status}`);
            if (job.cancelledAt === null && status === 'withdrawn')
              env.violations.push(`went_back ${job.id} ${status}`);
            if (status === 'done' || status === 'withdrawn') {
              job.isFinalStatusReported = true;
              return;
            }
          }
          await new Promise((resolve) => setTimeout(resolve, 2_000));
        }
      };
      jobs.forEach((job, order) => void simulateUser(job, order));

      /**
       * Asks each controller for each accepted job, 60 s after the last fault. The rule allows 75 s without
       * an answer; a job without status 200 in 5 attempts counts as forgotten.
       */
      const queryAllJobs = async (): Promise<void> => {
        for (const node of NODES) {
          for (const job of jobs.filter((other) => other.accepted)) {
            let known = false;
            for (let tries = 0; tries < 5 && !known; tries += 1) {
              const answer = await env.call('user', node, 'GET', `/v2/runs/${job.id}`, undefined, 2_000);
              known = answer._tag === 'response' && answer.status === 200;
            }
            if (!known) env.violations.push(`forgotten ${job.id} at ${node}`);
          }
        }
      };
      const faults = [...scenario.faults];
      const end = begin + 400_000;
      const lastFault = begin + (faults.at(-1)?.[0] ?? 0) * 1000;
      let areJobsQueried = false;
      while (Date.now() < end && !(areJobsQueried && jobs.every((job) => job.isFinalStatusReported))) {
        if (!areJobsQueried && Date.now() > lastFault + 60_000) {
          areJobsQueried = true;
          void queryAllJobs();
        }
        mock.timers.tick(STEP_MS);
        await runDueCallbacks();
        env.step();
        while (faults[0] && Date.now() - begin >= faults[0][0] * 1000) faults.shift()?.[1](env, cluster);
      }
      assert.deepEqual(env.violations, []);
      assert.deepEqual(
        jobs.filter((job) => !job.isFinalStatusReported).map((job) => job.id),
        [],
        'every job has ended and its user was told so',
      );
      assert.ok(
        env.starts.length >= jobs.reduce((sum, job) => sum + (job.cancelledAt === null ? job.tasks : 0), 0),
      );
      assert.equal(faults.length, 0, 'the scenario was long enough for its faults');
      const starts = new Map<string, number>();
      for (const start of env.starts) {
        const task = start.slice(0, start.indexOf('@'));
        starts.set(task, (starts.get(task) ?? 0) + 1);
      }
      if (scenario.maxStarts !== undefined)
        assert.ok(Math.max(...starts.values()) <= scenario.maxStarts, 'no task starts again and again');
      // No record of a terminated machine remains: late heartbeats must not restore a record permanently.
      env.duplicateProbability = 0;
      for (const until = Date.now() + 70_000; Date.now() < until;) {
        mock.timers.tick(STEP_MS);
        await runDueCallbacks();
        env.step();
      }
      assert.deepEqual(
        env.state.keys('w/m/').filter((key) => env.machines.get(key.slice(4))?.isTerminated !== false),
        [],
      );
      assert.deepEqual(env.violations, []);
    } finally {
      NODES.forEach((node) => cluster.stop(node));
      mock.timers.reset();
    }
  });
}

// Guards against starvation: smaller jobs of the same priority took freed machines first, and the largest
// gangs never started.
test('service: in a saturated mix the largest gangs start in 240 s, and half of each class and team is served', async () => {
  mock.timers.enable({ apis: ['setTimeout', 'Date'], now: 1_700_000_000_000 });
  const env = new SimulatedEnvironment(
    NODES,
    new SeededRandom(13),
    15_000,
    3_000,
    new Map([
      ['red', 200],
      ['blue', 200],
    ]),
    CANCEL_MS,
  );
  const cluster = new Cluster(env);
  const startedAt = new Map<string, number>();
  const submitted = new Map<string, { job: StandInJob; at: number; kind: string }>();
  try {
    NODES.forEach((node) => cluster.start(node));
    const gang = { shape: 'group', accelerators: 8, vcpus: 60, together: true };
    const begin = Date.now();
    let n = 0;
    const submit = (kind: string, overrides: Partial<Record<string, unknown>>, runMs: number): void => {
      n += 1;
      const job = createStandInJob(
        n,
        { herd: kind, owner: n % 2 === 0 ? 'red' : 'blue', ...overrides },
        runMs,
      );
      env.jobs.set(job.id, job);
      submitted.set(job.id, { job, at: Date.now(), kind });
      const send = async (): Promise<void> => {
        for (;;) {
          const answer = await env.call('user', NODES[n % 3] ?? 'n0', 'POST', '/v2/runs', job.body, 2_000);
          if (answer._tag === 'response' && answer.status < 300) return;
          await new Promise((resolve) => setTimeout(resolve, 1_000));
        }
      };
      void send();
    };
    let nextSmall = begin + 3_000;
    let nextArray = begin + 3_000;
    const largeGangTimes = [40, 60, 80, 100, 120].map((at) => begin + at * 1000);
    while (Date.now() < begin + 380_000) {
      mock.timers.tick(STEP_MS);
      await runDueCallbacks();
      env.step();
      for (const start of env.starts.splice(0)) {
        const id = start.slice(0, start.indexOf('/'));
        if (!startedAt.has(id)) startedAt.set(id, Date.now());
      }
      if (Date.now() > begin + 300_000) continue;
      // Gangs of one machine that need more than all 12 machines together; each occupies a machine for 15 s.
      if (Date.now() >= nextSmall) {
        nextSmall += 1_100;
        submit('small', { ...gang, heads: 1 }, 12_000);
      }
      if (Date.now() >= nextArray) {
        nextArray += 12_000;
        submit('array', { heads: 6 }, 8_000);
      }
      if (largeGangTimes[0] !== undefined && Date.now() >= largeGangTimes[0]) {
        largeGangTimes.shift();
        submit('large', { ...gang, heads: 5 }, 12_000);
      }
    }
    assert.deepEqual(env.violations, []);
    const groups = new Map<string, { all: number; served: number }>();
    for (const [id, { job, at, kind }] of submitted) {
      const start = startedAt.get(id);
      if (kind === 'large') {
        assert.ok(start !== undefined, `${id}, a large gang, never started`);
        assert.ok(start - at <= 240_000, `${id}, a large gang, started after ${(start - at) / 1000} s`);
      }
      for (const group of [kind, job.team]) {
        const known = groups.get(group) ?? { all: 0, served: 0 };
        groups.set(group, known);
        known.all += 1;
        if (start !== undefined) known.served += 1;
      }
    }
    assert.equal(submitted.size > 280, true, 'the submitted jobs saturate the machines');
    for (const [group, { all, served }] of groups)
      assert.ok(served * 2 >= all, `${group}: ${served} of ${all} started`);
  } finally {
    NODES.forEach((node) => cluster.stop(node));
    mock.timers.reset();
  }
});

test('service: a late heartbeat of a released machine does not restore its record permanently', async () => {
  mock.timers.enable({ apis: ['setTimeout', 'Date'], now: 1_700_000_000_000 });
  const env = new SimulatedEnvironment(NODES, new SeededRandom(12), 15_000, 3_000, LIMITS, CANCEL_MS);
  const cluster = new Cluster(env);
  const advance = async (ms: number): Promise<void> => {
    for (const end = Date.now() + ms; Date.now() < end;) {
      mock.timers.tick(STEP_MS);
      await runDueCallbacks();
      env.step();
    }
  };
  try {
    NODES.forEach((node) => cluster.start(node));
    const id = env.bootMachine('x', false, 100);
    await advance(8_000);
    assert.deepEqual(env.state.keys('w/m/'), [`w/m/${id}`], 'adopted');
    const report = env.machines.get(id)?.nextHeartbeat();
    await advance(40_000);
    assert.deepEqual(env.state.keys('w/m/'), [], 'idle, and released');
    NODES.forEach((node) => cluster.start(node)); // After a restart no controller remembers the release.
    await advance(10_000);
    for (const node of NODES) void env.call(id, node, 'POST', '/hello', report, 4_000);
    await advance(4_000);
    assert.deepEqual(env.state.keys('w/m/'), [`w/m/${id}`], 'the machine may be one without a record');
    await advance(20_000);
    assert.deepEqual(env.state.keys('w/m/'), [], 'the machine sends no further heartbeat');
  } finally {
    NODES.forEach((node) => cluster.stop(node));
    mock.timers.reset();
  }
});

test(
  'service: a job of 100,000 tasks does not need one key per task, and can be cancelled',
  { timeout: 120_000 },
  async () => {
    mock.timers.enable({ apis: ['setTimeout', 'Date'], now: 1_700_000_000_000 });
    const env = new SimulatedEnvironment(NODES, new SeededRandom(7), 15_000, 3_000, LIMITS, CANCEL_MS);
    const cluster = new Cluster(env);
    const advance = async (ms: number): Promise<void> => {
      for (const end = Date.now() + ms; Date.now() < end;) {
        mock.timers.tick(STEP_MS);
        await runDueCallbacks();
        env.step();
      }
    };
    const request = async (method: string, path: string, body?: unknown): Promise<CallOutcome> => {
      let answer: CallOutcome = { _tag: 'noResponse', why: 'not yet' };
      void env.call('user', 'n0', method, path, body, 2_000).then((outcome) => (answer = outcome));
      await advance(2_100);
      return answer;
    };
    try {
      NODES.forEach((node) => cluster.start(node));
      for (let k = 0; k < 2; k += 1) env.bootMachine('x', false, 100);
      await advance(5_000);
      const job = createStandInJob(1, { heads: 100_000, owner: 'blue' }, 1_500);
      env.jobs.set(job.id, job);
      const accepted = await request('POST', '/v2/runs', job.body);
      assert.ok(accepted._tag === 'response' && accepted.status === 201);
      await advance(20_000);
      assert.ok(env.starts.length > 20, 'tasks run');
      const touched = Math.ceil((env.starts.length + 16) / 128) + 1;
      assert.ok(env.state.keys('r/').length <= touched, `${env.state.keys('r/').length} run records`);
      const cancelled = await request('POST', `/v2/runs/${job.id}/abort`);
      assert.ok(cancelled._tag === 'response' && cancelled.status === 200);
      job.cancelledAt = Date.now();
      await advance(12_000);
      assert.deepEqual(env.state.keys('r/'), []);
      assert.deepEqual(env.state.keys('w/j/'), []);
      assert.deepEqual(env.state.keys('f/'), [`f/${job.id}`]);
      assert.deepEqual(env.violations, []);
    } finally {
      NODES.forEach((node) => cluster.stop(node));
      mock.timers.reset();
    }
  },
);
