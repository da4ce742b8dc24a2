/** Tests which stops are sent directly when the tasks of a gang end. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobSpec, machineRecord } from '../testing/bodies.js';
import { ShardState } from './shard-state.js';

test('shard state: no direct stops are sent to the tasks of a finished gang', () => {
  // The tasks end together, and each worker reports the end itself.
  const shardState = new ShardState({ now: () => 0, wall: () => 0, requestRound: () => undefined });
  const tasks = 3;
  const spec = jobSpec('job-1', {
    team: 't',
    kind: 'gang',
    priority: 1,
    tasks,
    cpus: 1,
    gpus: 1,
    memoryGb: 1,
    oneZone: true,
    image: 'i',
    estimateS: 1,
  });
  const job = shardState.applyJobRecord(
    { spec, at: 0, cancelled: false, cancelledAt: null, dependsOn: [], parts: 0 },
    1,
  );
  const record = machineRecord({ agentEpoch: 1 });
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
  assert.equal(shardState.stopsToSend.size, 0, 'no stop is sent directly');
  for (const other of others)
    assert.equal(other.stop?.reason, 'finished', 'a worker that missed the end receives the stop');
  // All tasks of a broken gang are still stopped directly.
  const broken = shardState.applyJobRecord(
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
