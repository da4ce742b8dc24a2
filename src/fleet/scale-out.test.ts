/** Tests of provisioning requests that are answered, lost, repeated, or settled by the next leader. */
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

const NO_RESPONSE: CallOutcome = { _tag: 'noResponse', why: 'timeout' };
const step: ProvisioningStep = {
  _tag: 'provision',
  type: 'g',
  zone: 'x',
  spot: false,
  shardIds: [0, 1],
};

/**
 * How the simulated cloud handles a request. `lost`: the request never arrives; `unanswered`: the cloud
 * carries out the request, but its response is lost; `trouble`: status 503 for another reason than capacity.
 */
type RequestHandling = 'answered' | 'lost' | 'unanswered' | 'no capacity' | 'trouble';

/** Creates scale-out with the stand-ins; `handlings` says how each of its cloud requests is handled. */
const setUp = async (handlings: RequestHandling[], wall = () => Date.now()) => {
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
      const handling = handlings.shift() ?? 'answered';
      if (handling === 'no capacity') return reply(503, { error: 'no capacity' });
      if (handling === 'trouble') return reply(503, { error: 'trouble' });
      if (handling === 'lost') return NO_RESPONSE;
      const answer = cloudStandIn.handle('n0', method, path, body);
      return handling === 'unanswered' ? NO_RESPONSE : answer;
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
  const provisioningRecord = () => readProvisioningRecord(state.value('i/rent') ?? { t: 1, o: [] });
  return { state, cloud: cloudStandIn, duty, scaleOut, adoptionQueue, refusals, provisioningRecord };
};
const waitForRequests = (): Promise<void> => new Promise((resolve) => setTimeout(resolve, 80));

const requests: readonly {
  name: string;
  handlings: RequestHandling[];
  machines: number;
  recorded: number;
  outcome: string;
  refused: boolean;
}[] = [
  { name: 'answered', handlings: [], machines: 2, recorded: 2, outcome: 'rented', refused: false },
  {
    name: 'repeated under its name after a lost response, and carried out once',
    handlings: ['unanswered'],
    machines: 2,
    recorded: 2,
    outcome: 'rented',
    refused: false,
  },
  {
    name: 'repeated after the first copy is lost',
    handlings: ['lost'],
    machines: 2,
    recorded: 2,
    outcome: 'rented',
    refused: false,
  },
  {
    name: 'never answered: only the machine list shows whether it was carried out',
    handlings: ['lost', 'lost', 'unanswered'],
    machines: 2,
    recorded: 0,
    outcome: 'unanswered',
    refused: true,
  },
  {
    name: 'refused for lack of capacity',
    handlings: ['no capacity'],
    machines: 0,
    recorded: 0,
    outcome: 'no capacity',
    refused: true,
  },
  {
    name: 'refused during a fault of the cloud',
    handlings: ['trouble'],
    machines: 0,
    recorded: 0,
    outcome: 'refused',
    refused: true,
  },
];
for (const row of requests) {
  test(`scale-out: a provisioning request is ${row.name}`, async () => {
    const { scaleOut, state, cloud, refusals, provisioningRecord } = await setUp([...row.handlings]);
    await Effect.runPromise(scaleOut.settle);
    scaleOut.startProvisioning(step);
    await waitForRequests();
    assert.equal(cloud.machines.size, row.machines);
    assert.equal(state.keys('w/m/').length, row.recorded);
    assert.deepEqual(provisioningRecord().open, [], 'no request is left open');
    assert.equal(provisioningRecord().settled.at(-1)?.outcome, row.outcome);
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
  handlings: RequestHandling[];
  machines: number;
  outcome: string;
}[] = [
  {
    name: 'repeated under its name',
    ageMs: 1_000,
    handlings: [],
    machines: 1,
    outcome: 'repeated by successor',
  },
  {
    name: 'abandoned if the cloud has no capacity',
    ageMs: 1_000,
    handlings: ['no capacity'],
    machines: 0,
    outcome: 'abandoned',
  },
  { name: 'abandoned if it is old', ageMs: 60_000, handlings: [], machines: 0, outcome: 'abandoned' },
];
for (const row of takeovers) {
  test(`scale-out: a request that an earlier leader left open is ${row.name}`, async () => {
    const { scaleOut, state, cloud, duty, adoptionQueue, provisioningRecord } = await setUp(
      [...row.handlings],
      () => 100_000,
    );
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
    assert.equal(cloud.actions.length, 0, 'nothing is provisioned before the open request is settled');
    await Effect.runPromise(scaleOut.settle);
    assert.equal(duty.state._tag, 'held');
    await waitForRequests();
    assert.equal(cloud.machines.size, row.machines);
    assert.equal(
      adoptionQueue.shardIds().has(2),
      row.machines === 1,
      'the machine is queued for the shard of its request',
    );
    assert.deepEqual(
      provisioningRecord().settled.map(({ name, outcome }) => ({ name, outcome })),
      [{ name: 'r-1-1', outcome: row.outcome }],
    );
  });
}
