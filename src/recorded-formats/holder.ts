/** The holder of shard 1: its responses to workers and users, its stored values and its messages to peers. */
import { peerResponder, prepareController, recordWith, STARTUP_MS } from './deployment.js';
import { toRecordedMessage, recordedValue, type Recording } from './fixtures.js';
import {
  machineIds,
  masked,
  toRecordedRequest,
  ReportingWorker,
  submissionOf,
  valueOf,
  type HarnessedController,
} from './harness.js';

/** ms until submitted jobs and workers' heartbeats are reflected in placements and heartbeats to peers. */
const PLACEMENT_MS = 1_500;
/** ms of the time of day for which the jobs wait. */
const WAITED_MS = 3_000;
/** ms in which exited tasks and finished jobs are written. */
const WRITE_MS = 4_000;
/** ms between heartbeats of all workers, and the number of heartbeats until idle machines are released. */
const HEARTBEAT_INTERVAL_MS = 3_000;
const HEARTBEATS_UNTIL_IDLE = 9;
/** ms without peers in which the summary is relayed and the durable acknowledgement is written. */
const PEER_SILENCE_MS = 5_000;
/** ms without any worker heartbeat after which the shard is handed over. */
const HANDOVER_MS = 13_000;
/** Fixed values for volatile fields; revisions change with each relayed summary. */
const MASKED_SUMMARY_FIELDS = { idleS: 3.25, waitedMs: 3_000, revision: 900 };
const MASKED_ACKNOWLEDGEMENT_FIELDS = { r: 60 };

/** The only machine in zone `y`, the zone of the jobs that are placed, so that placement is predictable. */
const PLACEMENT_MACHINE = 'i-000040';
const ARRAY = {
  paddock: 'y',
  shape: 'sweep',
  urgency: 'standard',
  together: false,
  accelerators: 0,
  vcpus: 2,
  memoryGb: 1,
};
const ARRAY_TASKS = 14;

/** Submitted jobs: two for which no machine is found, two that are placed, and one that follows another. */
const SUBMISSIONS: readonly object[] = [
  submissionOf({}),
  submissionOf({ ...ARRAY, uid: 'job-000413', heads: ARRAY_TASKS }),
  submissionOf({
    ...ARRAY,
    uid: 'job-000414',
    shape: 'service',
    heads: 2,
    vcpus: 12.5,
    breeds: ['c16'],
    paddock: 'y',
    agistment: false,
    dueS: null,
  }),
  submissionOf({ ...ARRAY, uid: 'job-000415', heads: 1, follows: ['job-000413'] }),
  submissionOf({ ...ARRAY, uid: 'job-000416', heads: 1, vcpus: 1 }),
];

const taskReport = (job: string, index: number, state: object): object => ({
  head: `${job}/${index}`,
  try: 1,
  ...state,
});

/** The worker of the machine on which the jobs are placed. */
const workerOfPlacement = (workers: readonly ReportingWorker[]): ReportingWorker => {
  const found = workers.find(({ id }) => id === PLACEMENT_MACHINE);
  if (!found) throw new Error('the worker of the machine for placements is missing');
  return found;
};

