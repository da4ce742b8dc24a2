/**
 * What a heartbeat of a share with 4,000 machines costs, on the machine that runs this: `node
 * target/testing/heartbeat-cost.js` in the root of the repository. Half of the machines are spare; the
 * others run two jobs of one task each. Prints processor milliseconds of one heartbeat, the median of
 * several runs.
 */
import { decode } from '../http/msgpack.js';
import { readHeartbeat } from '../peers/heartbeat-codec.js';
import { PeerNetwork } from '../peers/network.js';
import { peerResponder, prepareController, STARTUP_MS } from '../recorded-formats/deployment.js';
import { recordedValue } from '../recorded-formats/fixtures.js';
import {
  machineIds,
  ReportingWorker,
  START_MS,
  type HarnessedController,
} from '../recorded-formats/harness.js';

const MACHINES = 4_000;
const JOBS = 4_000;
const JOBS_PER_MACHINE = 2;
/** Heartbeats in one run, and runs. */
const HEARTBEATS = 20;
const RUNS = 15;
/** ms in which the share is placed and its summary made. */
const PLACEMENT_MS = 2_000;
const MICROSECONDS_PER_MS = 1_000;

const jobId = (n: number): string => `job-${100_000 + n}`;

const jobRecordJson = (n: number): string =>
  `{"s":["${jobId(n)}","train","blue","array",1,1,32,1,64,null,null,false,false,true,"img",1,8,0,0,null],` +
  `"t":${START_MS},"c":false}`;

/** The holder of a share with all these machines and jobs, as a restart finds them. */
const createHolder = async (): Promise<HarnessedController> => {
  const controller = await prepareController('n1');
  const workers = machineIds(1, MACHINES).map((id) => new ReportingWorker(controller, id));
  for (const worker of workers) await controller.seed(`w/m/${worker.id}`, worker.recordJson(1));
  for (let n = 0; n < JOBS; n += 1) {
    const worker = workers[Math.floor(n / JOBS_PER_MACHINE)];
    if (!worker) throw new Error('more jobs than the machines hold');
    await controller.seed(`w/j/${jobId(n)}`, jobRecordJson(n));
    await controller.seed(`r/1/${jobId(n)}/0`, `{"d":"0","b":[[0,"${worker.id}",1]],"n":1}`);
    worker.heads = [...worker.heads, { head: `${jobId(n)}/0`, try: 1, status: 'running' }];
  }
  controller.respond = peerResponder('n1');
  controller.start();
  await controller.advance(STARTUP_MS);
  for (const worker of workers) await worker.sendHeartbeat();
  for (const worker of workers) await worker.sendHeartbeat();
  await controller.advance(PLACEMENT_MS);
  return controller;
};

/** ms of processor time of one piece of work: the median of several runs. */
const processorMs = async (work: () => unknown): Promise<number> => {
  const times: number[] = [];
  for (let run = 0; run < RUNS; run += 1) {
    const before = process.cpuUsage();
    for (let k = 0; k < HEARTBEATS; k += 1) await work();
    const { user, system } = process.cpuUsage(before);
    times.push((user + system) / MICROSECONDS_PER_MS / HEARTBEATS);
  }
  return times.sort((a, b) => a - b)[RUNS >> 1] ?? Number.NaN;
};

/** A peer that hears the heartbeats of `n1`, and has nothing to work out for its answers. */
const createReceivingPeer = (): PeerNetwork => {
  const answer = readHeartbeat(recordedValue('first-beats', 'n0 to n1'));
  if (answer === null) throw new Error('the recorded heartbeat names no sender');
  return new PeerNetwork({
    ownNode: 'n0',
    peers: [{ node: 'n1', endpoint: 'n1:2' }],
    heartbeat: () => answer,
    leader: () => undefined,
    now: () => START_MS,
    createHttpClient: () => ({ request: () => Promise.resolve({ _tag: 'noResponse', why: 'none' }) }),
    answer: () => Promise.resolve(null),
  });
};

const measure = async (controller: HarnessedController, to: 'n0' | 'n2'): Promise<object> => {
  const question = recordedValue('first-beats', `${to} to n1`);
  const bytes = await controller.exchangeWithPeer('/beat', question);
  const network = createReceivingPeer();
  const receiveHeartbeat = async (): Promise<void> => {
    await network.handle({
      method: 'POST',
      path: '/beat',
      query: '',
      body: { _tag: 'value', value: decode(bytes) },
    });
  };
  return {
    to: to === 'n0' ? 'the leader' : 'a peer',
    bytes: bytes.length,
    'build and encode ms': (await processorMs(() => controller.exchangeWithPeer('/beat', question))).toFixed(
      3,
    ),
    'decode and note ms': (await processorMs(receiveHeartbeat)).toFixed(3),
    'first task count ms': (
      await processorMs(async () => {
        await receiveHeartbeat();
        network.view.taskCounts(1, jobId(JOBS - 1));
      })
    ).toFixed(3),
  };
};

const controller = await createHolder();
const rows = [await measure(controller, 'n0'), await measure(controller, 'n2')];
await controller.stop();
console.table(rows);
