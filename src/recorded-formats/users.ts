/**
 * The users' interface: the responses to users, the records of their jobs, and the requests to the key-value
 * store that the controller sends for them.
 */
import { peerResponder, prepareController, recordedJson, recordWith, STARTUP_MS } from './deployment.js';
import { type Recording } from './fixtures.js';
import {
  ADMIN_ADDRESS,
  toRecordedRequest,
  START_MS,
  submissionOf,
  valueOf,
  type HarnessedController,
  type SentRequest,
} from './harness.js';

/** Jobs of another shard: more than fit into one page of the shared keys. */
const OTHER_JOBS = Array.from({ length: 600 }, (_, k) => `job-${100_000 + k * 977 + (k % 7) * 13}`);
/** A list of dependencies that is too long for a job's record. */
const LONG_DEPENDENCY_LIST = OTHER_JOBS.slice(0, 590);
/** ms after which the controller has detected an outage of the key-value store. */
const OUTAGE_DETECTION_MS = 3_000;

const otherJobJson = (id: string): string =>
  `{"s":["${id}","train","green","array",1,2,8,1,64,null,null,false,false,true,"img",1,8,0,0,null],` +
  `"t":${START_MS},"c":false}`;

const POST = 'POST';
const submissionWithout = (field: string): object =>
  Object.fromEntries(Object.entries(submissionOf({})).filter(([name]) => name !== field));

/** Submissions, with their name in the fixture: accepted ones, repeats of an accepted one, rejected ones. */
const SUBMISSIONS: readonly { readonly name: string; readonly body: unknown }[] = [
  { name: 'a job with every field', body: submissionOf({}) },
  { name: 'its repeat', body: submissionOf({}) },
  { name: 'its repeat with a body that could never run', body: submissionOf({ owner: 'nobody' }) },
  {
    name: 'a job without optional fields',
    body: {
      ...Object.fromEntries(
        Object.entries(submissionOf({ uid: 'job-000413', shape: 'service', urgency: 'prod' })).filter(
          ([name]) => !['breeds', 'paddock', 'dueS'].includes(name),
        ),
      ),
    },
  },
  {
    name: 'a job that follows others',
    body: submissionOf({
      uid: 'job-000414',
      follows: [OTHER_JOBS[2], OTHER_JOBS[0], OTHER_JOBS[0], 'job-000412'],
    }),
  },
  {
    name: 'a job with a long list',
    body: submissionOf({ uid: 'job-000415', follows: LONG_DEPENDENCY_LIST }),
  },
  {
    name: 'a best-effort array in one zone',
    body: submissionOf({
      uid: 'job-000416',
      shape: 'sweep',
      urgency: 'best_effort',
      paddock: 'y',
      together: false,
      scatter: true,
      agistment: false,
      breeds: null,
      dueS: null,
      follows: null,
    }),
  },
  { name: 'no map', body: ['job-000417'] },
  { name: 'a field that is missing', body: submissionWithout('heads') },
  { name: 'a malformed id', body: submissionOf({ uid: 'run-1' }) },
  { name: 'an unknown shape', body: submissionOf({ uid: 'job-000417', shape: 'gang' }) },
  { name: 'an unknown urgency', body: submissionOf({ uid: 'job-000417', urgency: 'high' }) },
  { name: 'a negative amount', body: submissionOf({ uid: 'job-000417', vcpus: -1 }) },
  { name: 'too many tasks', body: submissionOf({ uid: 'job-000417', heads: 100_001 }) },
  { name: 'a malformed followed job', body: submissionOf({ uid: 'job-000417', follows: ['x'] }) },
  { name: 'an unknown team', body: submissionOf({ uid: 'job-000417', owner: 'nobody' }) },
  { name: 'a task that fits no type', body: submissionOf({ uid: 'job-000417', accelerators: 9 }) },
  { name: 'more than the limit', body: submissionOf({ uid: 'job-000417', heads: 1_000 }) },
  {
    name: 'a followed job that was never accepted',
    body: submissionOf({ uid: 'job-000417', follows: ['job-7'] }),
  },
  { name: 'a job that follows itself', body: submissionOf({ uid: 'job-000417', follows: ['job-000417'] }) },
];

/** Other requests to the users' interface. */
const REQUESTS: readonly { readonly method: string; readonly path: string; readonly body?: unknown }[] = [
  { method: 'GET', path: '/ready' },
  { method: 'GET', path: '/v2/runs/job-000412' },
  { method: 'GET', path: '/v2/runs/job-000414' },
  { method: 'GET', path: '/v2/runs/job-000999' },
  { method: 'GET', path: '/v2/runs/run-1' },
  { method: POST, path: '/v2/runs/job-000412/abort' },
  { method: POST, path: '/v2/runs/job-000412/abort' },
  { method: 'GET', path: '/v2/runs/job-000412' },
  { method: 'GET', path: '/v2/runs/job-000414' },
  { method: POST, path: '/v2/runs/job-000999/abort' },
  { method: POST, path: `/v2/runs/${OTHER_JOBS[1]}/abort` },
  { method: 'GET', path: `/v2/runs/${OTHER_JOBS[1]}` },
  { method: 'GET', path: '/v2/runs' },
  { method: 'DELETE', path: '/v2/runs/job-000412' },
  { method: 'GET', path: '/v2/runs/job-000412/abort' },
  { method: 'GET', path: '/v2/runs/job-000412/logs' },
  { method: 'GET', path: '/v1/runs' },
  { method: 'GET', path: '/hello' },
  { method: POST, path: '/hello' },
  { method: POST, path: '/hello', body: { drover: 'i-000001' } },
];

