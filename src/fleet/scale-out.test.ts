/** Tests of provisioning requests: answered, lost, repeated, and settled by the next leader. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  readProvisioningRecord,
  ProvisioningJournal,
  writeProvisioningRecord,
  tokenOf,
  type ProvisioningIntent,
} from '@dalegate/fencing';
import * as Effect from 'effect/Effect';
import { fencedValue } from '../duties/fenced-store.js';
import type { CallOutcome } from '../http/model.js';
import { KeyValueStore } from '../kv-store/client.js';
import { leaderDuties } from '../testing/duties.js';
import { CloudStandIn } from '../testing/cloud-stand-in.js';
import { reply, KeyValueStoreStandIn } from '../testing/key-value-store-stand-in.js';
import { AdoptionQueue } from './adoption-queue.js';
import { CapacityRefusals } from './capacity-refusals.js';
import { Cloud } from './cloud.js';
import { MachineRecorder } from './machine-recorder.js';
import { ScaleOut } from './scale-out.js';
import type { ProvisioningStep } from './scaling-model.js';

const SILENCE: CallOutcome = { _tag: 'noResponse', why: 'timeout' };
const step: ProvisioningStep = {
  _tag: 'provision',
  type: 'g',
  zone: 'x',
  spot: false,
  shardIds: [0, 1],
};

/**
 * What becomes of a request on its way: `lost` never arrives, `unanswered` is carried out and its answer
 * lost.
 */
type Fate = 'answered' | 'lost' | 'unanswered' | 'no capacity' | 'trouble';

/** Scale-out against the stand-ins, with the fate of each of its requests drawn up beforehand. */
const setUp = async (fates: Fate[], wall = () => Date.now()) => {
  const state = new KeyValueStoreStandIn();
  const cloudStandIn = new CloudStandIn();
  const claim = await state.handle('n0', 'POST', '/txn', {
    when: [],
    writes: [{ write: 'w/c/L', data: { n: 'n0', i: '1' } }],
  });
  assert.equal(claim._tag === 'response' && claim.status, 200);
  const token = state.version('w/c/L');
  const createHttpClient = (target: { host: string }) => ({
    request: async (method: string, path: string, body: unknown): Promise<CallOutcome> => {
      if (target.host === 'state') return state.handle('n0', method, path, body);
      const fate = fates.shift() ?? 'answered';
      if (fate === 'no capacity') return reply(503, { error: 'no capacity' });
      if (fate === 'trouble') return reply(503, { error: 'trouble' });
      if (fate === 'lost') return SILENCE;
      const answer = cloudStandIn.handle('n0', method, path, body);
      return fate === 'unanswered' ? SILENCE : answer;
    },
  });
  const now = (): number => performance.now();
  const limits = { requestsPerSecond: 1e6, changesPerSecond: 1e6, maxTransactionWrites: 16, nodes: 1 };
  const store = new KeyValueStore({ host: 'state', port: 1 }, limits, now, createHttpClient);
  const duty = leaderDuties(token, wall).leaderDuty('rent');
  const adoptionQueue = new AdoptionQueue();
  const refusals = new CapacityRefusals(now);
  const scaleOut = new ScaleOut({
    store,
    cloud: new Cloud({ host: 'cloud', port: 1 }, 1e6, 1, now, createHttpClient),
    duty,
    journal: new ProvisioningJournal({
      value: fencedValue(store, 'i/rent', 'L', 'user'),
      maxBytes: 16 * 1024,
      timeOfDay: wall,
      sleep: (ms) => new Promise((resolve) => setTimeout(resolve, Math.min(ms, 20))),
    }),
    recorder: new MachineRecorder(store),
    adoptionQueue,
    refusals,
    wall,
  });
  const book = () => readProvisioningRecord(state.value('i/rent') ?? { t: 1, o: [] });
  return { state, cloud: cloudStandIn, duty, scaleOut, adoptionQueue, refusals, book };
};
const settle = (): Promise<void> => new Promise((resolve) => setTimeout(resolve, 80));

