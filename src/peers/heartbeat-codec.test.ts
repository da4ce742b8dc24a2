/**
 * Tests that heartbeats and summaries convert to and from their exact wire form. The expected texts must not
 * change when names in the code change.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decode, encode } from '../http/msgpack.js';
import type { Reservation } from '../fleet/reservation.js';
import type { ShardSummary } from '../fleet/shard-summary.js';
import { abridgedSummary } from '../placement/spare-machines.js';
import { readHeartbeat, readSender, writeHeartbeat } from './heartbeat-codec.js';
import type { PeerHeartbeat } from './heartbeat.js';
import { readSummary, writeSummary, type WireSummary } from './summary-codec.js';

const reservation: Reservation = {
  shardId: 1,
  job: 'job-2',
  zone: 'x',
  spot: false,
  types: ['g8'],
  cpus: 2,
  gpus: 3,
  memoryGb: 4.5,
  tasks: 5,
  priority: 2,
  ageMs: 6,
};
const RESERVATION =
  '{"share":1,"job":"job-2","zone":"x","spot":false,"types":["g8"],"cpus":2,"gpus":3,"memoryGb":4.5,' +
  '"tasks":5,"priority":2,"ageMs":6}';

const earlierSummary: ShardSummary = {
  shardId: 1,
  claim: 7,
  revision: 9,
  needs: [
    {
      cpus: 1,
      gpus: 2,
      memoryGb: 3,
      types: null,
      zone: 'y',
      spot: true,
      gang: true,
      oneZone: false,
      urgent: false,
      priority: 1,
      tasks: 4,
      gangs: [{ job: 'job-1', tasks: 4, waitedMs: 5, reserveAfterMs: 10 }],
      zoneCapacity: { x: 1, y: 2 },
      waitedMs: 6,
    },
  ],
  spares: [
    { id: 'i-1', type: 'g', zone: 'x', spot: false, idleS: 3.25 },
    { id: 'i-2', type: 'g', zone: 'x', spot: false, idleS: 1 },
  ],
};
const summary: ShardSummary = {
  ...earlierSummary,
  unlisted: [{ type: 'g', zone: 'x', spot: false, count: 12 }],
};
const FIRST_SPARE = '{"id":"i-1","type":"g","zone":"x","spot":false,"idleS":3.25}';
const EARLIER_SUMMARY =
  '{"share":1,"claim":7,"revision":9,"needs":[{"cpus":1,"gpus":2,"memoryGb":3,"types":null,"zone":"y",' +
  '"spot":true,"gang":true,"oneZone":false,"urgent":false,"priority":1,"tasks":4,"gangs":[{"job":"job-1","tasks":4,' +
  '"waitedMs":5,"patienceMs":10}],"room":{"x":1,"y":2},"waitedMs":6}],' +
  `"spares":[${FIRST_SPARE},{"id":"i-2","type":"g","zone":"x","spot":false,"idleS":1}]}`;
const SUMMARY = EARLIER_SUMMARY.replace(
  /\}$/,
  ',"unlisted":[{"type":"g","zone":"x","spot":false,"count":12}]}',
);
const BRIEF_SUMMARY = `{"share":1,"claim":7,"revision":9,"needs":[],"spares":[${FIRST_SPARE}],"unlisted":[]}`;

const summaries: readonly { readonly name: string; readonly summary: ShardSummary; readonly text: string }[] =
  [
    { name: 'in full', summary, text: SUMMARY },
    { name: 'for peers that do not lead', summary: abridgedSummary(summary), text: BRIEF_SUMMARY },
    { name: 'of a version that names all spares', summary: earlierSummary, text: EARLIER_SUMMARY },
  ];
for (const row of summaries) {
  test(`summary codec: ${row.name}`, () => {
    assert.equal(JSON.stringify(writeSummary(row.summary)), row.text);
    assert.deepEqual(readSummary(JSON.parse(row.text) as WireSummary), row.summary);
  });
}

const heartbeat: PeerHeartbeat = {
  from: 'n1',
  incarnation: 'n1.1',
  protocolVersion: 2,
  lease: 3,
  storeSilenceMs: 20.5,
  counts: [{ shardId: 1, jobs: [['job-1', 2, 1]] }],
  summaries: [summary],
  workersUnreachable: true,
  misroutedHeartbeats: { '0': 2 },
  demand: { requests: 1, changes: 2 },
  reservations: [reservation],
};
const HEARTBEAT =
  '{"from":"n1","incarnation":"n1.1","level":2,"lease":3,"stateAgeMs":20.5,' +
  '"counts":[{"slot":1,"jobs":[["job-1",2,1]]}],' +
  `"summaries":[${SUMMARY}],"deaf":true,"strays":{"0":2},"demand":{"requests":1,"changes":2},` +
  `"holds":[${RESERVATION}]}`;
const { protocolVersion, ...withoutVersion } = heartbeat;

interface HeartbeatCase {
  readonly name: string;
  readonly decoded: PeerHeartbeat;
  readonly text: string;
}
const heartbeats: readonly HeartbeatCase[] = [
  { name: 'with all fields', decoded: heartbeat, text: HEARTBEAT },
  {
    name: 'of an earlier version, which names no protocol version',
    decoded: withoutVersion,
    text: HEARTBEAT.replace(`"level":${protocolVersion},`, ''),
  },
  {
    name: 'without a lease, shards and reservations',
    decoded: {
      ...heartbeat,
      lease: null,
      counts: [],
      summaries: [],
      misroutedHeartbeats: {},
      reservations: [],
    },
    text:
      '{"from":"n1","incarnation":"n1.1","level":2,"lease":null,"stateAgeMs":20.5,"counts":[],"summaries":[],' +
      '"deaf":true,"strays":{},"demand":{"requests":1,"changes":2},"holds":[]}',
  },
];
for (const row of heartbeats) {
  test(`heartbeat codec: ${row.name}`, () => {
    const written = writeHeartbeat(row.decoded);
    assert.equal(JSON.stringify(written), row.text);
    assert.deepEqual(encode(written), encode(JSON.parse(row.text)), 'the MessagePack bytes are equal too');
    assert.deepEqual(readHeartbeat(decode(encode(written))), row.decoded);
  });
}

/**
 * Adds an unknown field to every map with fixed field names; maps keyed by zone or shard stay as they are.
 */
