import assert from 'node:assert/strict';
import { test } from 'node:test';
import { writeMachineRecord } from '../fleet/machine-record-codec.js';
import { machineRecord } from '../testing/bodies.js';
import { LeaderScenario } from '../testing/leader-scenario.js';
import type { LoopbackOptions, ReceivedRequest } from '../testing/loopback.js';

/**
 * Three controllers as real processes on loopback. SIGSTOP suspends the leader in each phase of provisioning
 * and releasing machines, and the leader resumes after its successor acted. The logs of the stand-ins must
 * show no late action of the old leader.
 */
const FENCING_ON: LoopbackOptions = { features: 'fencing = true\n', cloudRps: 4 };
const TIMEOUT_MS = 150_000;
const isIntentWrite = ({ service, call }: ReceivedRequest): boolean =>
  service === 'state' && call.path === '/txn' && JSON.stringify(call.body).includes('"i/rent"');
const isProvisioningRequest = ({ service, call }: ReceivedRequest): boolean =>
  service === 'cloud' && call.path === '/machines' && call.method === 'POST';
const isReleaseRequest = ({ service, call }: ReceivedRequest): boolean =>
  service === 'cloud' && call.path === '/machines/release';

const windows: readonly {
  name: string;
  at: 'request' | 'answer';
  matches: (request: ReceivedRequest) => boolean;
  /** Number of requests under the old leader's request name that created machines. */
  provisionedUnderOldName: number;
}[] = [
  { name: 'between decision and intent', at: 'request', matches: isIntentWrite, provisionedUnderOldName: 0 },
  { name: 'between intent and call', at: 'answer', matches: isIntentWrite, provisionedUnderOldName: 1 },
  {
    name: 'between call and its effect',
    at: 'request',
    matches: isProvisioningRequest,
    provisionedUnderOldName: 1,
  },
  {
    name: 'between effect and answer',
    at: 'answer',
    matches: isProvisioningRequest,
    provisionedUnderOldName: 1,
  },
];
for (const window of windows) {
  test(
    `fencing: the leader is suspended ${window.name} of a provisioning request`,
    { timeout: TIMEOUT_MS },
    async () => {
      await LeaderScenario.run(FENCING_ON, async (scenario) => {
        const { deployment } = scenario;
        const old = await deployment.waitUntilReady();
        await scenario.waitUntilDutyHeld(old.node);
        const held = deployment.hold(window.at, (seen) => seen.node === old.node && window.matches(seen));
        await scenario.submit(1);
        await deployment.waitUntil('the leader to reach the phase', () => held.count() > 0);
        deployment.suspend(old.node);
        const next = await scenario.waitForSuccessor(old.node);
        await scenario.waitUntilDutyHeld(next.node);
        deployment.resume(old.node);
        held.release();
        await scenario.waitForLateEffects();
        assert.ok(next.token > old.token, 'the token of the successor is higher');
        assert.deepEqual(scenario.lateActions(), []);
        const underOldName = deployment.cloud.actions.filter(
          ({ kind, name, machines }) =>
            kind === 'rent' && name?.startsWith(`r-${old.token}-`) && machines.length > 0,
        );
        assert.equal(
          underOldName.length,
          window.provisionedUnderOldName,
          'the request took effect at most once',
        );
        // One job needs one machine: no machine was provisioned twice.
        await deployment.waitUntil('one machine', () => deployment.cloud.machines.size === 1);
      });
    },
  );
}

test(
  'fencing: the leader is suspended while its release request is in flight',
  { timeout: TIMEOUT_MS },
  async () => {
    await LeaderScenario.run(FENCING_ON, async (scenario) => {
      const { deployment } = scenario;
      const old = await deployment.waitUntilReady();
      const held = deployment.hold('request', (seen) => seen.node === old.node && isReleaseRequest(seen));
      deployment.cloud.addMachine('i-900001');
      await deployment.state.handle('test', 'POST', '/txn', {
        when: [],
        writes: [{ write: 'w/m/i-900001', data: writeMachineRecord(machineRecord({ releasing: true })) }],
      });
      await deployment.waitUntil('the release request to be in flight', () => held.count() > 0);
      deployment.suspend(old.node);
      const next = await scenario.waitForSuccessor(old.node);
      await deployment.waitUntil(
        'the successor to release the machine',
        () => !deployment.cloud.machines.has('i-900001'),
      );
      await deployment.waitUntil(
        'the record of the machine to be removed',
        () => deployment.state.version('w/m/i-900001') === 0,
      );
      deployment.resume(old.node);
      held.release();
      await scenario.waitForLateEffects();
      assert.ok(next.token > old.token);
      assert.deepEqual(scenario.lateActions(), []);
    });
  },
);

test(
  'fencing: the key-value store has an outage while the leader is suspended',
  { timeout: TIMEOUT_MS },
  async () => {
    await LeaderScenario.run(FENCING_ON, async (scenario) => {
      const { deployment } = scenario;
      const old = await deployment.waitUntilReady();
      await scenario.waitUntilDutyHeld(old.node);
      const held = deployment.hold('answer', (seen) => seen.node === old.node && isIntentWrite(seen));
      await scenario.submit(1);
      await deployment.waitUntil('the intent to be durable', () => held.count() > 0);
      deployment.suspend(old.node);
      deployment.state.setOutage(true);
      await scenario.waitForLateEffects();
      // The end of the outage restarts the old leader's lease; a successor takes the duty when that lease
      // expires.
      deployment.state.setOutage(false);
      const next = await scenario.waitForSuccessor(old.node);
      await scenario.waitUntilDutyHeld(next.node);
      deployment.resume(old.node);
      held.release();
      await scenario.waitForLateEffects();
      assert.deepEqual(scenario.lateActions(), []);
      assert.equal(deployment.cloud.machines.size, 1);
    });
  },
);

test(
  'fencing: a leader that is killed with an open intent and restarts immediately settles the intent itself',
  { timeout: TIMEOUT_MS },
  async () => {
    await LeaderScenario.run(FENCING_ON, async (scenario) => {
      const { deployment } = scenario;
      const old = await deployment.waitUntilReady();
      await scenario.waitUntilDutyHeld(old.node);
      const held = deployment.hold(
        'request',
        (seen) => seen.node === old.node && isProvisioningRequest(seen),
      );
      await scenario.submit(1);
      await deployment.waitUntil('the provisioning request to be in flight', () => held.count() > 0);
      await deployment.kill(old.node);
      deployment.spawn(old.node);
      const next = await deployment.waitUntil('a claim with a higher token', () => {
        const last = scenario.leadershipTerms.at(-1);
        return last && last.token > old.token ? last : null;
      });
      // The request of the killed process arrives after the new process has started.
      held.release();
      await scenario.waitUntilDutyHeld(next.node);
      await scenario.waitForLateEffects();
      const made = deployment.cloud.actions.filter(
        ({ kind, machines }) => kind === 'rent' && machines.length > 0,
      );
      assert.deepEqual(
        made.map(({ name }) => name),
        [`r-${old.token}-1`],
        'machines were provisioned once, under one request name',
      );
      assert.equal(deployment.cloud.machines.size, 1);
    });
  },
);
