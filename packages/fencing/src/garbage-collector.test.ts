/** Orphaned keys are removed in two steps; a key that changed or is in use again is not removed. */
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

/** Returns a garbage collector with a key-value store that has one orphaned key at revision 40. */
const setUpCollector = () => {
  const value = new MemoryValue(tokenOf(5));
  value.otherKeys.set(KEY, 40);
  const environment = { now: 0, used: false, removed: [] as string[] };
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
      inUse: () => environment.used,
      batchSize: () => 8,
      maxBytes,
      timeOfDay: () => environment.now,
      onCollected: (keys) => environment.removed.push(...keys.map(({ key }) => key)),
    });
  return { value, environment, garbageCollector };
};
const runSteps = async (garbageCollector: GarbageCollector): Promise<void> => {
  for (let count = 0; count < 6; count += 1) await garbageCollector.step();
};
const orphanedKey = (revision: number | null): OrphanedKey => ({ key: KEY, revision, reason: 'job over' });

type CollectorSetup = ReturnType<typeof setUpCollector>;
const rows: readonly {
  name: string;
  revision: number | null;
  beforeRemoval: (setup: CollectorSetup) => void;
  gone: boolean;
}[] = [
  { name: 'the key is removed by the second pass', revision: 40, beforeRemoval: () => undefined, gone: true },
  {
    name: 'an unknown revision is read',
    revision: null,
    beforeRemoval: () => undefined,
    gone: true,
  },
  {
    name: 'the key is in use again: it is not removed',
    revision: 40,
    beforeRemoval: ({ environment }) => (environment.used = true),
    gone: false,
  },
  {
    name: 'another holder took over: the replaced one removes nothing',
    revision: 40,
    beforeRemoval: ({ value }) => (value.claim = tokenOf(9)),
    gone: false,
  },
  {
    name: 'the answer to the removal is lost: the record is read before another removal',
    revision: 40,
    beforeRemoval: ({ value }) => (value.nextWrite = 'answer lost'),
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
    setup.environment.now = COLLECTION_DELAY_MS;
    row.beforeRemoval(setup);
    await runSteps(garbageCollector);
    assert.equal(!setup.value.otherKeys.has(KEY), row.gone);
  });
}

test('garbage collection: a key that changed since it was marked is marked again, not removed', async () => {
  const { value, environment, garbageCollector } = setUpCollector();
  const first = garbageCollector(tokenOf(5));
  first.enqueue([orphanedKey(40)]);
  await runSteps(first);
  value.otherKeys.set(KEY, 77);
  environment.now = COLLECTION_DELAY_MS;
  await runSteps(first);
  assert.ok(value.otherKeys.has(KEY));
  assert.equal(readTombstoneRecord(value.entry.value).marked.at(-1)?.revision, 77);
});

test('garbage collection: a successor removes marked keys, and records both tokens', async () => {
  const { value, environment, garbageCollector } = setUpCollector();
  const first = garbageCollector(tokenOf(5));
  first.enqueue([orphanedKey(40)]);
  await runSteps(first);
  value.claim = tokenOf(9);
  environment.now = COLLECTION_DELAY_MS;
  await runSteps(garbageCollector(tokenOf(9)));
  assert.deepEqual(environment.removed, [KEY]);
  const [removed] = readTombstoneRecord(value.entry.value).removed;
  assert.deepEqual(
    { ...removed },
    { key: KEY, reason: 'job over', markedUnder: 5, removedUnder: 9, at: COLLECTION_DELAY_MS },
  );
  // The replaced holder resumes with an outdated record and an outdated claim.
  await runSteps(first);
  assert.equal(readTombstoneRecord(value.entry.value).removed.length, 1);
});

test('garbage collection: more orphaned keys than one record can mark are removed in batches', async () => {
  // Guards against a record above the maximum size: each write would be refused, and no key ever removed.
  const { value, environment, garbageCollector } = setUpCollector();
  const keys = Array.from({ length: 60 }, (_, n) => `r/0/job-${n}/1`);
  for (const key of keys) value.otherKeys.set(key, 40);
  const small = garbageCollector(tokenOf(5), 700);
  small.enqueue(keys.map((key) => ({ key, revision: 40, reason: 'job over' })));
  for (let round = 0; round < 30; round += 1) {
    await runSteps(small);
    assert.ok(storedBytes(value.entry.value) <= 700);
    environment.now += COLLECTION_DELAY_MS;
  }
  assert.deepEqual(
    keys.filter((key) => value.otherKeys.has(key)),
    [],
  );
  assert.equal(small.hasWork, false);
});