/** Records the holder while its peers answer. */
const recordWithPeers = async (): Promise<Recording> => {
  const controller = await prepareController('n1');
  return recordWith(controller, async (recording) => {
    const workers = [
      ...machineIds(1, 27).map((id) => new ReportingWorker(controller, id)),
      new ReportingWorker(controller, PLACEMENT_MACHINE, 'y'),
    ];
    const sendAllHeartbeats = async (): Promise<void> => {
      for (const worker of workers) await worker.sendHeartbeat();
    };
    for (const worker of workers) await controller.seed(`w/m/${worker.id}`, worker.recordJson(1));
    const misrouted = new ReportingWorker(controller, 'i-000900');
    await controller.seed('w/m/i-000900', misrouted.recordJson(2));
    controller.respond = peerResponder('n1');
    controller.start();
    await controller.advance(STARTUP_MS);
    recording['claim w/c/1'] = controller.storedValue('w/c/1');
    recording['first report: answer'] = await workers[0]?.sendHeartbeat();
    await sendAllHeartbeats();
    await sendAllHeartbeats();
    recording['report of a machine of another share: answer'] = await misrouted.sendHeartbeat();
    recording['report of an unknown machine: answer'] = await new ReportingWorker(
      controller,
      'i-000901',
    ).sendHeartbeat();
    await controller.advance(PLACEMENT_MS);

    await recordSubmissions(controller, recording);
    await controller.advance(WAITED_MS, true);
    const worker = workerOfPlacement(workers);
    await recordTasks(controller, worker, recording);
    await sendAllHeartbeats();
    await controller.advance(PLACEMENT_MS);
    recording['beat to the leader'] = controller.lastHeartbeat('n0');
    recording['beat to a peer'] = controller.lastHeartbeat('n2');
    await recordExits(controller, worker, recording);
    await recordCancellation(controller, worker, recording);

    const claim = controller.state.version('w/c/1');
    recording['question for cancellations: answer'] = await controller.requestFromPeer('/heed', [
      [1, claim, 'job-000998', 900],
      [1, claim + 1, 'job-000999', 901],
    ]);
    for (let round = 0; round < HEARTBEATS_UNTIL_IDLE; round += 1) {
      await sendAllHeartbeats();
      await controller.advance(HEARTBEAT_INTERVAL_MS);
    }
    const released = workers.find(({ id }) => (controller.storedValue(`w/m/${id}`) as { r: boolean }).r);
    if (!released) throw new Error('no idle machine has a release intent');
    recording['machine record with a release intent'] = controller.storedValue(`w/m/${released.id}`);
    await recordHandover(controller, recording);
  });
};

const recordSubmissions = async (
  controller: HarnessedController,
  recording: Record<string, unknown>,
): Promise<void> => {
  for (const submission of SUBMISSIONS) {
    const { uid } = submission as { uid: string };
    recording[`submission of ${uid}: answer`] = await controller.request('POST', '/v2/runs', submission);
    recording[`record w/j/${uid}`] = controller.storedValue(`w/j/${uid}`);
  }
};

const recordTasks = async (
  controller: HarnessedController,
  worker: ReportingWorker,
  recording: Record<string, unknown>,
): Promise<void> => {
  recording['run record r/1/job-000413/0'] = controller.storedValue('r/1/job-000413/0');
  recording['direct commands'] = controller.commands.find(
    ({ body }) => (body.json as { calls: unknown[] }).calls.length > 0,
  );
  recording['report of an idle machine: answer with tasks to run'] = await worker.sendHeartbeat();
  worker.heads = [
    ...Array.from({ length: ARRAY_TASKS }, (_, index) =>
      taskReport('job-000413', index, { status: index % 2 === 0 ? 'running' : 'pulling' }),
    ),
    taskReport('job-000416', 0, { status: 'running' }),
  ];
  recording['report of tasks: answer'] = await worker.sendHeartbeat();
  recording['question for a running job: answer'] = await controller.request('GET', '/v2/runs/job-000413');
  recording['question for a waiting job: answer'] = await controller.request('GET', '/v2/runs/job-000415');
};

const recordExits = async (
  controller: HarnessedController,
  worker: ReportingWorker,
  recording: Record<string, unknown>,
): Promise<void> => {
  const done = { status: 'exited', cause: 'done' };
  worker.heads = [
    ...Array.from({ length: ARRAY_TASKS }, (_, index) =>
      taskReport('job-000413', index, index + 1 < ARRAY_TASKS ? done : { status: 'saving' }),
    ),
    taskReport('job-000416', 0, done),
  ];
  await worker.sendHeartbeat();
  await controller.advance(WRITE_MS);
  recording['run record with finished tasks'] = controller.storedValue('r/1/job-000413/0');
  recording['report of exits: answer that forgets them'] = await worker.sendHeartbeat();
  recording['final record f/job-000416'] = controller.storedValue('f/job-000416');
  recording['question for a finished job: answer'] = await controller.request('GET', '/v2/runs/job-000416');
  worker.heads = [taskReport('job-000413', ARRAY_TASKS - 1, { status: 'running' })];
  await worker.sendHeartbeat();
};

