import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Permit } from './duty.js';
import { readTombstoneRecord, COLLECTION_DELAY_MS } from './tombstones.js';
import { GarbageCollector, type OrphanedKey } from './garbage-collector.js';
import { storedBytes } from './stored-size.js';
import { MemoryValue } from './testing/memory-value.js';
import { tokenOf, type FencingToken } from './token.js';

const KEY = 'r/0/job-1/0';

/** A remover over a stand-in that holds one left-over key at revision 40. */
const setUp = () => {
  const value = new MemoryValue(tokenOf(5));
  value.others.set(KEY, 40);
  const world = { now: 0, used: false, removed: [] as string[] };
  const garbageCollector = (token: FencingToken, maxBytes = 16 * 1024): GarbageCollector =>
    new GarbageCollector({
      value,
      begin: (): Permit => ({
        duty: 'clean-up',
        claim: '0',
        token,
        mayProceed: () => true,
        end: () => undefined,
      }),
      revisionOf: (key) => {
        const revision = value.others.get(key);
        return Promise.resolve(revision === undefined ? { _tag: 'absent' } : { _tag: 'revision', revision });
      },
      inUse: () => world.used,
      batch: () => 8,
      maxBytes,
      timeOfDay: () => world.now,
      removed: (keys) => world.removed.push(...keys.map(({ key }) => key)),
    });
  return { value, world, garbageCollector };
};
const steps = async (garbageCollector: GarbageCollector): Promise<void> => {
  for (let count = 0; count < 6; count += 1) await garbageCollector.step();
};
const orphanedKeys = (revision: number | null): OrphanedKey => ({ key: KEY, revision, reason: 'job over' });

type World = ReturnType<typeof setUp>;
const rows: readonly {
  name: string;
  revision: number | null;
  between: (setup: World) => void;
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
    name: 'it belongs to something again: left alone',
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
    between: ({ value }) => (value.next = 'answer lost'),
    gone: true,
  },
];
for (const row of rows) {
  test(`removal: ${row.name}`, async () => {
    const setup = setUp();
    const garbageCollector = setup.garbageCollector(tokenOf(5));
    garbageCollector.discard([orphanedKeys(row.revision)]);
    await steps(garbageCollector);
    assert.ok(setup.value.others.has(KEY), 'the first pass only marks');
    assert.equal(readTombstoneRecord(setup.value.entry.value).marked[0]?.revision, 40);
    setup.world.now = COLLECTION_DELAY_MS;
    row.between(setup);
    await steps(garbageCollector);
    assert.equal(!setup.value.others.has(KEY), row.gone);
  });
}

test('removal: a key that changed since it was marked is marked anew, not removed', async () => {
  const { value, world, garbageCollector } = setUp();
  const first = garbageCollector(tokenOf(5));
  first.discard([orphanedKeys(40)]);
  await steps(first);
  value.others.set(KEY, 77);
  world.now = COLLECTION_DELAY_MS;
  await steps(first);
  assert.ok(value.others.has(KEY));
  assert.equal(readTombstoneRecord(value.entry.value).marked.at(-1)?.revision, 77);
});

test('removal: a successor goes on with what was marked, and says under which tokens', async () => {
  const { value, world, garbageCollector } = setUp();
  const first = garbageCollector(tokenOf(5));
  first.discard([orphanedKeys(40)]);
  await steps(first);
  value.claim = tokenOf(9);
  world.now = COLLECTION_DELAY_MS;
  await steps(garbageCollector(tokenOf(9)));
  assert.deepEqual(world.removed, [KEY]);
  const [removed] = readTombstoneRecord(value.entry.value).removed;
  assert.deepEqual(
    { ...removed },
    { key: KEY, reason: 'job over', markedUnder: 5, removedUnder: 9, at: COLLECTION_DELAY_MS },
  );
  // The replaced holder wakes: its book and its claim are both old.
  await steps(first);
  assert.equal(readTombstoneRecord(value.entry.value).removed.length, 1);
});

test('removal: malformed marks name nothing that would be removed', () => {
  const good = { k: KEY, v: 3, r: 0, t: 5, a: 0 };
  const book = readTombstoneRecord({
    m: [good, { ...good, v: 'x' }, { ...good, t: 0 }, { ...good, r: 9 }, null],
    d: 7,
  });
  assert.equal(book.marked.length, 1);
  assert.deepEqual(book.removed, []);
  assert.deepEqual(readTombstoneRecord('x').marked, []);
});

test('removal: more left-over keys than one value can mark are removed in turns', async () => {
  // Guards against a book that outgrew a value: marks were tried for ever, and what was due was never
  // removed.
  const { value, world, garbageCollector } = setUp();
  const keys = Array.from({ length: 60 }, (_, n) => `r/0/job-${n}/1`);
  for (const key of keys) value.others.set(key, 40);
  const small = garbageCollector(tokenOf(5), 700);
  small.discard(keys.map((key) => ({ key, revision: 40, reason: 'job over' })));
  for (let round = 0; round < 30; round += 1) {
    await steps(small);
    assert.ok(storedBytes(value.entry.value) <= 700);
    world.now += COLLECTION_DELAY_MS;
  }
  assert.deepEqual(
    keys.filter((key) => value.others.has(key)),
    [],
  );
  assert.equal(small.due, false);
});