const recordRequests = async (
  controller: HarnessedController,
  recording: Record<string, unknown>,
): Promise<void> => {
  for (const { name, body } of SUBMISSIONS)
    recording[`submission of ${name}: answer`] = await controller.request(POST, '/v2/runs', body);
  recordStoredRecords(controller, recording);
  for (const [k, { method, path, body }] of REQUESTS.entries())
    recording[`${k + 1}. ${method} ${path}: answer`] = await controller.request(method, path, body);
};

const recordStoredRecords = (controller: HarnessedController, recording: Record<string, unknown>): void => {
  const keys = ['w/j/', 'w/d/'].flatMap((prefix) => controller.state.keys(prefix));
  for (const key of keys.filter((name) => !OTHER_JOBS.includes(name.slice('w/j/'.length))))
    recording[`stored ${key}`] = controller.storedValue(key);
};

const recordStoreRequests = (controller: HarnessedController, recording: Record<string, unknown>): void => {
  const recordFirst = (description: string, matches: (request: SentRequest) => boolean): void => {
    const found = controller.firstSent(description, (request) => request.to === 'state' && matches(request));
    recording[`state: ${description}`] = toRecordedRequest(found);
  };
  recordFirst('lease', ({ path }) => path === '/holds');
  recordFirst('renewal', ({ path }) => path.endsWith('/renew'));
  recordFirst('page of keys', ({ path }) => path.startsWith('/store?'));
  recordFirst('next page of keys', ({ path }) => path.startsWith('/store?') && path.includes('since='));
  recordFirst('watch', ({ path }) => path.startsWith('/follow?'));
  recordFirst('read of a final record', ({ path }) => path.startsWith('/store/f/'));
  recordFirst('runs of a share', ({ path }) => path.startsWith('/store?under=r'));
  recordFirst('claim', ({ path }) => path === '/txn');
  const writesKey = (request: SentRequest, key: string): boolean =>
    request.path === '/txn' &&
    (valueOf(request) as { writes: { write?: string }[] }).writes.some(({ write }) => write === key);
  recordFirst('submission', (request) => writesKey(request, 'w/j/job-000412'));
  recordFirst('submission in parts', (request) => writesKey(request, 'w/j/job-000415'));
  recordFirst(
    'comparison alone',
    (request) => request.path === '/txn' && (valueOf(request) as { writes: unknown[] }).writes.length === 0,
  );
};

/** Requests while the key-value store does not respond, and while it answers with errors. */
const recordOutage = async (
  controller: HarnessedController,
  recording: Record<string, unknown>,
): Promise<void> => {
  controller.storeUnresponsive = true;
  recording['question that takes too long: answer'] = await controller.request('GET', '/v2/runs/job-000413');
  controller.storeUnresponsive = false;
  controller.state.setOutage(true);
  await controller.advance(OUTAGE_DETECTION_MS);
  recording['question in an outage: answer'] = await controller.request('GET', '/v2/runs/job-000413');
  recording['submission in an outage: answer'] = await controller.request(
    POST,
    '/v2/runs',
    submissionOf({ uid: 'job-000418' }),
  );
  recording['duties in an outage: answer'] = await controller.request(
    'GET',
    '/admin/v1/duties',
    undefined,
    ADMIN_ADDRESS,
  );
  recording['readiness in an outage of this node alone: answer'] = await controller.request('GET', '/ready');
};

/**
 * Requests about jobs that were stored before the controller started: a cancelled job, and two jobs with
 * final records. Also requests that arrive before the controller has read the shared keys.
 */
const recordStoredJobs = async (): Promise<Recording> => {
  const controller = await prepareController('n1');
  return recordWith(controller, async (recording) => {
    const stored = (entry: string): string => JSON.stringify(recordedJson('stored-values', entry));
    await controller.seed('w/j/job-000412', stored('job record, cancelled, with followed jobs'));
    await controller.seed('f/job-000413', stored('final record, done'));
    await controller.seed('f/job-000414', stored('final record, cancelled'));
    controller.respond = peerResponder('n1');
    controller.start();
    for (const path of ['/ready', '/admin/v1/duties', '/admin/v1/duties/rent'])
      recording[`${path} before the shared keys are read: answer`] = await controller.request(
        'GET',
        path,
        undefined,
        ADMIN_ADDRESS,
      );
    await controller.advance(STARTUP_MS);
    for (const id of ['job-000412', 'job-000413', 'job-000414'])
      recording[`question for the stored ${id}: answer`] = await controller.request('GET', `/v2/runs/${id}`);
  });
};

/** Records the users' interface. */
export const recordUsers = async (): Promise<Recording> => {
  const controller = await prepareController('n1');
  const answers = await recordWith(controller, async (recording) => {
    for (const id of OTHER_JOBS) await controller.seed(`w/j/${id}`, otherJobJson(id));
    controller.respond = peerResponder('n1');
    controller.start();
    await controller.advance(STARTUP_MS);
    await recordRequests(controller, recording);
    recordStoreRequests(controller, recording);
    await recordOutage(controller, recording);
  });
  return { ...answers, ...(await recordStoredJobs()) };
};