const recordCancellation = async (
  controller: HarnessedController,
  worker: ReportingWorker,
  recording: Record<string, unknown>,
): Promise<void> => {
  recording['cancellation: answer'] = await controller.request('POST', '/v2/runs/job-000413/abort');
  recording['record of a cancelled job'] = controller.storedValue('w/j/job-000413');
  recording['report of a cancelled task: answer'] = await worker.sendHeartbeat();
  recording['cancellation of a finished job: answer'] = await controller.request(
    'POST',
    '/v2/runs/job-000416/abort',
  );
  worker.heads = [
    taskReport('job-000413', ARRAY_TASKS - 1, { status: 'exited', cause: 'halted', saved: true }),
  ];
  await worker.sendHeartbeat({ warningS: 30.5 });
  await controller.advance(WRITE_MS);
  worker.heads = [];
  await worker.sendHeartbeat();
  recording['final record f/job-000413'] = controller.storedValue('f/job-000413');
  recording['question for a cancelled job: answer'] = await controller.request('GET', '/v2/runs/job-000413');
  recording['question for a job that followed it: answer'] = await controller.request(
    'GET',
    '/v2/runs/job-000415',
  );
};

/** Records the holder while connections between controllers are refused from the start. */
const recordWithoutPeers = async (): Promise<Recording> => {
  const controller = await prepareController('n1');
  return recordWith(controller, async (recording) => {
    const workers = machineIds(1, 27).map((id) => new ReportingWorker(controller, id));
    for (const worker of workers) await controller.seed(`w/m/${worker.id}`, worker.recordJson(1));
    controller.start();
    await controller.advance(STARTUP_MS);
    for (const worker of [...workers, ...workers]) await worker.sendHeartbeat();
    for (const submission of SUBMISSIONS) await controller.request('POST', '/v2/runs', submission);
    await controller.advance(WAITED_MS, true);
    for (const worker of workers) await worker.sendHeartbeat();
    recording['cancellation while no peer is heard: answer'] = await controller.request(
      'POST',
      '/v2/runs/job-000413/abort',
    );
    await controller.advance(PEER_SILENCE_MS);
    recording['relayed summary w/s/1'] = masked(controller.storedValue('w/s/1'), MASKED_SUMMARY_FIELDS);
    recording['mark w/k/1'] = masked(controller.storedValue('w/k/1'), MASKED_ACKNOWLEDGEMENT_FIELDS);
  });
};

/** Records the handover of the shard: its workers reach another controller and not this one any more. */
const recordHandover = async (
  controller: HarnessedController,
  recording: Record<string, unknown>,
): Promise<void> => {
  const peers = peerResponder('n1');
  const misroutedHeartbeat = recordedValue('other-holder', 'beat to a peer, with strays');
  controller.respond = (request) =>
    request.to === 'n2' && request.path === '/beat'
      ? { status: 200, body: misroutedHeartbeat }
      : peers(request);
  await controller.advance(HANDOVER_MS);
  const handover = controller.firstSent('claim handed over', (request) => {
    if (request.path !== '/txn') return false;
    const { writes } = valueOf(request) as { writes: { write?: string; data?: { n?: string } }[] };
    return writes.some(({ write, data }) => write === 'w/c/1' && data?.n === 'n2');
  });
  recording['claim handed over: changes'] = toRecordedMessage(
    (valueOf(handover) as { writes: unknown }).writes,
  );
  recording['beat of a node that workers do not reach'] = controller.lastHeartbeat('n0');
  recording['claim taken'] = toRecordedRequest(controller.firstTransaction('w/c/1'));
};

/** Records the holder of shard 1. */
export const recordHolder = async (): Promise<Recording> => ({
  ...(await recordWithPeers()),
  ...(await recordWithoutPeers()),
});
