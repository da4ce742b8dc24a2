import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NODES } from '../testing/cluster.js';
import { submission } from '../testing/bodies.js';
import { ScenarioRun, type Scenario } from '../testing/scenario.js';

/**
 * What is malformed, can never run or is not known gets its own answer at once, under full load, right after
 * a takeover and while the state service is away as at rest. A node that can't know says so with 503, also at
 * once.
 */
const body = (n: number, over: object): object => submission({ uid: `job-9${n}`, accelerators: 1, ...over });
interface Row {
  readonly name: string;
  readonly method: string;
  readonly path: string;
  readonly body?: object;
  /** Where the node can know; where it can't, 503. */
  readonly status: number;
  /** It needs nothing that the node could lack. */
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
  post('a wrong kind', { shape: 'flock' }, 400, true),
  post('follows no ids', { follows: ['x'] }, 400, true),
  post('an unknown team', { owner: 'nobody' }, 422),
  post('fits no machine', { accelerators: 9 }, 422),
  post('no such type', { breeds: ['h1'] }, 422),
  post('no such zone', { paddock: 'z' }, 422),
  post('a gang over its limit', { shape: 'group', heads: 25, accelerators: 8 }, 422),
  post('follows one that was never accepted', { follows: ['job-7'] }, 422),
  { name: 'an unknown job', method: 'GET', path: '/v2/runs/job-777', status: 404 },
  { name: 'cancels an unknown job', method: 'POST', path: '/v2/runs/job-777/abort', status: 404 },
  { name: 'no id at all', method: 'GET', path: '/v2/runs/nothing', status: 404, always: true },
];

test('bad input: its own answer at once, whatever else goes on', { timeout: 240_000 }, async () => {
  const wrong: string[] = [];
  const answers = new Map<string, number>();
  const askAll = (day: ScenarioRun, when: string): void => {
    for (const node of NODES) {
      for (const row of rows) {
        day.requestFromNode(node, row.method, row.path, row.body, (status, _, tookMs) => {
          const allowed = status === row.status || (status === 503 && row.always !== true);
          if (!allowed) wrong.push(`${when}, ${node}, ${row.name}: ${status}`);
          if (tookMs > 2_500) wrong.push(`${when}, ${node}, ${row.name}: held back ${tookMs} ms`);
          const key = `${when}, ${row.name}`;
          if (status === row.status) answers.set(key, (answers.get(key) ?? 0) + 1);
        });
      }
      // A job that is done stays so for whoever cancels it or sends it again.
      const done = day.jobs.find((job) => job.isFinalStatusReported && job.cancelledAt === null);
      if (!done) continue;
      const check = (status: number, said: unknown): void => {
        if (status !== 200 && status !== 503) wrong.push(`${when}, ${node}, done: ${status}`);
        if (status === 200 && (said as { status: string }).status !== 'done')
          wrong.push(`${when}, ${node}, done: ${JSON.stringify(said)}`);
      };
      day.requestFromNode(node, 'POST', `/v2/runs/${done.id}/abort`, undefined, check);
      day.requestFromNode(node, 'POST', '/v2/runs', done.body, check);
      day.requestFromNode(node, 'POST', '/v2/runs', { ...(done.body as object), owner: 'nobody' }, check);
    }
  };
  const day: Scenario = {
    seed: 91,
    jobs: 18,
    submissionIntervalS: 1,
    taskDurationRangeS: [8, 20],
    faults: [
      [12, (play) => askAll(play, 'under load')],
      [30, (play) => play.cluster.stop(play.busiestNode())],
      [36, (play) => askAll(play, 'right after a takeover')],
      [40, (play) => NODES.forEach((node) => play.cluster.start(node))],
      [40.3, (play) => askAll(play, 'right after a start')],
      [55, (play) => play.environment.state.setOutage(true)],
      [58, (play) => askAll(play, 'in an outage')],
      [66, (play) => play.environment.state.setOutage(false)],
      [75, (play) => askAll(play, 'afterwards')],
    ],
  };
  assert.deepEqual(await new ScenarioRun(day).run(), []);
  assert.deepEqual(wrong, []);
  // At rest and under load every node can know.
  for (const row of rows) {
    assert.equal(answers.get(`under load, ${row.name}`), 3, row.name);
    assert.equal(answers.get(`afterwards, ${row.name}`), 3, row.name);
    if (row.always === true) assert.equal(answers.get(`in an outage, ${row.name}`), 3, row.name);
  }
});
