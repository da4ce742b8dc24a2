import assert from 'node:assert/strict';
import { mock, test } from 'node:test';
import type { CallOutcome } from '../http/model.js';
import { CANCEL_MS, Cluster, createStandInJob, NODES, STEP_MS, runDueCallbacks } from '../testing/cluster.js';
import { SeededRandom } from '../testing/seeded-random.js';
import { SimulatedEnvironment } from '../testing/simulated-environment.js';
import type { StandInJob } from '../testing/worker-stand-in.js';

/**
 * The service's main path, end to end, against our stand-ins: loss, delay, restarts; one seed, virtual time.
 */
const LIMITS = new Map([
  ['red', 24],
  ['blue', 16],
]);

type Fault = (world: SimulatedEnvironment, cluster: Cluster) => void;
const days: readonly {
  name: string;
  seed: number;
  loss: number;
  faults: readonly (readonly [number, Fault])[];
  copies?: number;
  /** Starts of one task at most. */
  most?: number;
}[] = [
  { name: 'a quiet day', seed: 1, loss: 0, faults: [] },
  { name: 'messages lost, and some delivered long after', seed: 2, loss: 0.01, faults: [] },
  {
    name: 'one controller killed and back at once, then all three',
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
    name: 'a state outage longer than a lease, a controller refused by the state alone, machines dying',
    seed: 4,
    loss: 0.002,
    faults: [
      [20, (world) => world.state.setOutage(true)],
      [40, (world) => world.state.setOutage(false)],
      [50, (world) => world.state.refused.add('n1')],
      [
        55,
        (world) =>
          [...world.machines.values()]
            .filter((machine) => machine.tasks.size > 0)
            .slice(0, 1)
            .forEach((machine) => world.terminateMachine(machine.id)),
      ],
      [65, (world) => world.state.refused.delete('n1')],
    ],
  },
  {
    name: 'machines cut off at work: for less than their lease, then for longer',
    seed: 5,
    loss: 0.001,
    faults: [
      [24, (world) => world.machines.forEach((machine) => (machine.isPartitioned = machine.tasks.size > 0))],
      [36, (world) => world.machines.forEach((machine) => (machine.isPartitioned = false))],
      [48, (world) => world.machines.forEach((machine) => (machine.isPartitioned = machine.tasks.size > 0))],
      [70, (world) => world.machines.forEach((machine) => (machine.isPartitioned = false))],
    ],
  },
  // Its session rises as its lease ends, which is the proof; a gang must not be bound there time and again.
  {
    name: 'a machine whose reports arrive but which hears nothing, at work and then for long',
    seed: 6,
    loss: 0,
    faults: [
      [
        24,
        (world) =>
          [...world.machines.values()]
            .filter((machine) => machine.tasks.size > 0)
            .slice(0, 2)
            .forEach((machine) => (machine.deaf = true)),
      ],
      [140, (world) => world.machines.forEach((machine) => (machine.deaf = false))],
    ],
    most: 3,
  },
  // A late copy of a report is never evidence, nor a machine that still is; a late copy of a request that was
  // carried out changes nothing.
  {
    name: 'everything said twice, the copy 1 s, a lease or three later, across takeovers and moves',
    seed: 8,
    loss: 0.001,
    copies: 0.15,
    faults: [
      [22, (_, cluster) => cluster.stop('n1')],
      [22.1, (_, cluster) => cluster.start('n1')],
      [40, (_, cluster) => cluster.stop('n0')],
      [52, (_, cluster) => cluster.start('n0')],
      [60, (_, cluster) => NODES.forEach((node) => cluster.stop(node))],
      [60.1, (_, cluster) => NODES.forEach((node) => cluster.start(node))],
    ],
  },
  // It hears no word of a new holder, so it must fall silent by itself before one commands its workers.
  {
    name: 'a controller that loses the state and its siblings, but not its workers; then another',
    seed: 9,
    loss: 0,
    faults: [
      [20, (world) => world.partition('n0', ['state', 'mesh-n1', 'mesh-n2'])],
      [50, (world) => world.partition('n0', [])],
      [62, (world) => world.partition('n1', ['state', 'mesh-n0', 'mesh-n2'])],
      [85, (world) => world.partition('n1', [])],
    ],
  },
  {
    name: 'processes back within 0.1 s, several times in a row, also while claims are taken over',
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
    name: 'connections between controllers refused for long',
    seed: 11,
    loss: 0,
    faults: [
      [
        18,
        (world) =>
          NODES.forEach((node) =>
            world.partition(
              node,
              NODES.map((other) => `mesh-${other}`),
            ),
          ),
      ],
      [80, (world) => NODES.forEach((node) => world.partition(node, []))],
    ],
  },
];

