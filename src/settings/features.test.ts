/** Tests of the feature file: enabled features, rejected files, and the file that is deployed. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { ALL_FEATURES, checkFeatures, NO_FEATURES } from './features.js';

const rows: readonly { name: string; text: string; expect: object | RegExp }[] = [
  { name: 'an empty file disables all features', text: '', expect: NO_FEATURES },
  { name: 'an enabled feature', text: 'fencing = true\n', expect: ALL_FEATURES },
  { name: 'a disabled feature', text: '# not here\nfencing = false', expect: NO_FEATURES },
  {
    name: 'an unknown name',
    text: 'fencng = true',
    expect: /no feature is called "fencng"; there is: fencing/,
  },
  { name: 'a table', text: '[fencing]\nenabled = true', expect: /"fencing" must be true or false/ },
  { name: 'text in place of a boolean', text: 'fencing = "yes"', expect: /"fencing" must be true or false/ },
  { name: 'not TOML', text: 'fencing: true', expect: /^features: not TOML: / },
];
for (const row of rows) {
  test(`features: ${row.name}`, () => {
    const checked = checkFeatures(row.text);
    if (row.expect instanceof RegExp) {
      assert.equal(checked._tag, 'bad');
      assert.match(checked.message, row.expect);
      assert.ok(!checked.message.includes('\n'), 'one line');
    } else assert.deepEqual(checked, { _tag: 'ok', features: row.expect });
  });
}

test('features: the file of the installation is valid', () =>
  assert.equal(checkFeatures(readFileSync('deploy/features.toml', 'utf8'))._tag, 'ok'));
