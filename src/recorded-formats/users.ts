/**
 * What users are answered, what is stored of their jobs, and what a controller asks of the state service for
 * it.
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

/** Jobs of another share, more than one page of the shared keys holds. */
const OTHER_JOBS = Array.from({ length: 600 }, (_, k) => `job-${100_000 + k * 977 + (k % 7) * 13}`);
/** A list of followed jobs that is too long for a job's record. */
const LONG_LIST = OTHER_JOBS.slice(0, 590);
/** ms after which an outage shows. */
const OUTAGE_MS = 3_000;

const otherJobJson = (id: string): string =>
  `{"s":["${id}","train","green","array",1,2,8,1,64,null,null,false,false,true,"img",1,8,0,0,null],` +
  `"t":${START_MS},"c":false}`;

const POST = 'POST';
const without = (field: string): object =>
  Object.fromEntries(Object.entries(submissionOf({})).filter(([name]) => name !== field));

/** Submissions that are refused, and those that repeat an accepted one. */
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
  { name: 'a job with a long list', body: submissionOf({ uid: 'job-000415', follows: LONG_LIST }) },
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
  { name: 'a field that is missing', body: without('heads') },
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

/** Other requests on the users' address. */
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
  recordStored(controller, recording);
  for (const [k, { method, path, body }] of REQUESTS.entries())
    recording[`${k + 1}. ${method} ${path}: answer`] = await controller.request(method, path, body);
};

const recordStored = (controller: HarnessedController, recording: Record<string, unknown>): void => {
  const keys = ['w/j/', 'w/d/'].flatMap((prefix) => controller.state.keys(prefix));
  for (const key of keys.filter((name) => !OTHER_JOBS.includes(name.slice('w/j/'.length))))
    recording[`stored ${key}`] = controller.storedValue(key);
};

const recordStateRequests = (controller: HarnessedController, recording: Record<string, unknown>): void => {
  const state = (what: string, matches: (request: SentRequest) => boolean): void => {
    const found = controller.firstSent(what, (request) => request.to === 'state' && matches(request));
    recording[`state: ${what}`] = toRecordedRequest(found);
  };
  state('lease', ({ path }) => path === '/holds');
  state('renewal', ({ path }) => path.endsWith('/renew'));
  state('page of keys', ({ path }) => path.startsWith('/store?'));
  state('next page of keys', ({ path }) => path.startsWith('/store?') && path.includes('since='));
  state('watch', ({ path }) => path.startsWith('/follow?'));
  state('read of a final record', ({ path }) => path.startsWith('/store/f/'));
  state('runs of a share', ({ path }) => path.startsWith('/store?under=r'));
  state('claim', ({ path }) => path === '/txn');
  const writing = (request: SentRequest, key: string): boolean =>
    request.path === '/txn' &&
    (valueOf(request) as { writes: { write?: string }[] }).writes.some(({ write }) => write === key);
  state('submission', (request) => writing(request, 'w/j/job-000412'));
  state('submission in parts', (request) => writing(request, 'w/j/job-000415'));
  state(
    'comparison alone',
    (request) => request.path === '/txn' && (valueOf(request) as { writes: unknown[] }).writes.length === 0,
  );
};

/** What stands in the state service after an earlier process of any node wrote it. */
const recordOutage = async (
  controller: HarnessedController,
  recording: Record<string, unknown>,
): Promise<void> => {
  controller.storeUnresponsive = true;
  recording['question that takes too long: answer'] = await controller.request('GET', '/v2/runs/job-000413');
  controller.storeUnresponsive = false;
  controller.state.setOutage(true);
  await controller.advance(OUTAGE_MS);
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

/** Jobs that were stored before: the record in every form, and final records. */
const recordReading = async (): Promise<Recording> => {
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
    recordStateRequests(controller, recording);
    await recordOutage(controller, recording);
  });
  return { ...answers, ...(await recordReading()) };
};
