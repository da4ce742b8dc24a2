import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NODES } from '../testing/cluster.js';
import { submission } from '../testing/bodies.js';
import { ScenarioRun, type Scenario } from '../testing/scenario.js';

/**
 * Malformed requests, jobs that can never run and unknown jobs get the specific status code immediately: at
 * rest, under full load, right after a takeover and during an outage of the key-value store. A controller
 * that lacks the data to decide answers 503, also immediately.
 */
const body = (n: number, over: object): object => submission({ uid: `job-9${n}`, accelerators: 1, ...over });
interface Row {
  readonly name: string;
  readonly method: string;
  readonly path: string;
  readonly body?: object;
  /** The status of controllers that have the data to decide; other controllers answer 503. */
  readonly status: number;
  /** Whether the answer needs no data that a controller may lack. */
  readonly always?: boolean;
}
const post = (name: string, over: object, status: number, always = false): Row => ({
  name,
  method: 'POST',
  path: '/v2/runs',
  body: body(status, over),
  status,
  always,
});
const rows: readonly Row[] = [
  post('lacks a field', { herd: undefined }, 400, true),
  post('has an unknown shape', { shape: 'flock' }, 400, true),
  post('follows malformed job ids', { follows: ['x'] }, 400, true),
  post('has an unknown team', { owner: 'nobody' }, 422),
  post('fits no machine', { accelerators: 9 }, 422),
  post('has an unknown machine type', { breeds: ['h1'] }, 422),
  post('has an unknown zone', { paddock: 'z' }, 422),
  post('a gang over the limit of its team', { shape: 'group', heads: 25, accelerators: 8 }, 422),
  post('follows a job that was never accepted', { follows: ['job-7'] }, 422),
  { name: 'an unknown job', method: 'GET', path: '/v2/runs/job-777', status: 404 },
  { name: 'cancels an unknown job', method: 'POST', path: '/v2/runs/job-777/abort', status: 404 },
  { name: 'no id at all', method: 'GET', path: '/v2/runs/nothing', status: 404, always: true },
];

test(
  'bad input: each request gets its specific answer immediately, under load and faults',
  { timeout: 240_000 },
  async () => {
    const wrong: string[] = [];
    const answers = new Map<string, number>();
    const askAll = (run: ScenarioRun, when: string): void => {
      for (const node of NODES) {
        for (const row of rows) {
          run.requestFromNode(node, row.method, row.path, row.body, (status, _, tookMs) => {
            const allowed = status === row.status || (status === 503 && row.always !== true);
            if (!allowed) wrong.push(`${when}, ${node}, ${row.name}: ${status}`);
            if (tookMs > 2_500) wrong.push(`${when}, ${node}, ${row.name}: held back ${tookMs} ms`);
            const key = `${when}, ${row.name}`;
            if (status === row.status) answers.set(key, (answers.get(key) ?? 0) + 1);
          });
        }
        // A finished job stays done when a user cancels it or submits it again.
        const done = run.jobs.find((job) => job.isFinalStatusReported && job.cancelledAt === null);
        if (!done) continue;
        const check = (status: number, said: unknown): void => {
          if (status !== 200 && status !== 503) wrong.push(`${when}, ${node}, done: ${status}`);
          if (status === 200 && (said as { status: string }).status !== 'done')
            wrong.push(`${when}, ${node}, done: ${JSON.stringify(said)}`);
        };
        run.requestFromNode(node, 'POST', `/v2/runs/${done.id}/abort`, undefined, check);
        run.requestFromNode(node, 'POST', '/v2/runs', done.body, check);
        run.requestFromNode(node, 'POST', '/v2/runs', { ...(done.body as object), owner: 'nobody' }, check);
      }
    };
    const scenario: Scenario = {
      seed: 91,
      jobs: 18,
      submissionIntervalS: 1,
      taskDurationRangeS: [8, 20],
      faults: [
        [12, (run) => askAll(run, 'under load')],
        [30, (run) => run.cluster.stop(run.busiestNode())],
        [36, (run) => askAll(run, 'right after a takeover')],
        [40, (run) => NODES.forEach((node) => run.cluster.start(node))],
        [40.3, (run) => askAll(run, 'right after a start')],
        [55, (run) => run.environment.state.setOutage(true)],
        [58, (run) => askAll(run, 'in an outage')],
        [66, (run) => run.environment.state.setOutage(false)],
        [75, (run) => askAll(run, 'afterwards')],
      ],
    };
    assert.deepEqual(await new ScenarioRun(scenario).run(), []);
    assert.deepEqual(wrong, []);
    // Under load and after the faults every controller has the data to decide.
    for (const row of rows) {
      assert.equal(answers.get(`under load, ${row.name}`), 3, row.name);
      assert.equal(answers.get(`afterwards, ${row.name}`), 3, row.name);
      if (row.always === true) assert.equal(answers.get(`in an outage, ${row.name}`), 3, row.name);
    }
  },
);
