/**
 * Guards the window that no check inside a process closes: a request whose permit was given in time leaves, or
 * arrives, after the successor's claim. The intent is durable, so a late copy changes nothing that the
 * successor would not do itself, at whatever moment of its settlement it arrives.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { writeMachineRecord } from '../fleet/machine-record-codec.js';
import { machineRecord } from '../testing/bodies.js';
import { LeaderScenario } from '../testing/leader-scenario.js';
import type { HoldStage, ReceivedRequest } from '../testing/loopback.js';

const ON = { features: 'fencing = true\n', cloudRps: 4 };
const TIMEOUT_MS = 150_000;
const MACHINE = 'i-900001';
const RECORD_KEY = `w/m/${MACHINE}`;

const isRental = ({ service, call }: ReceivedRequest): boolean =>
  service === 'cloud' && call.path === '/machines' && call.method === 'POST';
const isRelease = ({ service, call }: ReceivedRequest): boolean =>
  service === 'cloud' && call.path === '/machines/release';

/** Where the successor's own copy of the request is when the late one arrives. */
const moments: readonly { name: string; successorAt: HoldStage }[] = [
  { name: 'before the successor’s copy takes effect', successorAt: 'request' },
  { name: 'between the effect of the successor’s copy and its answer', successorAt: 'answer' },
];

for (const { name, successorAt } of moments) {
  test(`fencing: a late request for machines arrives ${name}`, { timeout: TIMEOUT_MS }, async () => {
    await LeaderScenario.run(ON, async (scenario) => {
      const { deployment } = scenario;
      const old = await deployment.waitUntilReady();
      await scenario.waitUntilDutyHeld(old.node);
      const late = deployment.hold('request', (seen) => seen.node === old.node && isRental(seen));
      const settling = deployment.hold(successorAt, (seen) => seen.node !== old.node && isRental(seen));
      await scenario.submit(1);
      await deployment.waitUntil('the request to be under way', () => late.count() > 0);
      deployment.suspend(old.node);
      const next = await scenario.waitForSuccessor(old.node);
      await deployment.waitUntil('the successor to settle it', () => settling.count() > 0);
      late.release();
      const carriedOut = (): number =>
        deployment.cloud.actions.filter(({ node, kind }) => node === old.node && kind === 'rent').length;
      await deployment.waitUntil('the late copy to arrive', () => carriedOut() > 0);
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
        'carried out once, under one name',
      );
      assert.equal(deployment.cloud.machines.size, 1, 'nothing was rented twice');
      assert.equal(deployment.state.keys('w/m/').length, 1, 'and it is known');
    });
  });

  test(`fencing: a late release arrives ${name}`, { timeout: TIMEOUT_MS }, async () => {
    await LeaderScenario.run(ON, async (scenario) => {
      const { deployment } = scenario;
      const old = await deployment.waitUntilReady();
      const late = deployment.hold('request', (seen) => seen.node === old.node && isRelease(seen));
      const settling = deployment.hold(successorAt, (seen) => seen.node !== old.node && isRelease(seen));
      deployment.cloud.addMachine(MACHINE);
      await deployment.state.handle('test', 'POST', '/txn', {
        when: [],
        writes: [{ write: RECORD_KEY, data: writeMachineRecord(machineRecord({ releasing: true })) }],
      });
      await deployment.waitUntil('the release to be under way', () => late.count() > 0);
      deployment.suspend(old.node);
      await scenario.waitForSuccessor(old.node);
      await deployment.waitUntil('the successor to release it', () => settling.count() > 0);
      late.release();
      await deployment.waitUntil('the machine to be gone', () => !deployment.cloud.machines.has(MACHINE));
      settling.release();
      await deployment.waitUntil('its record to go', () => deployment.state.version(RECORD_KEY) === 0);
      deployment.resume(old.node);
      await scenario.waitForLateEffects();
      assert.deepEqual(scenario.lateActions(), [], 'a record asked for every release');
      assert.equal(deployment.cloud.machines.size, 0);
      assert.equal(deployment.state.version(RECORD_KEY), 0, 'no record comes back');
    });
  });
}
