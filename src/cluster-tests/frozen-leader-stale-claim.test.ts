/**
 * Guards against a leader that acts on a claim of an earlier lease: the leader resumed after its successor
 * had taken over, acquired a new lease before its watch reported that the claim was gone, and its request
 * took effect.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LeaderScenario } from '../testing/leader-scenario.js';
import type { ReceivedRequest } from '../testing/loopback.js';

const TIMEOUT_MS = 150_000;
const FENCING_ON = { features: 'fencing = true\n', cloudRps: 4 };

const isProvisioningRequest = ({ service, call }: ReceivedRequest): boolean =>
  service === 'cloud' && call.path === '/machines' && call.method === 'POST';
const isWatchRequest = ({ service, call }: ReceivedRequest): boolean =>
  service === 'state' && call.path === '/follow';
const isLeaseRequest = ({ service, call }: ReceivedRequest): boolean =>
  service === 'state' && call.path === '/holds';

test(
  'fencing: a leader that resumes under a new lease with a late watch repeats no request of the earlier one',
  { timeout: TIMEOUT_MS },
  async () => {
    await LeaderScenario.run(FENCING_ON, async (scenario) => {
      const { deployment } = scenario;
      const old = await deployment.waitUntilReady();
      await scenario.waitUntilDutyHeld(old.node);
      let rentals = 0;
      // The first copy never arrives; the leader repeats the request after the request times out.
      const first = deployment.hold('request', (seen) => {
        if (seen.node !== old.node || !isProvisioningRequest(seen)) return false;
        rentals += 1;
        return rentals === 1;
      });
      // The successor has not settled the open request yet.
      deployment.hold('request', (seen) => seen.node !== old.node && isProvisioningRequest(seen));
      await scenario.submit(1);
      await deployment.waitUntil('the provisioning request to be in flight', () => first.count() > 0);
      deployment.hold('answer', (seen) => seen.node === old.node && isWatchRequest(seen));
      deployment.suspend(old.node);
      await scenario.waitForSuccessor(old.node);
      let leaseRequests = 0;
      deployment.hold('request', (seen) => {
        if (seen.node === old.node && isLeaseRequest(seen)) leaseRequests += 1;
        return false;
      });
      deployment.resume(old.node);
      await deployment.waitUntil('a new lease of the old leader', () => leaseRequests > 0);
      // The first copy times out 6 s after the leader sent it.
      for (let pauses = 0; pauses < 3; pauses += 1) await scenario.waitForLateEffects();
      assert.deepEqual(scenario.lateActions(), []);
      assert.equal(rentals, 1, 'the request was not sent again');
    });
  },
);
