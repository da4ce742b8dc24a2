/** What rounds may cost, and what is not sent twice. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  MIN_PLACEMENT_ROUND_PAUSE_MS,
  PLACEMENT_ROUND_CORE_FRACTION,
  ROUND_AVERAGE_WEIGHT,
} from '../constants/placement.js';
import { ShardState } from './shard-state.js';
import { restMs, RoundPacer } from './round-pacer.js';

const rests: readonly { name: string; roundMs: number; coreShare: number; partOfCore: number }[] = [
  { name: 'a short round', roundMs: 0.5, coreShare: 0.136, partOfCore: 0.002 },
  {
    name: 'a round of a backlog on a small part of a core',
    roundMs: 30,
    coreShare: 0.136,
    partOfCore: 0.0163,
  },
  { name: 'the same on a larger part', roundMs: 60, coreShare: 0.357, partOfCore: 0.0428 },
  { name: 'a whole core', roundMs: 200, coreShare: 1, partOfCore: 0.12 },
  { name: 'several cores, of which one process uses one', roundMs: 200, coreShare: 4, partOfCore: 0.12 },
];
for (const row of rests) {
  // Guards against rounds of hundreds of waiting gangs that took a quarter of a whole core on every node.
  test(`rounds: ${row.name} leaves the rest to reports and users`, () => {
    const rest = restMs(row.roundMs, row.coreShare);
    assert.ok(rest >= MIN_PLACEMENT_ROUND_PAUSE_MS);
    const part = row.roundMs / (row.roundMs + rest);
    assert.ok(part <= Math.min(1, row.coreShare) * PLACEMENT_ROUND_CORE_FRACTION + 1e-9, `${part} of a core`);
    assert.ok(Math.abs(part - row.partOfCore) < 0.001, `${part} of a core`);
  });
}

test('rounds: a single dear one does not stop placement, and its cost is still paid for', () => {
  // A collection of garbage within a round earned a rest of nine seconds, in which services waited to be
  // placed.
  const pacer = new RoundPacer(0.136);
  const usual = 5;
  for (let k = 0; k < 50; k += 1) pacer.restAfter(usual);
  const usualRest = pacer.restAfter(usual);
  const rests = [pacer.restAfter(60), ...Array.from({ length: 60 }, () => pacer.restAfter(usual))];
  assert.ok(Math.max(...rests) <= restMs(usual + 60 * ROUND_AVERAGE_WEIGHT, 0.136));
  const more = rests.reduce((sum, rest) => sum + rest - usualRest, 0);
  assert.ok(more > restMs(59, 0.136) * 0.8, `${more} ms`);
});

test('share state: tasks of a gang that is done are not told to stop one by one', () => {
  // They end together and each worker reports so itself: of a gang of 16, 15 commands were sent for nothing.
  const shardState = new ShardState({ now: () => 0, wall: () => 0, requestRound: () => undefined });
  const tasks = 3;
  const spec = {
    id: 'job-1',
    jobClass: 'c',
    team: 't',
    kind: 'gang' as const,
    priority: 1 as const,
    tasks,
    cpus: 1,
    gpus: 1,
    memoryGb: 1,
    types: null,
    zone: null,
    oneZone: true,
    spread: false,
    spot: false,
    image: 'i',
    imageGb: 1,
    estimateS: 1,
    checkpointS: 0,
    saveS: 0,
    deadlineS: null,
  };
  const job = shardState.adoptJob(
    { spec, at: 0, cancelled: false, cancelledAt: null, dependsOn: [], parts: 0 },
    1,
  );
  const record = {
    shardId: 0,
    type: 'g',
    zone: 'x',
    spot: false,
    at: 0,
    releasing: false,
    addr: '',
    agentEpoch: 1,
  };
  const total = { cpus: 8, gpus: 8, memoryGb: 8 };
  const bindings = Array.from({ length: tasks }, (_, index) =>
    shardState.bind(job, index, 1, shardState.addMachine(`i-${index}`, record, 1, total), {
      _tag: 'running',
    }),
  );
  const [first, ...others] = bindings;
  assert.ok(first);
  shardState.apply(first, { _tag: 'reported', state: { _tag: 'exited', cause: 'done', saved: false } });
  assert.equal(job.done.size, tasks);
  assert.equal(shardState.stopsToSend.size, 0, 'nothing goes out directly');
  for (const other of others)
    assert.equal(other.stop?.reason, 'finished', 'a worker that missed it hears of it');
  // A gang that broke is still told at once, all of it.
  const broken = shardState.adoptJob(
    { spec: { ...spec, id: 'job-2' }, at: 0, cancelled: false, cancelledAt: null, dependsOn: [], parts: 0 },
    2,
  );
  for (let index = 0; index < tasks; index += 1) {
    const machine = shardState.machines.get(`i-${index}`);
    assert.ok(machine);
    shardState.bind(broken, index, 1, machine, { _tag: 'running' });
  }
  shardState.stopBrokenGang(broken);
  assert.equal(shardState.stopsToSend.size, tasks);
});
