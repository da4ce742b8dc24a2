/** A holder that takes over what earlier ones stored: runs in every form, machines, and marks for removal. */
import { peerResponder, prepareController, recordedJson, recordWith, STARTUP_MS } from './deployment.js';
import type { Recording } from './fixtures.js';
import { masked, ReportingWorker, START_MS, type HarnessedController } from './harness.js';

/** ms after which what is left over is marked, and of the time of day after which it is removed. */
const MARKED_MS = 3_000;
const REMOVED_MS = 12_000;
/** ms before the recording at which an earlier holder marked a key. */
const MARKED_BEFORE_MS = 20_000;
/** The run that the recorded ones are; it begins with task 128. */
const CHUNK = 1;

/** Jobs by the form in which their run is stored. */
const RUNS: Readonly<Record<string, string>> = {
  'job-000501': 'run, plain',
  'job-000502': 'run, as earlier versions read it',
  'job-000503': 'run, in parts',
  'job-000504': 'run, prepared',
  'job-000505': 'run, prepared, in parts',
};
/** Tasks that all these runs bind to the machine `i-000001`, and their attempt. */
const BOUND_TASKS = [130, 131];
const BOUND_ATTEMPT = 7;
/** Jobs whose first run makes the attempt of the prepared ones valid. */
const VALID_JOBS = ['job-000505'];

interface Stored {
  readonly record: object;
  readonly parts: readonly object[];
}

const seedRuns = async (controller: HarnessedController): Promise<void> => {
  const job = JSON.stringify(recordedJson('stored-values', 'job record, plain'));
  const first = recordedJson('stored-values', 'run, that makes its attempt valid') as Stored;
  for (const [id, entry] of Object.entries(RUNS)) {
    await controller.seed(`w/j/${id}`, job.replace('job-000412', id));
    const { record, parts } = recordedJson('stored-values', entry) as Stored;
    const key = `r/1/${id}/${CHUNK}`;
    await controller.seed(key, JSON.stringify(record));
    for (const [part, value] of parts.entries())
      await controller.seed(`${key}+${part}`, JSON.stringify(value));
    if (VALID_JOBS.includes(id))
      await controller.seed(`r/1/${id}/0`, JSON.stringify({ ...first.record, d: '0', b: [] }));
  }
};

const seedMachines = async (controller: HarnessedController): Promise<void> => {
  for (const [id, entry] of [
    ['i-000001', 'machine record, with images'],
    ['i-000002', 'machine record, heard'],
    ['i-000003', 'machine record, never heard'],
    ['i-000004', 'machine record, to be released'],
  ] as const)
    await controller.seed(`w/m/${id}`, JSON.stringify(recordedJson('stored-values', entry)));
};

/** A key that an earlier holder marked, and one that belongs to no job. */
const seedLeftOver = async (controller: HarnessedController): Promise<void> => {
  const run = recordedJson('stored-values', 'run, plain') as Stored;
  const revision = await controller.seed('r/1/job-000701/0', JSON.stringify(run.record));
  await controller.seed('r/1/job-000702/0', JSON.stringify(run.record));
  const book = recordedJson('stored-values', 'book of removals') as { m: object[]; d: object[] };
  const marked = { ...book.m[0], k: 'r/1/job-000701/0', v: revision, a: START_MS - MARKED_BEFORE_MS };
  await controller.seed('x/1', JSON.stringify({ ...book, m: [marked] }));
};

/** Records the takeover. */
export const recordTakeover = async (): Promise<Recording> => {
  const controller = await prepareController('n1');
  return recordWith(controller, async (recording) => {
    await seedRuns(controller);
    await seedMachines(controller);
    await seedLeftOver(controller);
    controller.respond = peerResponder('n1');
    controller.start();
    await controller.advance(STARTUP_MS);
    recording['greetings of machines'] = controller.commands;
    const worker = new ReportingWorker(controller, 'i-000001');
    worker.heads = Object.keys(RUNS).flatMap((id) =>
      BOUND_TASKS.map((index) => ({ head: `${id}/${index}`, try: BOUND_ATTEMPT, status: 'running' })),
    );
    recording['first report of bound tasks: answer'] = await worker.sendHeartbeat({ stint: 3 });
    recording['report of bound tasks: answer'] = await worker.sendHeartbeat({ stint: 3 });
    for (const [id, entry] of Object.entries(RUNS))
      recording[`question for a job with a ${entry}: answer`] = await controller.request(
        'GET',
        `/v2/runs/${id}`,
      );
    await controller.advance(MARKED_MS);
    recording['book of removals x/1, with marks'] = controller.storedValue('x/1');
    await controller.advance(REMOVED_MS, true);
    recording['book of removals x/1, with removals'] = masked(controller.storedValue('x/1'), { a: START_MS });
    recording['runs that are left'] = controller.state.keys('r/1/');
  });
};
