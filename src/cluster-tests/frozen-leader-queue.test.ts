import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { LateAction } from '../testing/late-actions.js';
import { LeaderScenario } from '../testing/leader-scenario.js';
import type { ReceivedRequest } from '../testing/loopback.js';

const TIMEOUT_MS = 150_000;
/** Attempts to provoke a late action without fencing. */
const MAX_FREEZES = 3;

/**
 * Returns the late actions of a leader that is suspended while its provisioning request waits for the rate
 * limit of the cloud. The key-value store refuses lease renewals of the leader from before the decision on,
 * so that its lease is about to expire. When the leader resumes, a successor leads, and the rate limit lets
 * the request pass immediately.
 */
const lateActionsAfterFreeze = async (features: string): Promise<readonly LateAction[]> => {
  // At this rate of calls per second, each call makes the next one wait for about four seconds.
  const options = { features, cloudRps: 0.25 };
  let found: readonly LateAction[] = [];
  await LeaderScenario.run(options, async (scenario) => {
    const { deployment } = scenario;
    const old = await deployment.waitUntilReady();
    await scenario.waitUntilDutyHeld(old.node);
    const callsBefore = deployment.cloud.requests.length;
    await deployment.waitUntil('a call to the cloud, after which the next one waits', () =>
      deployment.cloud.requests.slice(callsBefore).some(({ node }) => node === old.node),
    );
    const isRenewal = ({ call }: ReceivedRequest): boolean => /^\/holds\/\d+\/renew$/.test(call.path);
    const stopRefusing = deployment.refuse((seen) => seen.node === old.node && isRenewal(seen));
    await scenario.submit(1);
    await scenario.waitUntilProvisioningDecided(old.node);
    deployment.suspend(old.node);
    await scenario.waitForSuccessor(old.node);
    deployment.resume(old.node);
    stopRefusing();
    await scenario.waitForLateEffects();
    found = scenario.lateActions();
  });
  return found;
};

test(
  'fencing: a request that waited for the rate limit while its leader was suspended is withheld',
  { timeout: TIMEOUT_MS },
  async () => {
    assert.deepEqual(await lateActionsAfterFreeze('fencing = true\n'), []);
  },
);

test(
  'fencing: without it, the same suspension lets a late action take effect, and the checker finds it',
  { timeout: TIMEOUT_MS },
  async () => {
    // The suspension has to begin between the decision and the time at which the rate limit lets the request
    // pass. On a busy machine it may begin too late. One late action shows that the checker finds them.
    let found: readonly LateAction[] = [];
    for (let freezes = 0; freezes < MAX_FREEZES && found.length === 0; freezes += 1)
      found = await lateActionsAfterFreeze('fencing = false\n');
    assert.equal(found[0]?.action.kind, 'rent', 'the checker does not detect that fencing is missing');
  },
);
