/**
 * A pipeline of one-task jobs, each of which follows all jobs before it. The deadline and the priority are on
 * the last job alone, as the page on pipelines says. TROUBLE=0: the same jobs, the last one without a deadline.
 */
import { Deployment, main, submission } from '../lib/deployment.mjs';
import { sleep } from '../lib/wire.mjs';

/** Jobs before the last one. A submission stays below 3 KB. */
const JOBS = 160;
const SUBMISSION_INTERVAL_MS = 100;
/** `kit/more/hunt/LATER.md`: a job about which no question is answered for 75 s counts as forgotten. */
const FORGOTTEN_S = 75;
const WATCH_S = 80;
const POLL_EVERY_MS = 5_000;

const uid = (n) => `job-${String(n).padStart(6, '0')}`;

/** `kit/change/derwent-vault-next.toml`, with the machines and teams of the first deployment. */
const breeds = [
  {
    sku: 'huon-small',
    vcpus: 12,
    accelerators: 2,
    memoryGb: 72,
    localGb: 40,
    pullGbPerS: 0.6,
    hourly: 6.34,
    marketPrice: 2.15,
    readyS: 40,
    paddocks: ['hobart-north', 'launceston', 'hobart-south'],
  },
];
const facts = {
  teams: [
    { name: 'saves-core', cpus: 0, cpus_max: 0, gpus: 8, gpus_max: 24 },
    { name: 'inventory-desk', cpus: 0, cpus_max: 0, gpus: 24, gpus_max: 40 },
    { name: 'player-support', cpus: 0, cpus_max: 0, gpus: 8, gpus_max: 24 },
  ],
  objectives: [],
  workers: { report_s: 3, lease_s: 18, gang_wait_s: 45, gang_peer_s: 4, cancel_s: 48 },
  state: { rps: 150, write_rps: 60, value_kb: 16, txn_ops: 48 },
  cloud: { rps: 2, list_lag_s: 10 },
  quota: { core_share: 0.17, ram_mb: 146, fd_limit: 1200 },
  clock_error_ms: 25,
};
const stage = (n, fields) =>
  submission({
    uid: uid(n),
    herd: 'save-unpack',
    owner: 'saves-core',
    urgency: 'best_effort',
    memoryGb: 4.8,
    brand: 'img-unpack',
    sizeGb: 1,
    agistment: true,
    expectedS: 15,
    follows: Array.from({ length: n - 1 }, (_, before) => uid(before + 1)),
    ...fields,
  });

await main(import.meta.url, async ({ trouble, record, onEnd }) => {
  const deployment = new Deployment({
    names: [
      ['drover-0', 'hobart-north'],
      ['drover-1', 'launceston'],
      ['drover-2', 'hobart-south'],
    ],
    facts,
    breeds,
    record,
  });
  onEnd(() => deployment.stop());
  await deployment.start();
  await deployment.ready();
  const { nodes } = deployment;
  for (let n = 1; n <= JOBS; n += 1) {
    const answer = await deployment.submit(nodes[n % nodes.length], stage(n, {}));
    if (answer.status >= 300) throw new Error(`${uid(n)} was refused`);
    await sleep(SUBMISSION_INTERVAL_MS);
  }
  const before = await Promise.all(nodes.map((node) => deployment.poll(node, uid(1))));
  if (before.some(({ status }) => status !== 200))
    throw new Error('the first job is not known to every controller');
  const last = stage(JOBS + 1, {
    herd: 'player-publish',
    urgency: 'urgent',
    expectedS: 8,
    dueS: trouble ? 3600 : null,
  });
  const accepting = deployment.submit(nodes[0], last);
  await Promise.race([accepting, sleep(5_000)]);

  // Users ask about the first and the last job at every controller.
  const asked = [uid(1), uid(80), uid(JOBS)];
  const from = performance.now();
  const lastAnswer = new Map(asked.map((job) => [job, from]));
  const silence = new Map(asked.map((job) => [job, 0]));
  let questions = 0;
  let answers = 0;
  const ask = async (node, job) => {
    questions += 1;
    const { status } = await deployment.poll(node, job);
    if (status !== 200) return;
    answers += 1;
    const now = performance.now();
    silence.set(job, Math.max(silence.get(job), now - lastAnswer.get(job)));
    lastAnswer.set(job, now);
  };
  while (performance.now() - from < WATCH_S * 1000) {
    for (const node of nodes) for (const job of asked) void ask(node, job);
    await sleep(POLL_EVERY_MS);
  }
  for (const job of asked)
    silence.set(job, Math.max(silence.get(job), performance.now() - lastAnswer.get(job)));
  const longest = [...silence].map(([job, ms]) => `${job} ${(ms / 1000).toFixed(0)} s`).join(', ');
  return {
    broken: [...silence.values()].some((ms) => ms > FORGOTTEN_S * 1000),
    text: `${questions} questions, ${answers} answered; longest time without an answer: ${longest}`,
  };
});
