import assert from 'node:assert/strict';
import { test } from 'node:test';
import { writeMachineRecord } from '../fleet/machine-record-codec.js';
import { machineRecord } from '../testing/bodies.js';
import { LeaderScenario } from '../testing/leader-scenario.js';
import type { LoopbackOptions, ReceivedRequest } from '../testing/loopback.js';

/**
 * Three real controllers on loopback. The leader is stopped by SIGSTOP in each window of renting and
 * returning machines, and resumed after its successor acted; the stand-ins' logs must show no late action.
 */
const ON: LoopbackOptions = { features: 'fencing = true\n', cloudRps: 4 };
const TIMEOUT_MS = 150_000;
const isIntent = ({ service, call }: ReceivedRequest): boolean =>
  service === 'state' && call.path === '/txn' && JSON.stringify(call.body).includes('"i/rent"');
const isRental = ({ service, call }: ReceivedRequest): boolean =>
  service === 'cloud' && call.path === '/machines' && call.method === 'POST';
const isRelease = ({ service, call }: ReceivedRequest): boolean =>
  service === 'cloud' && call.path === '/machines/release';

const windows: readonly {
  name: string;
  at: 'request' | 'answer';
  matches: (request: ReceivedRequest) => boolean;
  /** Who ends up having rented under the old leader's name. */
  rentedUnderOldName: number;
}[] = [
  { name: 'between decision and intent', at: 'request', matches: isIntent, rentedUnderOldName: 0 },
  { name: 'between intent and call', at: 'answer', matches: isIntent, rentedUnderOldName: 1 },
  { name: 'between call and its effect', at: 'request', matches: isRental, rentedUnderOldName: 1 },
  { name: 'between effect and answer', at: 'answer', matches: isRental, rentedUnderOldName: 1 },
];
for (const window of windows) {
  test(`fencing: the leader is frozen ${window.name} of a rental`, { timeout: TIMEOUT_MS }, async () => {
    await LeaderScenario.run(ON, async (scenario) => {
      const { deployment } = scenario;
      const old = await deployment.waitUntilReady();
      await scenario.waitUntilDutyHeld(old.node);
      const held = deployment.hold(window.at, (seen) => seen.node === old.node && window.matches(seen));
      await scenario.submit(1);
      await deployment.waitUntil('the leader to be in the window', () => held.count() > 0);
      deployment.suspend(old.node);
      const next = await scenario.waitForSuccessor(old.node);
      await scenario.waitUntilDutyHeld(next.node);
      deployment.resume(old.node);
      held.release();
      await scenario.waitForLateEffects();
      assert.ok(next.token > old.token, 'tokens rise');
      assert.deepEqual(scenario.lateActions(), []);
      const underOldName = deployment.cloud.actions.filter(
        ({ kind, name, machines }) =>
          kind === 'rent' && name?.startsWith(`r-${old.token}-`) && machines.length > 0,
      );
      assert.equal(underOldName.length, window.rentedUnderOldName, 'carried out once, or never');
      // One job needs one machine: nothing was rented twice.
      await deployment.waitUntil('one machine', () => deployment.cloud.machines.size === 1);
    });
  });
}

test(
  'fencing: the leader is frozen while its release request is under way',
  { timeout: TIMEOUT_MS },
  async () => {
    await LeaderScenario.run(ON, async (scenario) => {
      const { deployment } = scenario;
      const old = await deployment.waitUntilReady();
      const held = deployment.hold('request', (seen) => seen.node === old.node && isRelease(seen));
      deployment.cloud.addMachine('i-900001');
      await deployment.state.handle('test', 'POST', '/txn', {
        when: [],
        writes: [{ write: 'w/m/i-900001', data: writeMachineRecord(machineRecord({ releasing: true })) }],
      });
      await deployment.waitUntil('the release to be under way', () => held.count() > 0);
      deployment.suspend(old.node);
      const next = await scenario.waitForSuccessor(old.node);
      await deployment.waitUntil(
        'the successor to release it',
        () => !deployment.cloud.machines.has('i-900001'),
      );
      await deployment.waitUntil('its record to go', () => deployment.state.version('w/m/i-900001') === 0);
      deployment.resume(old.node);
      held.release();
      await scenario.waitForLateEffects();
      assert.ok(next.token > old.token);
      assert.deepEqual(scenario.lateActions(), []);
    });
  },
);

test('fencing: the state service is out while the leader is frozen', { timeout: TIMEOUT_MS }, async () => {
  await LeaderScenario.run(ON, async (scenario) => {
    const { deployment } = scenario;
    const old = await deployment.waitUntilReady();
    await scenario.waitUntilDutyHeld(old.node);
    const held = deployment.hold('answer', (seen) => seen.node === old.node && isIntent(seen));
    await scenario.submit(1);
    await deployment.waitUntil('the intent to be durable', () => held.count() > 0);
    deployment.suspend(old.node);
    deployment.state.setOutage(true);
    await scenario.waitForLateEffects();
    // Its lease has its full time again, so only then does a successor take the duty.
    deployment.state.setOutage(false);
    const next = await scenario.waitForSuccessor(old.node);
    await scenario.waitUntilDutyHeld(next.node);
    deployment.resume(old.node);
    held.release();
    await scenario.waitForLateEffects();
    assert.deepEqual(scenario.lateActions(), []);
    assert.equal(deployment.cloud.machines.size, 1);
  });
});

test(
  'fencing: a leader killed with an open intent and back at once settles it itself',
  { timeout: TIMEOUT_MS },
  async () => {
    await LeaderScenario.run(ON, async (scenario) => {
      const { deployment } = scenario;
      const old = await deployment.waitUntilReady();
      await scenario.waitUntilDutyHeld(old.node);
      const held = deployment.hold('request', (seen) => seen.node === old.node && isRental(seen));
      await scenario.submit(1);
      await deployment.waitUntil('the call to be under way', () => held.count() > 0);
      await deployment.kill(old.node);
      deployment.spawn(old.node);
      const next = await deployment.waitUntil('a later token', () => {
        const last = scenario.leadershipTerms.at(-1);
        return last && last.token > old.token ? last : null;
      });
      // The late request of the process that ended arrives after the new one has begun.
      held.release();
      await scenario.waitUntilDutyHeld(next.node);
      await scenario.waitForLateEffects();
      const made = deployment.cloud.actions.filter(
        ({ kind, machines }) => kind === 'rent' && machines.length > 0,
      );
      assert.deepEqual(
        made.map(({ name }) => name),
        [`r-${old.token}-1`],
        'under one name, once',
      );
      assert.equal(deployment.cloud.machines.size, 1);
    });
  },
);