const requests: readonly {
  name: string;
  fates: Fate[];
  machines: number;
  recorded: number;
  outcome: string;
  refused: boolean;
}[] = [
  { name: 'answered', fates: [], machines: 2, recorded: 2, outcome: 'rented', refused: false },
  {
    name: 'its answer lost: sent again under its name, and carried out once',
    fates: ['unanswered'],
    machines: 2,
    recorded: 2,
    outcome: 'rented',
    refused: false,
  },
  { name: 'lost on its way', fates: ['lost'], machines: 2, recorded: 2, outcome: 'rented', refused: false },
  {
    name: 'never answered: found by the list, if it was carried out',
    fates: ['lost', 'lost', 'unanswered'],
    machines: 2,
    recorded: 0,
    outcome: 'unanswered',
    refused: true,
  },
  {
    name: 'no capacity',
    fates: ['no capacity'],
    machines: 0,
    recorded: 0,
    outcome: 'no capacity',
    refused: true,
  },
  {
    name: 'the cloud is in trouble',
    fates: ['trouble'],
    machines: 0,
    recorded: 0,
    outcome: 'refused',
    refused: true,
  },
];
for (const row of requests) {
  test(`scale-out: a provisioning request is ${row.name}`, async () => {
    const { scaleOut, state, cloud, refusals, book } = await setUp([...row.fates]);
    await Effect.runPromise(scaleOut.settle);
    scaleOut.startProvisioning(step);
    await settle();
    assert.equal(cloud.machines.size, row.machines);
    assert.equal(state.keys('w/m/').length, row.recorded);
    assert.deepEqual(book().open, [], 'nothing is left open');
    assert.equal(book().settled.at(-1)?.outcome, row.outcome);
    assert.equal(refusals.isRefused('g|x|false'), row.refused);
  });
}

const leftOpen = (at: number): ProvisioningIntent => ({
  name: 'r-1-1',
  machineType: 'g',
  zone: 'x',
  spot: false,
  shardIds: [2],
  at,
});
const takeovers: readonly {
  name: string;
  ageMs: number;
  fates: Fate[];
  machines: number;
  outcome: string;
}[] = [
  { name: 'repeated under its name', ageMs: 1_000, fates: [], machines: 1, outcome: 'repeated by successor' },
  {
    name: 'left, if the cloud has none',
    ageMs: 1_000,
    fates: ['no capacity'],
    machines: 0,
    outcome: 'abandoned',
  },
  { name: 'left, if it is old', ageMs: 60_000, fates: [], machines: 0, outcome: 'abandoned' },
];
for (const row of takeovers) {
  test(`scale-out: what an earlier leader left open is ${row.name}`, async () => {
    const { scaleOut, state, cloud, duty, adoptionQueue, book } = await setUp([...row.fates], () => 100_000);
    await state.handle('n0', 'POST', '/txn', {
      when: [],
      writes: [
        {
          write: 'i/rent',
          data: writeProvisioningRecord(
            { token: null, open: [leftOpen(100_000 - row.ageMs)], settled: [], malformed: [] },
            tokenOf(1),
            16 * 1024,
          ),
        },
      ],
    });
    scaleOut.startProvisioning(step);
    assert.equal(cloud.actions.length, 0, 'nothing is provisioned before that is settled');
    await Effect.runPromise(scaleOut.settle);
    assert.equal(duty.state._tag, 'held');
    await settle();
    assert.equal(cloud.machines.size, row.machines);
    assert.equal(adoptionQueue.shardIds().has(2), row.machines === 1, 'for the shard that it was meant for');
    assert.deepEqual(
      book().settled.map(({ name, outcome }) => ({ name, outcome })),
      [{ name: 'r-1-1', outcome: row.outcome }],
    );
  });
}
