/** Tokens are read strictly, and a receiver refuses a token below the highest that it has seen. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseToken, TokenRegister, tokenOf } from './token.js';

const tokens: readonly { name: string; value: unknown; valid: boolean }[] = [
  { name: 'a revision', value: 7, valid: true },
  { name: 'the largest', value: Number.MAX_SAFE_INTEGER, valid: true },
  { name: 'none', value: undefined, valid: false },
  { name: 'text', value: '7', valid: false },
  { name: 'a fraction', value: 7.5, valid: false },
  { name: 'zero', value: 0, valid: false },
  { name: 'negative', value: -1, valid: false },
  { name: 'out of range', value: 2 ** 60, valid: false },
];
for (const row of tokens) {
  test(`token: ${row.name}`, () => {
    const parsed = parseToken(row.value, 'token');
    assert.equal(parsed._tag, row.valid ? 'token' : 'invalid');
    if (parsed._tag === 'invalid') assert.match(parsed.reason, /^token must be an integer from 1 to/);
  });
}

test('register: a receiver refuses a token below the highest one seen, for each claim separately', () => {
  const register = new TokenRegister();
  assert.deepEqual(register.check('L', tokenOf(5)), { _tag: 'accepted' });
  assert.deepEqual(register.check('L', tokenOf(5)), { _tag: 'accepted' }, 'the same holder again');
  register.note('L', tokenOf(9));
  assert.deepEqual(register.check('L', tokenOf(5)), { _tag: 'stale', current: 9 });
  assert.deepEqual(register.check('0', tokenOf(2)), { _tag: 'accepted' });
  assert.equal(register.current('L'), 9);
});