for (const day of days) {
  test(`service: ${day.name}`, { timeout: 120_000 }, async () => {
    mock.timers.enable({ apis: ['setTimeout', 'Date'], now: 1_700_000_000_000 });
    const world = new SimulatedEnvironment(
      NODES,
      new SeededRandom(day.seed),
      15_000,
      3_000,
      LIMITS,
      CANCEL_MS,
    );
    const cluster = new Cluster(world);
    try {
      const begin = Date.now();
      NODES.forEach((node) => cluster.start(node));
      for (let k = 0; k < 4; k += 1) world.bootMachine(k % 2 === 0 ? 'x' : 'y', false, 100);
      world.lossProbability = day.loss;
      world.duplicateProbability = day.copies ?? 0;
      world.duplicateDelaysMs = [1_000, 15_000, 45_000];

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
      /** Users: submit until accepted, poll until done; one cancels. */
      const user = async (job: StandInJob, order: number): Promise<void> => {
        await new Promise((resolve) => setTimeout(resolve, 3_000 + order * 4_000));
        const ask = (method: string, path: string, body?: unknown): Promise<CallOutcome> =>
          world.call('user', NODES[world.random.below(3)] ?? 'n0', method, path, body, 2_000);
        world.jobs.set(job.id, job);
        for (;;) {
          const answer = await ask('POST', '/v2/runs', job.body);
          if (answer._tag === 'response' && (answer.status === 201 || answer.status === 200)) break;
          if (answer._tag === 'response' && answer.status < 500)
            world.violations.push(`refused ${job.id} ${answer.status}`);
          await new Promise((resolve) => setTimeout(resolve, 1_000));
        }
        job.accepted = true;
        if (order === 6) {
          await new Promise((resolve) => setTimeout(resolve, 6_000));
          for (;;) {
            const answer = await ask('POST', `/v2/runs/${job.id}/abort`);
            if (answer._tag === 'response' && answer.status === 200) {
              if ((answer.body as { status: string }).status === 'withdrawn') job.cancelledAt = Date.now();
              break;
            }
            await new Promise((resolve) => setTimeout(resolve, 1_000));
          }
        }
        for (;;) {
          const answer = await ask('GET', `/v2/runs/${job.id}`);
          if (answer._tag === 'response' && answer.status === 404)
            world.violations.push(`forgotten ${job.id}`);
          if (answer._tag === 'response' && answer.status === 200) {
            const { status } = answer.body as { status: string };
            if (status === 'done' && !world.areAllTasksDone(job)) world.violations.push(`not_done ${job.id}`);
            if (job.cancelledAt !== null && status !== 'withdrawn')
              world.violations.push(`went_back ${job.id} ${status}`);
            if (job.cancelledAt === null && status === 'withdrawn')
              world.violations.push(`went_back ${job.id} ${status}`);
            if (status === 'done' || status === 'withdrawn') {
              job.isFinalStatusReported = true;
              return;
            }
          }
          await new Promise((resolve) => setTimeout(resolve, 2_000));
        }
      };
      jobs.forEach((job, order) => void user(job, order));

      /**
       * Once all troubles are over, a job about which no question is answered for 75 s counts as forgotten.
       */
      const askAll = async (): Promise<void> => {
        for (const node of NODES) {
          for (const job of jobs.filter((other) => other.accepted)) {
            let known = false;
            for (let tries = 0; tries < 5 && !known; tries += 1) {
              const answer = await world.call('user', node, 'GET', `/v2/runs/${job.id}`, undefined, 2_000);
              known = answer._tag === 'response' && answer.status === 200;
            }
            if (!known) world.violations.push(`forgotten ${job.id} at ${node}`);
          }
        }
      };
      const faults = [...day.faults];
      const end = begin + 400_000;
      const lastFault = begin + (faults.at(-1)?.[0] ?? 0) * 1000;
      let asked = false;
      while (Date.now() < end && !(asked && jobs.every((job) => job.isFinalStatusReported))) {
        if (!asked && Date.now() > lastFault + 60_000) {
          asked = true;
          void askAll();
        }
        mock.timers.tick(STEP_MS);
        await runDueCallbacks();
        world.step();
        while (faults[0] && Date.now() - begin >= faults[0][0] * 1000) faults.shift()?.[1](world, cluster);
      }
      assert.deepEqual(world.violations, []);
      assert.deepEqual(
        jobs.filter((job) => !job.isFinalStatusReported).map((job) => job.id),
        [],
        'every job is over and its user told',
      );
      assert.ok(
        world.starts.length >= jobs.reduce((sum, job) => sum + (job.cancelledAt === null ? job.tasks : 0), 0),
      );
      assert.equal(faults.length, 0, 'the day was long enough for its troubles');
      const starts = new Map<string, number>();
      for (const start of world.starts) {
        const task = start.slice(0, start.indexOf('@'));
        starts.set(task, (starts.get(task) ?? 0) + 1);
      }
      if (day.most !== undefined)
        assert.ok(Math.max(...starts.values()) <= day.most, 'nothing is started again and again');
      // No record of a machine that is gone stays: late reports must not bring it back for good.
      world.duplicateProbability = 0;
      for (const until = Date.now() + 70_000; Date.now() < until;) {
        mock.timers.tick(STEP_MS);
        await runDueCallbacks();
        world.step();
      }
      assert.deepEqual(
        world.state.keys('w/m/').filter((key) => world.machines.get(key.slice(4))?.isTerminated !== false),
        [],
      );
      assert.deepEqual(world.violations, []);
    } finally {
      NODES.forEach((node) => cluster.stop(node));
      mock.timers.reset();
    }
  });
}

