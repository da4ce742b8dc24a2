/** Tests how long an idle machine is held before it is released. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { MachineType } from '../jobs/model.js';
import { MachineLiveness } from './machine-liveness.js';
import { MachineReleases } from './machine-releases.js';
import { ShardState } from './shard-state.js';

const NOW = 10_000_000;
const BOOT_S = 30;
const machineType: MachineType = {
  name: 'g',
  cpus: 8,
  gpus: 8,
  memoryGb: 8,
  cacheGb: 10,
  price: 1,
  spotPrice: 1,
  bootS: BOOT_S,
  zones: ['x'],
};

/**
 * Guards against releasing an idle machine that is then provisioned again at once: the machine is held for as
 * long as booting a new one would cost more than the release saves.
 */
const cases: readonly {
  readonly name: string;
  readonly bootBound: boolean;
  readonly spot: boolean;
  readonly idleBoots: number;
  readonly isKept: boolean;
}[] = [
  {
    name: 'idle for less than a boot',
    bootBound: false,
    spot: false,
    idleBoots: 1.4,
    isKept: true,
  },
  {
    name: 'idle for longer than a boot',
    bootBound: false,
    spot: false,
    idleBoots: 1.6,
    isKept: false,
  },
  {
    name: 'a boot misses every target',
    bootBound: true,
    spot: false,
    idleBoots: 9,
    isKept: true,
  },
  {
    name: 'a boot misses every target, but the hold time has passed',
    bootBound: true,
    spot: false,
    idleBoots: 11,
    isKept: false,
  },
  { name: 'a spot machine', bootBound: true, spot: true, idleBoots: 1.6, isKept: false },
];
for (const row of cases) {
  test(`idle machines: ${row.name}`, () => {
    const shardState = new ShardState({ now: () => NOW, wall: () => NOW, requestRound: () => undefined });
    const shared = {
      machines: shardState.machines,
      workers: { lease_s: 18, report_s: 3, cancel_s: 48 },
      now: () => NOW,
      wall: () => NOW,
    };
    const liveness = new MachineLiveness({ ...shared, catalog: () => new Map([['g', machineType]]) });
    const releases = new MachineReleases({ ...shared, liveness, isBootBound: () => row.bootBound });
    liveness.loadedAt = 0;
    const machine = shardState.addMachine(
      'm-0',
      {
        shardId: 0,
        type: 'g',
        zone: 'x',
        spot: row.spot,
        at: 0,
        releasing: false,
        addr: 'a:1',
        agentEpoch: 1,
      },
      1,
      machineType,
    );
    machine.answeredAt = NOW;
    machine.confirmedToken = 1;
    machine.idleSince = NOW - row.idleBoots * BOOT_S * 1000;
    const released = releases.machinesToRelease(true).map(({ reason }) => reason);
    assert.deepEqual(released, row.isKept ? [] : ['idle']);
  });
}
