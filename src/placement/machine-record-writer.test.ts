/** Tests which images a machine record names. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { recentImages } from './machine-record-writer.js';

/**
 * Guards against machine records without image names: after a transfer to another shard, gangs were then
 * placed on machines without their image, and each fetch took longer than their start target. The names are
 * bounded, because otherwise a batch of records would be refused for its size for ever.
 */
const cases: readonly {
  readonly name: string;
  readonly images: readonly string[];
  readonly maxBytes: number;
  readonly recorded: readonly string[];
}[] = [
  { name: 'none', images: [], maxBytes: 100, recorded: [] },
  {
    name: 'all in the order of their use',
    images: ['a', 'b', 'c'],
    maxBytes: 100,
    recorded: ['a', 'b', 'c'],
  },
  {
    name: 'the most recently used ones if not all fit',
    images: ['a', 'b', 'c'],
    maxBytes: 8,
    recorded: ['b', 'c'],
  },
  { name: 'a single one that is too long', images: ['x'.repeat(256)], maxBytes: 100, recorded: [] },
];
for (const row of cases) {
  test(`images of a machine record: ${row.name}`, () => {
    assert.deepEqual(recentImages(new Set(row.images), row.maxBytes), row.recorded);
  });
}
