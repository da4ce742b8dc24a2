/**
 * Not a case: the script behind the line on issue 27 in `REPORT.md`. A half-open cut: what a controller sends to
 * the state service arrives and is carried out, the answers are lost, and it is cut off from the other
 * controllers, while users and workers reach it. A user cancels a job of its shard through another controller.
 * TROUBLE=0: no cut. HALF=1: only the answers are lost, the controllers reach each other. Exits as a case does.
 */
import { Deployment, main, submission } from './deployment.mjs';
import { Proxy } from './proxy.mjs';
import { freePort, sleep } from './wire.mjs';

const CUT_S = 100;
/** `forgotten`: "every poll for it fails for 90 s while most others are answered". */
const FORGOTTEN_S = 90;
const POLL_EVERY_MS = 2_500;

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
const teams = ['dainik-prabhat', 'kolkata-barta', 'sandhya-khobor', 'uttar-patrika', 'consortium-ops'];
const guarantees = [32, 72, 72, 56, 56];
const limits = [72, 224, 264, 112, 128];
const facts = {
  teams: teams.map((name, n) => ({ name, cpus: 0, cpus_max: 0, gpus: guarantees[n], gpus_max: limits[n] })),
  objectives: [],
  workers: { report_s: 3, lease_s: 24, gang_wait_s: 50, gang_peer_s: 4, cancel_s: 44 },
  state: { rps: 150, write_rps: 60, value_kb: 8, txn_ops: 32 },
  cloud: { rps: 4, list_lag_s: 5 },
  quota: { core_share: 0.425, ram_mb: 306, fd_limit: 2000 },
  clock_error_ms: 100,
};

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
  const { fleet, nodes, state } = deployment;
  const proxies = new Map();
  onEnd(() => [...proxies.values()].forEach(({ proxy }) => proxy.close()));
  for (const from of nodes)
    for (const to of nodes)
      if (from !== to)
        proxies.set(`${from.name}>${to.name}`, { from, to, port: await freePort(), proxy: new Proxy() });
  deployment.meshPort = (from, to) => proxies.get(`${from.name}>${to.name}`).port;
  await deployment.start();
  for (const { to, port, proxy } of proxies.values()) await proxy.listen(port, to.ports.mesh);
  for (let n = 0; n < 3; n += 1) await fleet.rent('ganga-node', 'salt-lake', false, 0);
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

  // One long job for each team; the one of the first team is to be cancelled.
  const jobs = teams.map((owner, n) => ({ uid: `job-${String(n + 1).padStart(6, '0')}`, owner }));
  for (const { uid, owner } of jobs)
    await deployment.submit(
      nodes[0],
      submission({ uid, owner, herd: 'swing-maps', accelerators: 1, vcpus: 6, memoryGb: 36, expectedS: 600 }),
    );
  const running = () =>
    jobs.every(({ uid }) => fleet.history.some(({ what, head }) => what === 'on' && head === `${uid}/0`));
  await until('a task of each team runs', 30, running);
  const [{ uid: cancelled }, ...others] = jobs;
  const machine = [...fleet.machines.values()].find(({ worker }) => worker.tasks.has(`${cancelled}/0`));
  // The machine reports to the controller that acts for the team.
  const holder = nodes[machine.worker.target % nodes.length];
  const rest = nodes.filter((node) => node !== holder);
  record(`${holder.name} acts for ${cancelled}`);

  const lastAnswer = new Map(jobs.map(({ uid }) => [uid, performance.now()]));
  const silence = new Map(jobs.map(({ uid }) => [uid, 0]));
  let asked = 0;
  let answered = 0;
  const measure = (uid) =>
    silence.set(uid, Math.max(silence.get(uid), performance.now() - lastAnswer.get(uid)));
  const ask = async (node, uid) => {
    const { status } = await deployment.poll(node, uid);
    if (uid !== cancelled) asked += 1;
    if (status !== 200) return;
    if (uid !== cancelled) answered += 1;
    measure(uid);
    lastAnswer.set(uid, performance.now());
  };
  const askAll = () => Promise.all(nodes.flatMap((node) => jobs.map(({ uid }) => ask(node, uid))));
  await askAll();

  if (trouble) {
    record(
      `network: answers of the state service to ${holder.name} are lost; it is cut off from the other controllers`,
    );
    state.unheard.add(holder.name);
    for (const { from, to, proxy } of proxies.values())
      if (process.env.HALF !== '1' && (from === holder || to === holder)) proxy.cut = true;
  }
  const from = performance.now();
  await sleep(500);
  /** The user asks to cancel until there is an answer. */
  const cancelling = (async () => {
    for (let n = 0; performance.now() - from < (CUT_S + 10) * 1000; n += 1) {
      const { status } = await deployment.abort(rest[n % rest.length], cancelled);
      if (status === 200) return;
      await sleep(1_000);
    }
  })();
  let mended = false;
  while (performance.now() - from < (CUT_S + 6) * 1000) {
    if (!mended && performance.now() - from >= CUT_S * 1000) {
      mended = true;
      record('network: mended');
      state.unheard.clear();
      for (const { proxy } of proxies.values()) proxy.mend();
    }
    void askAll();
    await sleep(POLL_EVERY_MS);
  }
  void cancelling;
  for (const { uid } of jobs) measure(uid);
  const seconds = (uid) => (silence.get(uid) / 1000).toFixed(1);
  const mostAnswered = answered > asked / 2;
  return {
    broken: silence.get(cancelled) >= FORGOTTEN_S * 1000 && mostAnswered,
    text: `${cancelled}: no poll answered for ${seconds(cancelled)} s; the other jobs: ${answered} of ${asked} polls answered, longest time without an answer ${others.map(({ uid }) => `${seconds(uid)} s`).join(', ')}`,
  };
});
