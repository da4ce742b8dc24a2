/** The administration API for duties answers what an operator needs, to those who may ask. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  EMPTY_PROVISIONING_RECORD,
  readProvisioningRecord,
  type ProvisioningRecord,
} from '@dalegate/fencing';
import type { ServerRequest, ServerResponse } from '../http/model.js';
import { leaderDuties } from '../testing/duties.js';
import { DutiesApi } from './admin-api.js';
import type { WireDutiesOverview } from './admin-codec.js';

/** The revision of the leader's claim. */
const HELD_UNDER = 40;

interface ApiCase {
  readonly name: string;
  readonly path: readonly string[];
  readonly method?: string;
  readonly ready?: boolean;
  readonly from?: string;
  readonly provisioning?: ProvisioningRecord | null;
  readonly status: number;
  readonly says: (body: unknown) => void;
}

const answerOf = async (row: ApiCase): Promise<ServerResponse> => {
  const api = new DutiesApi({
    node: 'n0',
    registry: leaderDuties(HELD_UNDER, () => 5_000),
    access: { allows: (address) => address === '127.0.0.1' },
    ready: () => row.ready ?? true,
    releaseIntents: () => [{ machine: 'i-1', shardId: 2, reason: 'idle', token: 7 }],
    loadProvisioningRecord: () =>
      Promise.resolve(row.provisioning === undefined ? EMPTY_PROVISIONING_RECORD : row.provisioning),
  });
  const call: ServerRequest = {
    method: row.method ?? 'GET',
    path: '',
    query: '',
    body: { _tag: 'empty' },
    remoteAddress: row.from ?? '127.0.0.1',
  };
  return api.handle(call, row.path);
};
const errorOf = (body: unknown): string => (body as { error: string }).error;

const cases: readonly ApiCase[] = [
  {
    name: 'holders and open intents',
    path: [],
    status: 200,
    says: (body) => {
      const view = body as WireDutiesOverview;
      const rent = view.duties.find(({ duty }) => duty === 'rent');
      assert.equal(rent?.holder?.node, 'n0');
      assert.equal(rent.holder.token, HELD_UNDER);
      assert.equal(rent.state, 'acquiring', 'renting waits until open requests are settled');
      assert.equal(view.duties.find(({ duty }) => duty === 'release')?.state, 'held');
      assert.deepEqual(view.releaseIntents, [{ machine: 'i-1', share: 2, reason: 'idle', token: 7 }]);
      assert.deepEqual(view.openRentals, []);
    },
  },
  {
    name: 'a state service that does not answer: said so, not invented',
    path: [],
    provisioning: null,
    status: 200,
    says: (body) => assert.equal((body as WireDutiesOverview).openRentals, null),
  },
  {
    name: 'a malformed stored intent is shown',
    path: [],
    provisioning: readProvisioningRecord({ t: 1, o: [{ n: 5 }] }),
    status: 200,
    says: (body) => assert.deepEqual((body as WireDutiesOverview).malformedIntents, [{ n: 5 }]),
  },
  {
    name: 'one duty',
    path: ['move'],
    status: 200,
    says: (body) =>
      assert.deepEqual(
        (body as WireDutiesOverview).duties.map(({ duty }) => duty),
        ['move'],
      ),
  },
  {
    name: 'an unknown duty, by its name',
    path: ['lease-out'],
    status: 404,
    says: (body) => assert.match(errorOf(body), /"lease-out"/),
  },
  {
    name: 'nothing below a duty',
    path: ['rent', 'x'],
    status: 404,
    says: (body) => assert.match(errorOf(body), /"rent\/x"/),
  },
  {
    name: 'a caller from elsewhere',
    path: [],
    from: '192.0.2.7',
    status: 403,
    says: (body) => assert.match(errorOf(body), /not open to this address/),
  },
  { name: 'it only reads', path: ['rent'], method: 'POST', status: 405, says: () => undefined },
  {
    name: 'a node that has not read the claims does not guess',
    path: [],
    ready: false,
    status: 503,
    says: (body) => assert.match(errorOf(body), /not read the claims/),
  },
];
for (const row of cases) {
  test(`duties endpoint: ${row.name}`, async () => {
    const reply = await answerOf(row);
    assert.equal(reply.status, row.status);
    row.says(JSON.parse(reply.text ?? 'null'));
  });
}
