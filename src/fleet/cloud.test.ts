/**
 * What each answer of the cloud is taken to mean, and that nothing with an effect goes out without a permit.
 */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as Effect from 'effect/Effect';
import { WITHHELD, type CallOutcome, type HttpClientFactory } from '../http/model.js';
import { alwaysAnswering, status, TIMED_OUT } from '../testing/answering-client.js';
import { permitWhile } from '../testing/duties.js';
import { Cloud } from './cloud.js';

const at = { host: 'h', port: 1 };

const provisionings: readonly { name: string; answer: CallOutcome; expect: string }[] = [
  { name: 'rented, perhaps fewer', answer: status(200, { drovers: ['i-1'] }), expect: 'rented' },
  { name: 'no capacity', answer: status(503, { error: 'no capacity' }), expect: 'noCapacity' },
  {
    name: 'an outage is not a lack of capacity',
    answer: status(503, { error: 'trouble' }),
    expect: 'refused',
  },
  { name: 'too many requests', answer: status(429), expect: 'refused' },
  { name: 'no answer: machines may come up that nobody expects', answer: TIMED_OUT, expect: 'unknown' },
  { name: 'the right to send it was lost on the way: surely not sent', answer: WITHHELD, expect: 'withheld' },
];
for (const row of provisionings) {
  test(`provision: ${row.name}`, async () => {
    const cloud = new Cloud(at, 10, 1, () => 0, alwaysAnswering(row.answer));
    const result = await Effect.runPromise(
      cloud.provision(
        { name: 'r', type: 'g', zone: 'a', spot: false, count: 2 },
        permitWhile(() => true),
      ),
    );
    assert.equal(result._tag, row.expect);
  });
}

test('cloud: what a duty must cover neither compiles nor runs without its permit', async () => {
  let requests = 0;
  const counting: HttpClientFactory = () => ({
    request: () => {
      requests += 1;
      return Promise.resolve(TIMED_OUT);
    },
  });
  const cloud = new Cloud(at, 10, 1, () => 0, counting);
  const request = { name: 'r', type: 'g', zone: 'a', spot: false, count: 2 };
  // @ts-expect-error a provisioning without a permit
  await assert.rejects(Effect.runPromise(cloud.provision(request)));
  // @ts-expect-error a release without a permit
  await assert.rejects(Effect.runPromise(cloud.release(['i-1'])));
  assert.equal(requests, 0);
});
