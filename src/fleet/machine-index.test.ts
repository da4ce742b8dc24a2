/** Tests of the machine index and of the counts in the adoption queue. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { WatchEvent } from '../kv-store/model.js';
import { AdoptionQueue } from './adoption-queue.js';
import { MachineIndex } from './machine-index.js';
import { machineRecord } from '../testing/bodies.js';
import { writeMachineRecord } from './machine-record-codec.js';
import type { MachineRecord } from './machine-record.js';

const put = (id: string, overrides: Partial<MachineRecord> = {}): WatchEvent => ({
  _tag: 'put',
  entry: { key: `w/m/${id}`, value: writeMachineRecord(machineRecord(overrides)), version: 1 },
});
const remove = (id: string): WatchEvent => ({ _tag: 'delete', key: `w/m/${id}`, version: 2 });

/** Guards the incremental counts, which replace iterating over all machines several times per second. */
const cases: readonly {
  readonly name: string;
  readonly events: readonly WatchEvent[];
  readonly countOfKind: number;
  readonly releasing: readonly string[];
}[] = [
  { name: 'counts each machine once', events: [put('a'), put('b'), put('a')], countOfKind: 2, releasing: [] },
  {
    name: 'counts only machines of the kind',
    events: [put('a'), put('b', { spot: true }), put('c', { zone: 'y' })],
    countOfKind: 1,
    releasing: [],
  },
  {
    name: 'does not count machines to be released',
    events: [put('a'), put('b'), put('b', { releasing: true })],
    countOfKind: 1,
    releasing: ['b'],
  },
  {
    name: 'does not count deleted records',
    events: [put('a', { releasing: true }), put('b'), remove('a'), remove('b')],
    countOfKind: 0,
    releasing: [],
  },
  {
    name: 'counts a machine whose release request was removed',
    events: [put('a', { releasing: true }), put('a')],
    countOfKind: 1,
    releasing: [],
  },
  {
    name: 'ignores other keys',
    events: [{ _tag: 'delete', key: 'w/j/a', version: 3 }, put('a')],
    countOfKind: 1,
    releasing: [],
  },
];
for (const row of cases) {
  test(`machine index: ${row.name}`, () => {
    const index = new MachineIndex();
    for (const event of row.events) index.onEvent(event);
    assert.equal(index.countOfKind('g', 'x', false), row.countOfKind);
    assert.deepEqual([...index.releasing], row.releasing);
  });
}

test('machine index: queued machines count for the shard to which they will belong', () => {
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
