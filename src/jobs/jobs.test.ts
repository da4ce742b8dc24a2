/** Tests of submissions, stored records, eligibility, urgency, the division of teams and the settings. */
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

const validSubmission = {
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
  { name: 'a valid submission', value: validSubmission, ok: true },
  {
    name: 'nullable fields left out',
    value: { ...validSubmission, breeds: undefined, paddock: undefined, dueS: undefined },
    ok: true,
  },
  { name: 'unknown fields', value: { ...validSubmission, colour: 'red' }, ok: true },
  { name: 'a list', value: [validSubmission], ok: false },
  { name: 'null', value: null, ok: false },
  { name: 'a missing field', value: { ...validSubmission, herd: undefined }, ok: false },
  { name: 'no tasks', value: { ...validSubmission, heads: 0 }, ok: false },
  { name: 'too many tasks', value: { ...validSubmission, heads: 100_001 }, ok: false },
  { name: 'half a task', value: { ...validSubmission, heads: 1.5 }, ok: false },
  { name: 'a negative amount', value: { ...validSubmission, vcpus: -1 }, ok: false },
  { name: 'not a number', value: { ...validSubmission, memoryGb: Number.NaN }, ok: false },
  { name: 'an amount as text', value: { ...validSubmission, memoryGb: '64' }, ok: false },
  { name: 'an id of another form', value: { ...validSubmission, uid: 'run-1' }, ok: false },
  { name: 'an unknown shape', value: { ...validSubmission, shape: 'flock' }, ok: false },
];
for (const row of submissions) {
  test(`submission: ${row.name}`, () =>
    assert.equal(readSubmission(row.value)._tag, row.ok ? 'job' : 'malformed'));
}

const spec = (overrides: Partial<JobSpec>): JobSpec => {
  const read = readSubmission(validSubmission);
  assert.ok(read._tag === 'job');
  return { ...read.spec, ...overrides };
};
test('a job record is unchanged after encoding and decoding', () => {
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
test('a run record is unchanged after encoding and decoding, also in a later chunk', () => {
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
const eligibilityCases: readonly { name: string; spec: JobSpec; ok: boolean }[] = [
  { name: 'fits', spec: spec({}), ok: true },
  { name: 'an unknown team', spec: spec({ team: 'nobody' }), ok: false },
  { name: 'too large for every machine', spec: spec({ gpus: 9 }), ok: false },
  { name: 'only types that are not in the catalog', spec: spec({ types: ['h1'] }), ok: false },
  { name: 'only a zone without any allowed machine type', spec: spec({ zone: 'b' }), ok: false },
  { name: 'a gang over the limit', spec: spec({ tasks: 17 }), ok: false },
  { name: 'a service over the limit', spec: spec({ tasks: 17, kind: 'service' }), ok: false },
  {
    name: 'an array of any length whose single tasks are within the limit',
    spec: spec({ tasks: 1_000, kind: 'array' }),
    ok: true,
  },
];
for (const row of eligibilityCases) {
  test(`can it ever run: ${row.name}`, () =>
    assert.equal(rejectionReason(row.spec, catalog, limits) === null, row.ok));
}

test('unknown and repeated machine types are removed, so that the record stays small', () => {
  const many = Array.from({ length: 4_000 }, (_, k) => `none-${k}`);
  assert.deepEqual(withKnownTypes(spec({ types: [...many, 'g8', 'g8'] }), catalog).types, ['g8']);
});

const urgencyCases: readonly {
  name: string;
  finished: readonly number[];
  waited: number;
  place: boolean;
  provision: boolean;
}[] = [
  { name: 'much slack', finished: [200], waited: 0, place: false, provision: false },
  {
    name: 'the last moment to provision a machine',
    finished: [200],
    waited: 70,
    place: false,
    provision: true,
  },
  {
    name: 'too late to provision a machine, still time on a running machine',
    finished: [200],
    waited: 105,
    place: true,
    provision: false,
  },
  { name: 'the target can no longer be met', finished: [200], waited: 150, place: false, provision: false },
  {
    name: 'the tightest target is missed, a looser one can still be met',
    finished: [200, 300],
    waited: 170,
    place: false,
    provision: true,
  },
  {
    name: 'the target is missed, and there was no spot machine for a very long time',
    finished: [200],
    waited: 185,
    place: false,
    provision: true,
  },
  { name: 'no target, after a long wait', finished: [], waited: 185, place: true, provision: true },
];
for (const row of urgencyCases) {
  test(`urgency: ${row.name}`, () => {
    const job = spec({ estimateS: 70, deadlineS: null });
    assert.deepEqual(urgency(job, { wait: [], finished: row.finished }, row.waited, 40, 10), {
      place: row.place,
      provision: row.provision,
    });
  });
}
const waitCases: readonly { waited: number; attainableObjective: number }[] = [
  { waited: 10, attainableObjective: 0 },
  { waited: 40, attainableObjective: 1 },
  { waited: 90, attainableObjective: 2 },
  // A job that has waited this long gets the highest rank again, so that it does not starve after missing
  // its targets.
  { waited: 200, attainableObjective: 0 },
];
for (const row of waitCases) {
  test(`tier after ${row.waited} s: ${row.attainableObjective}`, () =>
    assert.equal(missedStartTargets({ wait: [30, 70], finished: [] }, row.waited), row.attainableObjective));
}

test('every controller divides the teams alike, each team into one shard', () => {
  const team = (name: string, gpus: number) => ({ name, cpus: 0, cpus_max: 0, gpus, gpus_max: 2 * gpus });
  const shards = divideTeams([team('a', 8), team('b', 24), team('c', 16), team('d', 16)], 2);
  assert.deepEqual(Object.fromEntries(shards), { b: 0, c: 1, d: 1, a: 0 });
});

const settings: readonly { name: string; text: string; message: RegExp }[] = [
  { name: 'not JSON', text: '{', message: /^settings: not JSON/ },
  { name: 'a missing field is named', text: '{}', message: /host_name/ },
  { name: 'a wrong type is named', text: '{"host_name":7}', message: /host_name/ },
];
for (const row of settings) {
  test(`settings: ${row.name}`, () => {
    const checked = checkSettings(row.text);
    assert.ok(checked._tag === 'bad');
    assert.match(checked.message, row.message);
    assert.ok(!checked.message.includes('\n'));
  });
}
