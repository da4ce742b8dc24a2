/**
 * Guards against a leader that acts on a claim of an earlier lease: woken after its successor took over, it
 * had a new lease before its watch showed that the claim was gone, and its request landed.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LeaderScenario } from '../testing/leader-scenario.js';
import type { ReceivedRequest } from '../testing/loopback.js';

const TIMEOUT_MS = 150_000;
const ON = { features: 'fencing = true\n', cloudRps: 4 };

const isRental = ({ service, call }: ReceivedRequest): boolean =>
  service === 'cloud' && call.path === '/machines' && call.method === 'POST';
const isWatch = ({ service, call }: ReceivedRequest): boolean =>
  service === 'state' && call.path === '/follow';
const isLeaseRequest = ({ service, call }: ReceivedRequest): boolean =>
  service === 'state' && call.path === '/holds';

test(
  'fencing: a leader woken under a new lease, whose watch is late, repeats no request of the lease before',
  { timeout: TIMEOUT_MS },
  async () => {
    await LeaderScenario.run(ON, async (scenario) => {
      const { deployment } = scenario;
      const old = await deployment.waitUntilReady();
      await scenario.waitUntilDutyHeld(old.node);
      let rentals = 0;
      // The first copy never arrives; the leader repeats the request once it has waited in vain for the answer.
      const first = deployment.hold('request', (seen) => {
        if (seen.node !== old.node || !isRental(seen)) return false;
        rentals += 1;
        return rentals === 1;
      });
      // The successor has not settled the open request yet.
      deployment.hold('request', (seen) => seen.node !== old.node && isRental(seen));
      await scenario.submit(1);
      await deployment.waitUntil('the request to be under way', () => first.count() > 0);
      deployment.hold('answer', (seen) => seen.node === old.node && isWatch(seen));
      deployment.suspend(old.node);
      await scenario.waitForSuccessor(old.node);
      let leaseRequests = 0;
      deployment.hold('request', (seen) => {
        if (seen.node === old.node && isLeaseRequest(seen)) leaseRequests += 1;
        return false;
      });
      deployment.resume(old.node);
      await deployment.waitUntil('a new lease of the old leader', () => leaseRequests > 0);
      // It gives up the first copy 6 s after it sent it.
      for (let pauses = 0; pauses < 3; pauses += 1) await scenario.waitForLateEffects();
      assert.deepEqual(scenario.lateActions(), []);
      assert.equal(rentals, 1, 'the request was not sent again');
    });
  },
);
