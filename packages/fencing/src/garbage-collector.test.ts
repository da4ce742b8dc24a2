/** Orphaned keys are removed in two steps, and never one that changed or is in use again. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Permit } from './duty.js';
import { readTombstoneRecord } from './tombstone-record-codec.js';
import { COLLECTION_DELAY_MS } from './tombstones.js';
import { GarbageCollector, type OrphanedKey } from './garbage-collector.js';
import { storedBytes } from './stored-size.js';
import { MemoryValue } from './testing/memory-value.js';
import { tokenOf, type FencingToken } from './token.js';

const KEY = 'r/0/job-1/0';

/** A garbage collector over a state service with one orphaned key at revision 40. */
const setUpCollector = () => {
  const value = new MemoryValue(tokenOf(5));
  value.otherKeys.set(KEY, 40);
  const world = { now: 0, used: false, removed: [] as string[] };
  const garbageCollector = (token: FencingToken, maxBytes = 16 * 1024): GarbageCollector =>
    new GarbageCollector({
      value,
      beginStep: (): Permit => ({
        duty: 'clean-up',
        claim: '0',
        token,
        mayProceed: () => true,
        end: () => undefined,
      }),
      revisionOf: (key) => {
        const revision = value.otherKeys.get(key);
        return Promise.resolve(revision === undefined ? { _tag: 'absent' } : { _tag: 'revision', revision });
      },
      inUse: () => world.used,
      batchSize: () => 8,
      maxBytes,
      timeOfDay: () => world.now,
      onCollected: (keys) => world.removed.push(...keys.map(({ key }) => key)),
    });
  return { value, world, garbageCollector };
};
const runSteps = async (garbageCollector: GarbageCollector): Promise<void> => {
  for (let count = 0; count < 6; count += 1) await garbageCollector.step();
};
const orphanedKey = (revision: number | null): OrphanedKey => ({ key: KEY, revision, reason: 'job over' });

type CollectorSetup = ReturnType<typeof setUpCollector>;
const rows: readonly {
  name: string;
  revision: number | null;
  between: (setup: CollectorSetup) => void;
  gone: boolean;
}[] = [
  { name: 'removed by the second pass', revision: 40, between: () => undefined, gone: true },
  {
    name: 'its revision is read where it is not known',
    revision: null,
    between: () => undefined,
    gone: true,
  },
  {
    name: 'it is in use again: left alone',
    revision: 40,
    between: ({ world }) => (world.used = true),
    gone: false,
  },
  {
    name: 'another holder took over: left to him',
    revision: 40,
    between: ({ value }) => (value.claim = tokenOf(9)),
    gone: false,
  },
  {
    name: 'the answer to the removal is lost: looked up, not repeated blindly',
    revision: 40,
    between: ({ value }) => (value.nextWrite = 'answer lost'),
    gone: true,
  },
];
for (const row of rows) {
  test(`garbage collection: ${row.name}`, async () => {
    const setup = setUpCollector();
    const garbageCollector = setup.garbageCollector(tokenOf(5));
    garbageCollector.enqueue([orphanedKey(row.revision)]);
    await runSteps(garbageCollector);
    assert.ok(setup.value.otherKeys.has(KEY), 'the first pass only marks');
    assert.equal(readTombstoneRecord(setup.value.entry.value).marked[0]?.revision, 40);
    setup.world.now = COLLECTION_DELAY_MS;
    row.between(setup);
    await runSteps(garbageCollector);
    assert.equal(!setup.value.otherKeys.has(KEY), row.gone);
  });
}

test('garbage collection: a key that changed since it was marked is marked anew, not removed', async () => {
  const { value, world, garbageCollector } = setUpCollector();
  const first = garbageCollector(tokenOf(5));
  first.enqueue([orphanedKey(40)]);
  await runSteps(first);
  value.otherKeys.set(KEY, 77);
  world.now = COLLECTION_DELAY_MS;
  await runSteps(first);
  assert.ok(value.otherKeys.has(KEY));
  assert.equal(readTombstoneRecord(value.entry.value).marked.at(-1)?.revision, 77);
});

test('garbage collection: a successor goes on with what was marked, and says under which tokens', async () => {
  const { value, world, garbageCollector } = setUpCollector();
  const first = garbageCollector(tokenOf(5));
  first.enqueue([orphanedKey(40)]);
  await runSteps(first);
  value.claim = tokenOf(9);
  world.now = COLLECTION_DELAY_MS;
  await runSteps(garbageCollector(tokenOf(9)));
  assert.deepEqual(world.removed, [KEY]);
  const [removed] = readTombstoneRecord(value.entry.value).removed;
  assert.deepEqual(
    { ...removed },
    { key: KEY, reason: 'job over', markedUnder: 5, removedUnder: 9, at: COLLECTION_DELAY_MS },
  );
  // The replaced holder wakes: its record and its claim are both old.
  await runSteps(first);
  assert.equal(readTombstoneRecord(value.entry.value).removed.length, 1);
});

test('garbage collection: more orphaned keys than one value can mark are removed in turns', async () => {
  // A record that outgrew its value would be refused for ever, and what is due would never be removed.
  const { value, world, garbageCollector } = setUpCollector();
  const keys = Array.from({ length: 60 }, (_, n) => `r/0/job-${n}/1`);
  for (const key of keys) value.otherKeys.set(key, 40);
  const small = garbageCollector(tokenOf(5), 700);
  small.enqueue(keys.map((key) => ({ key, revision: 40, reason: 'job over' })));
  for (let round = 0; round < 30; round += 1) {
    await runSteps(small);
    assert.ok(storedBytes(value.entry.value) <= 700);
    world.now += COLLECTION_DELAY_MS;
  }
  assert.deepEqual(
    keys.filter((key) => value.otherKeys.has(key)),
    [],
  );
  assert.equal(small.hasWork, false);
});