// Smaller jobs of their priority took whatever came free first, and the largest gangs never began.
test('service: of a saturated mix the largest gangs begin within 240 s, and each class and team is half served', async () => {
  mock.timers.enable({ apis: ['setTimeout', 'Date'], now: 1_700_000_000_000 });
  const world = new SimulatedEnvironment(
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
  const cluster = new Cluster(world);
  const begun = new Map<string, number>();
  const submitted = new Map<string, { job: StandInJob; at: number; kind: string }>();
  try {
    NODES.forEach((node) => cluster.start(node));
    const gang = { shape: 'group', accelerators: 8, vcpus: 60, together: true };
    const begin = Date.now();
    let n = 0;
    const submit = (kind: string, over: Partial<Record<string, unknown>>, runMs: number): void => {
      n += 1;
      const job = createStandInJob(n, { herd: kind, owner: n % 2 === 0 ? 'red' : 'blue', ...over }, runMs);
      world.jobs.set(job.id, job);
      submitted.set(job.id, { job, at: Date.now(), kind });
      const send = async (): Promise<void> => {
        for (;;) {
          const answer = await world.call('user', NODES[n % 3] ?? 'n0', 'POST', '/v2/runs', job.body, 2_000);
          if (answer._tag === 'response' && answer.status < 300) return;
          await new Promise((resolve) => setTimeout(resolve, 1_000));
        }
      };
      void send();
    };
    let nextSmall = begin + 3_000;
    let nextArray = begin + 3_000;
    const larges = [40, 60, 80, 100, 120].map((at) => begin + at * 1000);
    while (Date.now() < begin + 380_000) {
      mock.timers.tick(STEP_MS);
      await runDueCallbacks();
      world.step();
      for (const start of world.starts.splice(0)) {
        const id = start.slice(0, start.indexOf('/'));
        if (!begun.has(id)) begun.set(id, Date.now());
      }
      if (Date.now() > begin + 300_000) continue;
      // Single machines for more than there are in all: 12 machines, 15 s each.
      if (Date.now() >= nextSmall) {
        nextSmall += 1_100;
        submit('small', { ...gang, heads: 1 }, 12_000);
      }
      if (Date.now() >= nextArray) {
        nextArray += 12_000;
        submit('array', { heads: 6 }, 8_000);
      }
      if (larges[0] !== undefined && Date.now() >= larges[0]) {
        larges.shift();
        submit('large', { ...gang, heads: 5 }, 12_000);
      }
    }
    assert.deepEqual(world.violations, []);
    const groups = new Map<string, { all: number; served: number }>();
    for (const [id, { job, at, kind }] of submitted) {
      const start = begun.get(id);
      if (kind === 'large') {
        assert.ok(start !== undefined, `${id}, a large gang, never began`);
        assert.ok(start - at <= 240_000, `${id}, a large gang, began after ${(start - at) / 1000} s`);
      }
      for (const group of [kind, job.team]) {
        const known = groups.get(group) ?? { all: 0, served: 0 };
        groups.set(group, known);
        known.all += 1;
        if (start !== undefined) known.served += 1;
      }
    }
    assert.equal(submitted.size > 280, true, 'the mix saturates');
    for (const [group, { all, served }] of groups)
      assert.ok(served * 2 >= all, `${group}: ${served} of ${all} served`);
  } finally {
    NODES.forEach((node) => cluster.stop(node));
    mock.timers.reset();
  }
});

test('service: a late report of a machine that was released does not bring it back for good', async () => {
  mock.timers.enable({ apis: ['setTimeout', 'Date'], now: 1_700_000_000_000 });
  const world = new SimulatedEnvironment(NODES, new SeededRandom(12), 15_000, 3_000, LIMITS, CANCEL_MS);
  const cluster = new Cluster(world);
  const pass = async (ms: number): Promise<void> => {
    for (const end = Date.now() + ms; Date.now() < end;) {
      mock.timers.tick(STEP_MS);
      await runDueCallbacks();
      world.step();
    }
  };
  try {
    NODES.forEach((node) => cluster.start(node));
    const id = world.bootMachine('x', false, 100);
    await pass(8_000);
    assert.deepEqual(world.state.keys('w/m/'), [`w/m/${id}`], 'adopted');
    const report = world.machines.get(id)?.nextHeartbeat();
    await pass(40_000);
    assert.deepEqual(world.state.keys('w/m/'), [], 'idle, and returned');
    NODES.forEach((node) => cluster.start(node)); // No node remembers that it was released.
    await pass(10_000);
    for (const node of NODES) void world.call(id, node, 'POST', '/hello', report, 4_000);
    await pass(4_000);
    assert.deepEqual(world.state.keys('w/m/'), [`w/m/${id}`], 'it may be a machine that nobody knows');
    await pass(20_000);
    assert.deepEqual(world.state.keys('w/m/'), [], 'but it is not heard from');
  } finally {
    NODES.forEach((node) => cluster.stop(node));
    mock.timers.reset();
  }
});

test(
  'service: a job of 100,000 tasks costs no key for each task, and can be cancelled',
  { timeout: 120_000 },
  async () => {
    mock.timers.enable({ apis: ['setTimeout', 'Date'], now: 1_700_000_000_000 });
    const world = new SimulatedEnvironment(NODES, new SeededRandom(7), 15_000, 3_000, LIMITS, CANCEL_MS);
    const cluster = new Cluster(world);
    const pass = async (ms: number): Promise<void> => {
      for (const end = Date.now() + ms; Date.now() < end;) {
        mock.timers.tick(STEP_MS);
        await runDueCallbacks();
        world.step();
      }
    };
    const ask = async (method: string, path: string, body?: unknown): Promise<CallOutcome> => {
      let answer: CallOutcome = { _tag: 'noResponse', why: 'not yet' };
      void world.call('user', 'n0', method, path, body, 2_000).then((said) => (answer = said));
      await pass(2_100);
      return answer;
    };
    try {
      NODES.forEach((node) => cluster.start(node));
      for (let k = 0; k < 2; k += 1) world.bootMachine('x', false, 100);
      await pass(5_000);
      const job = createStandInJob(1, { heads: 100_000, owner: 'blue' }, 1_500);
      world.jobs.set(job.id, job);
      const accepted = await ask('POST', '/v2/runs', job.body);
      assert.ok(accepted._tag === 'response' && accepted.status === 201);
      await pass(20_000);
      assert.ok(world.starts.length > 20, 'tasks run');
      const touched = Math.ceil((world.starts.length + 16) / 128) + 1;
      assert.ok(world.state.keys('r/').length <= touched, `${world.state.keys('r/').length} run records`);
      const cancelled = await ask('POST', `/v2/runs/${job.id}/abort`);
      assert.ok(cancelled._tag === 'response' && cancelled.status === 200);
      job.cancelledAt = Date.now();
      await pass(12_000);
      assert.deepEqual(world.state.keys('r/'), []);
      assert.deepEqual(world.state.keys('w/j/'), []);
      assert.deepEqual(world.state.keys('f/'), [`f/${job.id}`]);
      assert.deepEqual(world.violations, []);
    } finally {
      NODES.forEach((node) => cluster.stop(node));
      mock.timers.reset();
    }
  },
);
