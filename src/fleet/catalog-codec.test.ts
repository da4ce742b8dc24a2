/** Tests of the stored catalog: its bytes, its parts, and what another version stored. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { MachineType } from '../jobs/model.js';
import type { StoredEntry } from '../kv-store/model.js';
import { areTypesStored, readStoredTypes, catalogWrites } from './catalog.js';
import { readMachineType, writeMachineType, type StoredMachineType } from './catalog-codec.js';

const type: MachineType = {
  name: 'g8',
  cpus: 1,
  gpus: 2,
  memoryGb: 3.5,
  cacheGb: 4,
  price: 5.5,
  spotPrice: 1.25,
  bootS: 40,
  zones: ['x', 'y'],
};
const TYPE =
  '{"name":"g8","cpus":1,"gpus":2,"memoryGb":3.5,"cacheGb":4,"price":5.5,"spotPrice":1.25,"bootS":40,' +
  '"zones":["x","y"]}';
/** As a later version might store it. */
const LATER_TYPE = TYPE.replace('"name"', '"later":1,"name"');
const LARGE = 10_000;
const none = (): undefined => undefined;
const itemOf = (value: unknown): StoredEntry => ({ key: 'w/catalog', value, version: 7 });

test('catalog codec: a machine type', () => {
  assert.equal(JSON.stringify(writeMachineType(type)), TYPE);
  assert.deepEqual(readMachineType(JSON.parse(LATER_TYPE) as StoredMachineType), type);
});

test('catalog codec: the whole catalog is stored as a list of its types', () => {
  const writes = catalogWrites([type], LARGE, 32, true);
  assert.equal(JSON.stringify(writes), `[{"_tag":"put","key":"w/catalog","value":[${TYPE}]}]`);
});

test('catalog codec: a catalog in parts names their number', () => {
  const writes = catalogWrites([type, type], TYPE.length + 5, 32, true);
  assert.equal(
    JSON.stringify(writes),
    `[{"_tag":"put","key":"w/catalog/0","value":[${TYPE}]},` +
      `{"_tag":"put","key":"w/catalog/1","value":[${TYPE}]},` +
      '{"_tag":"put","key":"w/catalog","value":{"p":2}}]',
  );
});

const stored: readonly { readonly name: string; readonly text: string; readonly same: boolean }[] = [
  { name: 'the same types', text: `[${TYPE}]`, same: true },
  { name: 'another price', text: `[${TYPE.replace('5.5', '6')}]`, same: false },
  { name: 'a field of another version', text: `[${LATER_TYPE}]`, same: false },
  { name: 'parts that are not there yet', text: '{"p":1}', same: false },
];
for (const row of stored) {
  test(`catalog codec: what is stored is compared as it is: ${row.name}`, () =>
    assert.equal(areTypesStored([type], itemOf(JSON.parse(row.text)), none), row.same));
}

test('catalog codec: fields of another version are not read', () => {
  const item = itemOf(JSON.parse(`[${LATER_TYPE}]`));
  assert.deepEqual(readStoredTypes(item, none), [type]);
});
