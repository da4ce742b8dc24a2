/** Tests of reading submissions, of stored records, eligibility, urgency and the division of teams. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { TeamLimit } from '../placement/team-limits.js';
import { urgency, missedStartTargets } from '../placement/urgency.js';
import { readRunRecord, writeRunRecord } from '../placement/run-codec.js';
import { checkSettings } from '../settings/schema.js';
import { divideTeams } from '../settings/teams.js';
import { rejectionReason, withKnownTypes } from './eligibility.js';
import { readJobRecord, writeJobRecord } from './job-record-codec.js';
import { readSubmission } from './submission-codec.js';
import type { Catalog, JobRecord, JobSpec } from './model.js';

const good = {
  uid: 'job-000412',
  herd: 'train',
  owner: 'vision',
  shape: 'group',
  urgency: 'urgent',
  heads: 2,
  vcpus: 8,
  accelerators: 1,
  memoryGb: 64,
  brand: 'img',
  sizeGb: 6.2,
  breeds: ['g8'],
  paddock: null,
  together: true,
  scatter: false,
  agistment: true,
  expectedS: 240,
  musterEveryS: 30,
  musterS: 4,
  dueS: 900,
};
const submissions: readonly { name: string; value: unknown; ok: boolean }[] = [
  { name: 'a good one', value: good, ok: true },
  {
    name: 'nullable fields left out',
    value: { ...good, breeds: undefined, paddock: undefined, dueS: undefined },
    ok: true,
  },
  { name: 'unknown fields', value: { ...good, colour: 'red' }, ok: true },
  { name: 'a list', value: [good], ok: false },
  { name: 'null', value: null, ok: false },
  { name: 'a missing field', value: { ...good, herd: undefined }, ok: false },
  { name: 'no tasks', value: { ...good, heads: 0 }, ok: false },
  { name: 'too many tasks', value: { ...good, heads: 100_001 }, ok: false },
  { name: 'half a task', value: { ...good, heads: 1.5 }, ok: false },
  { name: 'a negative amount', value: { ...good, vcpus: -1 }, ok: false },
  { name: 'not a number', value: { ...good, memoryGb: Number.NaN }, ok: false },
  { name: 'an amount as text', value: { ...good, memoryGb: '64' }, ok: false },
  { name: 'an id of another form', value: { ...good, uid: 'run-1' }, ok: false },
  { name: 'an unknown shape', value: { ...good, shape: 'flock' }, ok: false },
];
for (const row of submissions) {
  test(`submission: ${row.name}`, () =>
    assert.equal(readSubmission(row.value)._tag, row.ok ? 'job' : 'malformed'));
}

const spec = (over: Partial<JobSpec>): JobSpec => {
  const read = readSubmission(good);
  assert.ok(read._tag === 'job');
  return { ...read.spec, ...over };
};
test('a job record comes back as it was', () => {
  const cases: readonly JobRecord[] = [
    { spec: spec({}), at: 17, cancelled: false, cancelledAt: null, dependsOn: [], parts: 0 },
    {
      spec: spec({}),
      at: 17,
      cancelled: true,
      cancelledAt: 40,
      dependsOn: ['job-1', 'job-000398'],
      parts: 2,
    },
  ];
  for (const record of cases)
    assert.deepEqual(readJobRecord(JSON.parse(JSON.stringify(writeJobRecord(record)))), record);
});
test('a run record comes back as it was, also in a later chunk', () => {
  const record = {
    done: [256, 300, 383],
    bindings: [{ index: 257, machine: 'i-7', attempt: 4 }],
    attempt: 4,
  };
  assert.deepEqual(readRunRecord(JSON.parse(JSON.stringify(writeRunRecord(record, 2))), 2), record);
});

const catalog: Catalog = new Map([
  [
    'g8',
    {
      name: 'g8',
      cpus: 96,
      gpus: 8,
      memoryGb: 768,
      cacheGb: 200,
      price: 12,
      spotPrice: 4,
      bootS: 45,
      zones: ['a'],
    },
  ],
]);
const limits = new Map<string, TeamLimit>([['vision', { cpusMax: 0, gpusMax: 16 }]]);
const never: readonly { name: string; spec: JobSpec; ok: boolean }[] = [
  { name: 'fits', spec: spec({}), ok: true },
  { name: 'an unknown team', spec: spec({ team: 'nobody' }), ok: false },
  { name: 'too large for every machine', spec: spec({ gpus: 9 }), ok: false },
  { name: 'only types that are not there', spec: spec({ types: ['h1'] }), ok: false },
  { name: 'only a zone without such machines', spec: spec({ zone: 'b' }), ok: false },
  { name: 'a gang over the limit', spec: spec({ tasks: 17 }), ok: false },
  { name: 'a service over the limit', spec: spec({ tasks: 17, kind: 'service' }), ok: false },
  {
    name: 'an array of any length within the limit by the task',
    spec: spec({ tasks: 1_000, kind: 'array' }),
    ok: true,
  },
];
for (const row of never) {
  test(`can it ever run: ${row.name}`, () =>
    assert.equal(rejectionReason(row.spec, catalog, limits) === null, row.ok));
}

test('a long list of types that do not exist does not outgrow the record', () => {
  const many = Array.from({ length: 4_000 }, (_, k) => `none-${k}`);
  assert.deepEqual(withKnownTypes(spec({ types: [...many, 'g8', 'g8'] }), catalog).types, ['g8']);
});

const urgencies: readonly {
  name: string;
  finished: readonly number[];
  waited: number;
  place: boolean;
  provision: boolean;
}[] = [
  { name: 'much slack', finished: [200], waited: 0, place: false, provision: false },
  { name: 'the last moment to rent', finished: [200], waited: 70, place: false, provision: true },
  {
    name: 'too late to rent, still time on a machine that is up',
    finished: [200],
    waited: 105,
    place: true,
    provision: false,
  },
  { name: 'lost', finished: [200], waited: 150, place: false, provision: false },
  {
    name: 'lost, with a looser target to save',
    finished: [200, 300],
    waited: 170,
    place: false,
    provision: true,
  },
  {
    name: 'lost, and no spot machine for very long',
    finished: [200],
    waited: 185,
    place: false,
    provision: true,
  },
  { name: 'no target: after a long while', finished: [], waited: 185, place: true, provision: true },
];
for (const row of urgencies) {
  test(`urgency: ${row.name}`, () => {
    const job = spec({ estimateS: 70, deadlineS: null });
    assert.deepEqual(urgency(job, { wait: [], finished: row.finished }, row.waited, 40, 10), {
      place: row.place,
      provision: row.provision,
    });
  });
}
const tiers: readonly { waited: number; attainableObjective: number }[] = [
  { waited: 10, attainableObjective: 0 },
  { waited: 40, attainableObjective: 1 },
  { waited: 90, attainableObjective: 2 },
  // Whoever waited that long goes first again: no target is worth starving a job.
  { waited: 200, attainableObjective: 0 },
];
for (const row of tiers) {
  test(`tier after ${row.waited} s: ${row.attainableObjective}`, () =>
    assert.equal(missedStartTargets({ wait: [30, 70], finished: [] }, row.waited), row.attainableObjective));
}

test('teams are divided the same on every node, each in one share', () => {
  const team = (name: string, gpus: number) => ({ name, cpus: 0, cpus_max: 0, gpus, gpus_max: 2 * gpus });
  const shards = divideTeams([team('a', 8), team('b', 24), team('c', 16), team('d', 16)], 2);
  assert.deepEqual(Object.fromEntries(shards), { b: 0, c: 1, d: 1, a: 0 });
});

const settings: readonly { name: string; text: string; says: RegExp }[] = [
  { name: 'not JSON', text: '{', says: /^settings: not JSON/ },
  { name: 'a missing field is named', text: '{}', says: /host_name/ },
  { name: 'a wrong type is named', text: '{"host_name":7}', says: /host_name/ },
];
for (const row of settings) {
  test(`settings: ${row.name}`, () => {
    const checked = checkSettings(row.text);
    assert.ok(checked._tag === 'bad');
    assert.match(checked.message, row.says);
    assert.ok(!checked.message.includes('\n'));
  });
}
