/** The administration API for duties answers operators, and refuses callers without access. */
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
const CLAIM_REVISION = 40;

interface ApiCase {
  readonly name: string;
  readonly path: readonly string[];
  readonly method?: string;
  readonly ready?: boolean;
  readonly from?: string;
  readonly provisioning?: ProvisioningRecord | null;
  readonly status: number;
  readonly checkBody: (body: unknown) => void;
}

const responseTo = async (row: ApiCase): Promise<ServerResponse> => {
  const api = new DutiesApi({
    node: 'n0',
    registry: leaderDuties(CLAIM_REVISION, () => 5_000),
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
    checkBody: (body) => {
      const view = body as WireDutiesOverview;
      const rent = view.duties.find(({ duty }) => duty === 'rent');
      assert.equal(rent?.holder?.node, 'n0');
      assert.equal(rent.holder.token, CLAIM_REVISION);
      assert.equal(rent.state, 'acquiring', 'provisioning waits until open requests are settled');
      assert.equal(view.duties.find(({ duty }) => duty === 'release')?.state, 'held');
      assert.deepEqual(view.releaseIntents, [{ machine: 'i-1', share: 2, reason: 'idle', token: 7 }]);
      assert.deepEqual(view.openRentals, []);
    },
  },
  {
    name: 'the key-value store does not answer: open rentals are null, not empty',
    path: [],
    provisioning: null,
    status: 200,
    checkBody: (body) => assert.equal((body as WireDutiesOverview).openRentals, null),
  },
  {
    name: 'a malformed stored intent is shown',
    path: [],
    provisioning: readProvisioningRecord({ t: 1, o: [{ n: 5 }] }),
    status: 200,
    checkBody: (body) => assert.deepEqual((body as WireDutiesOverview).malformedIntents, [{ n: 5 }]),
  },
  {
    name: 'one duty',
    path: ['move'],
    status: 200,
    checkBody: (body) =>
      assert.deepEqual(
        (body as WireDutiesOverview).duties.map(({ duty }) => duty),
        ['move'],
      ),
  },
  {
    name: 'an unknown duty: the error contains its name',
    path: ['lease-out'],
    status: 404,
    checkBody: (body) => assert.match(errorOf(body), /"lease-out"/),
  },
  {
    name: 'a path below a duty does not exist',
    path: ['rent', 'x'],
    status: 404,
    checkBody: (body) => assert.match(errorOf(body), /"rent\/x"/),
  },
  {
    name: 'a caller from an address without access',
    path: [],
    from: '192.0.2.7',
    status: 403,
    checkBody: (body) => assert.match(errorOf(body), /not open to this address/),
  },
  {
    name: 'other methods than GET are refused',
    path: ['rent'],
    method: 'POST',
    status: 405,
    checkBody: () => undefined,
  },
  {
    name: 'a controller that has not read the claims refuses',
    path: [],
    ready: false,
    status: 503,
    checkBody: (body) => assert.match(errorOf(body), /not read the claims/),
  },
];
for (const row of cases) {
  test(`duties endpoint: ${row.name}`, async () => {
    const reply = await responseTo(row);
    assert.equal(reply.status, row.status);
    row.checkBody(JSON.parse(reply.text ?? 'null'));
  });
}
