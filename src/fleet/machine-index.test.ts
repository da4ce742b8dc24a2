/** Tests of the counts over all machine records. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { WatchEvent } from '../kv-store/model.js';
import { AdoptionQueue } from './adoption-queue.js';
import { MachineIndex } from './machine-index.js';
import { machineRecord } from '../testing/bodies.js';
import { writeMachineRecord } from './machine-record-codec.js';
import type { MachineRecord } from './machine-record.js';

const put = (id: string, over: Partial<MachineRecord> = {}): WatchEvent => ({
  _tag: 'put',
  entry: { key: `w/m/${id}`, value: writeMachineRecord(machineRecord(over)), version: 1 },
});
const remove = (id: string): WatchEvent => ({ _tag: 'delete', key: `w/m/${id}`, version: 2 });

/** Guards the counts that stand in for a walk over all machines several times a second. */
const cases: readonly {
  readonly name: string;
  readonly events: readonly WatchEvent[];
  readonly ofKind: number;
  readonly releasing: readonly string[];
}[] = [
  { name: 'each machine once', events: [put('a'), put('b'), put('a')], ofKind: 2, releasing: [] },
  {
    name: 'only of the kind',
    events: [put('a'), put('b', { spot: true }), put('c', { zone: 'y' })],
    ofKind: 1,
    releasing: [],
  },
  {
    name: 'not those that go back',
    events: [put('a'), put('b'), put('b', { releasing: true })],
    ofKind: 1,
    releasing: ['b'],
  },
  {
    name: 'nor those that are gone',
    events: [put('a', { releasing: true }), put('b'), remove('a'), remove('b')],
    ofKind: 0,
    releasing: [],
  },
  {
    name: 'one that is kept after all',
    events: [put('a', { releasing: true }), put('a')],
    ofKind: 1,
    releasing: [],
  },
  {
    name: 'nothing of other keys',
    events: [{ _tag: 'delete', key: 'w/j/a', version: 3 }, put('a')],
    ofKind: 1,
    releasing: [],
  },
];
for (const row of cases) {
  test(`machine index: ${row.name}`, () => {
    const index = new MachineIndex();
    for (const event of row.events) index.onEvent(event);
    assert.equal(index.countOfKind('g', 'x', false), row.ofKind);
    assert.deepEqual([...index.releasing], row.releasing);
  });
}

test('machine index: machines that wait for their record count for the shard that they are meant for', () => {
  const queue = new AdoptionQueue();
  queue.add('a', machineRecord({ shardId: 1 }));
  queue.add('b', machineRecord({ shardId: 1, zone: 'y' }));
  queue.add('a', machineRecord({ shardId: 1 }));
  assert.ok(queue.counts.weight(1, 'g', 'x', false) > queue.counts.weight(1, 'g', 'z', false));
  assert.deepEqual([...queue.shardIds()], [1]);
  assert.deepEqual(
    queue.take(5).map(({ id }) => id),
    ['b', 'a'],
  );
  assert.equal(queue.counts.weight(1, 'g', 'x', false), 0);
});
