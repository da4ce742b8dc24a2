/**
 * Guards the interval that no check inside a process can close: a request that was permitted in time leaves
 * the process, or reaches the cloud, after the successor's claim. The intent is durable, so a late copy has
 * no effect that the successor's own copy would not have, at any point of the successor's settlement.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { writeMachineRecord } from '../fleet/machine-record-codec.js';
import { machineRecord } from '../testing/bodies.js';
import { LeaderScenario } from '../testing/leader-scenario.js';
import type { HoldStage, ReceivedRequest } from '../testing/loopback.js';

const FENCING_ON = { features: 'fencing = true\n', cloudRps: 4 };
const TIMEOUT_MS = 150_000;
const MACHINE = 'i-900001';
const RECORD_KEY = `w/m/${MACHINE}`;

const isProvisioningRequest = ({ service, call }: ReceivedRequest): boolean =>
  service === 'cloud' && call.path === '/machines' && call.method === 'POST';
const isReleaseRequest = ({ service, call }: ReceivedRequest): boolean =>
  service === 'cloud' && call.path === '/machines/release';

/** Where the successor's own copy of the request is held when the late copy arrives. */
const moments: readonly { name: string; successorAt: HoldStage }[] = [
  { name: 'before the successor’s copy takes effect', successorAt: 'request' },
  { name: 'between the effect of the successor’s copy and its answer', successorAt: 'answer' },
];

for (const { name, successorAt } of moments) {
  test(`fencing: a late provisioning request arrives ${name}`, { timeout: TIMEOUT_MS }, async () => {
    await LeaderScenario.run(FENCING_ON, async (scenario) => {
      const { deployment } = scenario;
      const old = await deployment.waitUntilReady();
      await scenario.waitUntilDutyHeld(old.node);
      const late = deployment.hold(
        'request',
        (seen) => seen.node === old.node && isProvisioningRequest(seen),
      );
      const settling = deployment.hold(
        successorAt,
        (seen) => seen.node !== old.node && isProvisioningRequest(seen),
      );
      await scenario.submit(1);
      await deployment.waitUntil('the provisioning request to be in flight', () => late.count() > 0);
      deployment.suspend(old.node);
      const next = await scenario.waitForSuccessor(old.node);
      await deployment.waitUntil('the successor to send its copy of the request', () => settling.count() > 0);
      late.release();
      const effectiveRequests = (): number =>
        deployment.cloud.actions.filter(({ node, kind }) => node === old.node && kind === 'rent').length;
      await deployment.waitUntil('the late copy to arrive', () => effectiveRequests() > 0);
      settling.release();
      await scenario.waitUntilDutyHeld(next.node);
      deployment.resume(old.node);
      await deployment.waitUntil(
        'the machine to have a record',
        () => deployment.state.keys('w/m/').length > 0,
      );
      await scenario.waitForLateEffects();
      const made = deployment.cloud.actions.filter(({ machines }) => machines.length > 0);
      assert.deepEqual(
        made.map((action) => action.name),
        [`r-${old.token}-1`],
        'machines were provisioned once, under one request name',
      );
      assert.equal(deployment.cloud.machines.size, 1, 'no machine was provisioned twice');
      assert.equal(deployment.state.keys('w/m/').length, 1, 'the machine has a record');
    });
  });

  test(`fencing: a late release request arrives ${name}`, { timeout: TIMEOUT_MS }, async () => {
    await LeaderScenario.run(FENCING_ON, async (scenario) => {
      const { deployment } = scenario;
      const old = await deployment.waitUntilReady();
      const late = deployment.hold('request', (seen) => seen.node === old.node && isReleaseRequest(seen));
      const settling = deployment.hold(
        successorAt,
        (seen) => seen.node !== old.node && isReleaseRequest(seen),
      );
      deployment.cloud.addMachine(MACHINE);
      await deployment.state.handle('test', 'POST', '/txn', {
        when: [],
        writes: [{ write: RECORD_KEY, data: writeMachineRecord(machineRecord({ releasing: true })) }],
      });
      await deployment.waitUntil('the release request to be in flight', () => late.count() > 0);
      deployment.suspend(old.node);
      await scenario.waitForSuccessor(old.node);
      await deployment.waitUntil('the successor to release the machine', () => settling.count() > 0);
      late.release();
      await deployment.waitUntil('the machine to be released', () => !deployment.cloud.machines.has(MACHINE));
      settling.release();
      await deployment.waitUntil(
        'the record of the machine to be removed',
        () => deployment.state.version(RECORD_KEY) === 0,
      );
      deployment.resume(old.node);
      await scenario.waitForLateEffects();
      assert.deepEqual(scenario.lateActions(), [], 'each release was requested by a machine record');
      assert.equal(deployment.cloud.machines.size, 0);
      assert.equal(deployment.state.version(RECORD_KEY), 0, 'the record is not written again');
    });
  });
}
