/** The holder of share 1: its workers, its users, what it stores and what it says to the others. */
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

/** ms until what was submitted or reported is placed, and shows in the heartbeats. */
const PLACED_MS = 1_500;
/** ms of the time of day that the jobs wait. */
const WAITED_MS = 3_000;
/** ms in which exits and finished jobs are written. */
const WRITTEN_MS = 4_000;
/** ms between reports of all machines, and how often until the idle ones are returned. */
const REPORT_MS = 3_000;
const REPORTS_UNTIL_IDLE = 9;
/** ms in which a relayed summary and a mark are written. */
const UNHEARD_MS = 5_000;
/** ms without any report after which a share is handed over. */
const DEAF_MS = 13_000;
/** Revisions move with each relayed summary. */
const RELAYED = { idleS: 3.25, waitedMs: 3_000, revision: 900 };
const MARKED = { r: 60 };

/** The one machine in the zone of the jobs that are placed, so that it is known beforehand. */
const PLACED_ON = 'i-000040';
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

/** Jobs that are submitted: two that find no machine, and three that are placed or follow. */
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

const headOf = (job: string, index: number, state: object): object => ({
  head: `${job}/${index}`,
  try: 1,
  ...state,
});

/** The worker on which the jobs are placed. */
const placedOn = (workers: readonly ReportingWorker[]): ReportingWorker => {
  const found = workers.find(({ id }) => id === PLACED_ON);
  if (!found) throw new Error('no machine to place anything on');
  return found;
};

/** The holder while its peers answer. */
const recordHeard = async (): Promise<Recording> => {
  const controller = await prepareController('n1');
  return recordWith(controller, async (recording) => {
    const workers = [
      ...machineIds(1, 27).map((id) => new ReportingWorker(controller, id)),
      new ReportingWorker(controller, PLACED_ON, 'y'),
    ];
    const reportAll = async (): Promise<void> => {
      for (const worker of workers) await worker.sendHeartbeat();
    };
    for (const worker of workers) await controller.seed(`w/m/${worker.id}`, worker.recordJson(1));
    const stray = new ReportingWorker(controller, 'i-000900');
    await controller.seed('w/m/i-000900', stray.recordJson(2));
    controller.respond = peerResponder('n1');
    controller.start();
    await controller.advance(STARTUP_MS);
    recording['claim w/c/1'] = controller.storedValue('w/c/1');
    recording['first report: answer'] = await workers[0]?.sendHeartbeat();
    await reportAll();
    await reportAll();
    recording['report of a machine of another share: answer'] = await stray.sendHeartbeat();
    recording['report of an unknown machine: answer'] = await new ReportingWorker(
      controller,
      'i-000901',
    ).sendHeartbeat();
    await controller.advance(PLACED_MS);

    await recordSubmissions(controller, recording);
    await controller.advance(WAITED_MS, true);
    const worker = placedOn(workers);
    await recordTasks(controller, worker, recording);
    await reportAll();
    await controller.advance(PLACED_MS);
    recording['beat to the leader'] = controller.lastHeartbeat('n0');
    recording['beat to a peer'] = controller.lastHeartbeat('n2');
    await recordExits(controller, worker, recording);
    await recordCancellation(controller, worker, recording);

    const claim = controller.state.version('w/c/1');
    recording['question for cancellations: answer'] = await controller.requestFromPeer('/heed', [
      [1, claim, 'job-000998', 900],
      [1, claim + 1, 'job-000999', 901],
    ]);
    for (let round = 0; round < REPORTS_UNTIL_IDLE; round += 1) {
      await reportAll();
      await controller.advance(REPORT_MS);
    }
    const released = workers.find(({ id }) => (controller.storedValue(`w/m/${id}`) as { r: boolean }).r);
    if (!released) throw new Error('no machine is returned');
    recording['machine record with a release intent'] = controller.storedValue(`w/m/${released.id}`);
    await recordDeaf(controller, recording);
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
      headOf('job-000413', index, { status: index % 2 === 0 ? 'running' : 'pulling' }),
    ),
    headOf('job-000416', 0, { status: 'running' }),
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
      headOf('job-000413', index, index + 1 < ARRAY_TASKS ? done : { status: 'saving' }),
    ),
    headOf('job-000416', 0, done),
  ];
  await worker.sendHeartbeat();
  await controller.advance(WRITTEN_MS);
  recording['run record with finished tasks'] = controller.storedValue('r/1/job-000413/0');
  recording['report of exits: answer that forgets them'] = await worker.sendHeartbeat();
  recording['final record f/job-000416'] = controller.storedValue('f/job-000416');
  recording['question for a finished job: answer'] = await controller.request('GET', '/v2/runs/job-000416');
  worker.heads = [headOf('job-000413', ARRAY_TASKS - 1, { status: 'running' })];
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
  worker.heads = [headOf('job-000413', ARRAY_TASKS - 1, { status: 'exited', cause: 'halted', saved: true })];
  await worker.sendHeartbeat({ warningS: 30.5 });
  await controller.advance(WRITTEN_MS);
  worker.heads = [];
  await worker.sendHeartbeat();
  recording['final record f/job-000413'] = controller.storedValue('f/job-000413');
  recording['question for a cancelled job: answer'] = await controller.request('GET', '/v2/runs/job-000413');
  recording['question for a job that followed it: answer'] = await controller.request(
    'GET',
    '/v2/runs/job-000415',
  );
};

/** Connections between controllers are refused from the beginning. */
const recordUnheard = async (): Promise<Recording> => {
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
    await controller.advance(UNHEARD_MS);
    recording['relayed summary w/s/1'] = masked(controller.storedValue('w/s/1'), RELAYED);
    recording['mark w/k/1'] = masked(controller.storedValue('w/k/1'), MARKED);
  });
};

/** No worker is heard here any more, while another controller hears them. */
const recordDeaf = async (
  controller: HarnessedController,
  recording: Record<string, unknown>,
): Promise<void> => {
  const others = peerResponder('n1');
  const hearing = recordedValue('other-holder', 'beat to a peer, with strays');
  controller.respond = (request) =>
    request.to === 'n2' && request.path === '/beat' ? { status: 200, body: hearing } : others(request);
  await controller.advance(DEAF_MS);
  const handed = controller.firstSent('claim handed over', (request) => {
    if (request.path !== '/txn') return false;
    const { writes } = valueOf(request) as { writes: { write?: string; data?: { n?: string } }[] };
    return writes.some(({ write, data }) => write === 'w/c/1' && data?.n === 'n2');
  });
  recording['claim handed over: changes'] = toRecordedMessage(
    (valueOf(handed) as { writes: unknown }).writes,
  );
  recording['beat of a node that workers do not reach'] = controller.lastHeartbeat('n0');
  recording['claim taken'] = toRecordedRequest(controller.firstTransaction('w/c/1'));
};

/** Records the holder of share 1. */
export const recordHolder = async (): Promise<Recording> => ({
  ...(await recordHeard()),
  ...(await recordUnheard()),
});
