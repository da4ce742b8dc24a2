/**
 * A task is preempted on one machine and runs on another. Then the controller of its shard is killed and back
 * within a fraction of a second, and a repeat of the request that once started the task on the first machine
 * arrives there. TROUBLE=0: no controller is killed, and no request is repeated.
 */
import { Deployment, main, submission } from '../lib/deployment.mjs';
import { call, sleep } from '../lib/wire.mjs';

/** From the end of the process to the repeat, and to its start: "within a fraction of a second". */
const REPEAT_AFTER_MS = 200;
const RESTART_AFTER_MS = 600;
const WATCH_S = 15;

/** `kit/sites/bangiya-results.toml`. */
const breeds = [
  {
    sku: 'ganga-node',
    vcpus: 64,
    accelerators: 8,
    memoryGb: 384,
    localGb: 80,
    pullGbPerS: 0.6,
    hourly: 22.75,
    marketPrice: 5.64,
    readyS: 35,
    paddocks: ['salt-lake', 'rajarhat', 'siliguri'],
  },
];
const facts = {
  teams: [
    { name: 'dainik-prabhat', cpus: 0, cpus_max: 0, gpus: 32, gpus_max: 72 },
    { name: 'kolkata-barta', cpus: 0, cpus_max: 0, gpus: 72, gpus_max: 224 },
    { name: 'sandhya-khobor', cpus: 0, cpus_max: 0, gpus: 72, gpus_max: 264 },
    { name: 'uttar-patrika', cpus: 0, cpus_max: 0, gpus: 56, gpus_max: 112 },
    { name: 'consortium-ops', cpus: 0, cpus_max: 0, gpus: 56, gpus_max: 128 },
  ],
  objectives: [],
  workers: { report_s: 3, lease_s: 24, gang_wait_s: 50, gang_peer_s: 4, cancel_s: 44 },
  state: { rps: 150, write_rps: 60, value_kb: 8, txn_ops: 32 },
  cloud: { rps: 4, list_lag_s: 5 },
  quota: { core_share: 0.425, ram_mb: 306, fd_limit: 2000 },
  clock_error_ms: 100,
};
const LOW = 'job-000001';
const OTHER = 'job-000002';
const URGENT = 'job-000003';
const whole = (uid, fields) =>
  submission({
    uid,
    owner: 'kolkata-barta',
    vcpus: 57,
    accelerators: 8,
    memoryGb: 310,
    sizeGb: 1,
    ...fields,
  });

await main(import.meta.url, async ({ trouble, record, onEnd }) => {
  const deployment = new Deployment({
    names: [
      ['drover-0', 'salt-lake'],
      ['drover-1', 'rajarhat'],
      ['drover-2', 'siliguri'],
    ],
    facts,
    breeds,
    record,
  });
  onEnd(() => deployment.stop());
  const { fleet, nodes } = deployment;
  // Two machines are up at the start; the cloud has no more.
  fleet.capacity = () => 0;
  await deployment.start();
  for (let n = 0; n < 2; n += 1) await fleet.rent('ganga-node', 'salt-lake', false, 0);
  await deployment.ready();
  const until = async (what, limitS, check) => {
    const from = performance.now();
    for (;;) {
      const found = check();
      if (found) {
        record(`now: ${what}`);
        return found;
      }
      if (performance.now() - from > limitS * 1000) throw new Error(`timed out: ${what}`);
      await sleep(50);
    }
  };
  /** The machine on which the only task of a job is now. */
  const place = (uid) =>
    [...fleet.machines.values()].find(({ worker }) => {
      const task = worker?.tasks.get(`${uid}/0`);
      return task && worker.onMachine(task);
    });

  await until('both machines have been told a token', 30, () =>
    [...fleet.machines.values()].every(({ worker }) => worker?.crook > 0),
  );
  await sleep(4_000);
  fleet.runs.set(LOW, 600).set(OTHER, 15).set(URGENT, 20);
  await deployment.submit(
    nodes[0],
    whole(LOW, { herd: 'booth-history', urgency: 'best_effort', expectedS: 600 }),
  );
  const first = await until(`${LOW} runs`, 30, () => place(LOW));
  await deployment.submit(nodes[1], whole(OTHER, { herd: 'swing-maps', expectedS: 15 }));
  await until(`${OTHER} runs`, 30, () => place(OTHER));
  await deployment.submit(
    nodes[2],
    whole(URGENT, { herd: 'count-day-tally', urgency: 'urgent', expectedS: 20 }),
  );
  await until(`${URGENT} runs where ${LOW} was`, 30, () => place(URGENT) === first);
  const second = await until(`${LOW} runs on another machine`, 60, () => place(LOW));
  if (second === first) throw new Error(`${LOW} came back to its first machine`);
  const { worker } = first;
  await until(`${first.uid} is free, and has been told to forget ${LOW}`, 60, () => worker.tasks.size === 0);
  await sleep(1_000);

  const request = worker.direct.find(({ calls }) =>
    calls.some(({ call: name, head }) => name === 'run' && head === `${LOW}/0`),
  );
  if (!request) throw new Error(`no direct command started ${LOW}`);
  if (trouble) {
    // The machine reports to the controller that acts for it.
    const node = nodes[worker.target % nodes.length];
    deployment.signal(node.name, 'SIGKILL');
    await sleep(REPEAT_AFTER_MS);
    record(`network: the request ${JSON.stringify(request)} arrives at ${first.uid} once more`);
    const answer = await call(worker.port, 'POST', '/commands', request, 2_000);
    record(`${first.uid}: answers it with ${answer.status}`);
    await sleep(RESTART_AFTER_MS - REPEAT_AFTER_MS);
    deployment.spawn(node);
  }
  await sleep(WATCH_S * 1000);

  // The rule: a task starts on one machine while it is on another.
  const on = new Map();
  const twice = [];
  for (const { what, head, machine, at } of fleet.history) {
    const places = on.get(head) ?? new Set();
    on.set(head, places);
    if (what === 'left') places.delete(machine);
    else {
      if (places.size > 0) twice.push(`${head} starts on ${machine} while it is on ${[...places].join()}`);
      places.add(machine);
    }
  }
  return {
    broken: twice.length > 0,
    text: twice.length > 0 ? twice.join('; ') : 'no task started while it was on another machine',
  };
});