const withUnknownFields = (value: unknown): unknown => {
  if (Array.isArray(value)) return value.map(withUnknownFields);
  if (typeof value !== 'object' || value === null) return value;
  const fields = Object.entries(value).map(([name, field]): [string, unknown] => [
    name,
    name === 'room' || name === 'strays' ? field : withUnknownFields(field),
  ]);
  return { ...Object.fromEntries(fields), later: 1 };
};
test('heartbeat codec: unknown fields of a later version are ignored', () =>
  assert.deepEqual(readHeartbeat(withUnknownFields(JSON.parse(HEARTBEAT))), heartbeat));

const noHeartbeats: readonly { readonly name: string; readonly value: unknown }[] = [
  { name: 'nothing', value: undefined },
  { name: 'null', value: null },
  { name: 'a number', value: 5 },
  { name: 'a string', value: 'n1' },
  { name: 'a map without a sender', value: { incarnation: 'n1.1' } },
  { name: 'a sender that is not a string', value: { from: 1 } },
];
for (const row of noHeartbeats) {
  test(`heartbeat codec: ${row.name} is not a heartbeat`, () => {
    assert.equal(readSender(row.value), null);
    assert.equal(readHeartbeat(row.value), null);
  });
}

const tolerated: readonly { readonly name: string; readonly value: object }[] = [
  { name: 'only a sender', value: { from: 'n1' } },
  {
    name: 'fields of the wrong type',
    value: { from: 'n1', counts: 1, summaries: 'x', holds: { length: 1 }, strays: null, demand: null },
  },
  { name: 'entries that are not maps', value: { from: 'n1', counts: [null], summaries: [7], holds: ['x'] } },
];
for (const row of tolerated) {
  test(`heartbeat codec: ${row.name} still counts as a heartbeat`, () => {
    const read = readHeartbeat(row.value);
    assert.equal(read?.from, 'n1');
    assert.deepEqual(
      [read.counts, read.summaries, read.reservations, read.misroutedHeartbeats],
      [[], [], [], {}],
    );
    assert.deepEqual([read.demand.requests, read.demand.changes], [0, 0]);
  });
}
