import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  DutyAudit,
  EMPTY_PROVISIONING_RECORD,
  readProvisioningRecord,
  type ProvisioningRecord,
} from '@dalegate/fencing';
import type { ServerRequest, ServerResponse } from '../http.js';
import { PeerRequests } from '../peers/peer-requests.js';
import { leaderDuties } from '../testing/duties.js';
import { releaseUrgently } from './urgent-release.js';
import { DutiesApi } from './admin-api.js';
import type { WireDutiesOverview } from './admin-codec.js';
import { OrderGate } from './order-gate.js';

const HELD_UNDER = 40;

interface ApiCase {
  readonly name: string;
  readonly path: readonly string[];
  readonly method?: string;
  readonly ready?: boolean;
  readonly from?: string;
  readonly rentals?: ProvisioningRecord | null;
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
    rentals: () => Promise.resolve(row.rentals === undefined ? EMPTY_PROVISIONING_RECORD : row.rentals),
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
      assert.equal(rent?.holder?.token, HELD_UNDER);
      assert.equal(rent?.state, 'acquiring', 'renting waits until open requests are settled');
      assert.equal(view.duties.find(({ duty }) => duty === 'release')?.state, 'held');
      assert.deepEqual(view.releaseIntents, [{ machine: 'i-1', share: 2, reason: 'idle', token: 7 }]);
      assert.deepEqual(view.openRentals, []);
    },
  },
  {
    name: 'a state service that does not answer: said so, not invented',
    path: [],
    rentals: null,
    status: 200,
    says: (body) => assert.equal((body as WireDutiesOverview).openRentals, null),
  },
  {
    name: 'a malformed stored intent is shown',
    path: [],
    rentals: readProvisioningRecord({ t: 1, o: [{ n: 5 }] }),
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

interface OrderCase {
  readonly name: string;
  readonly token?: unknown;
  readonly required?: boolean;
  readonly enforce?: boolean;
  readonly status: number;
  readonly body: object;
}
const moved = { moved: true };
const orders: readonly OrderCase[] = [
  { name: 'of the present leader', token: HELD_UNDER, status: 200, body: moved },
  { name: 'of a later leader than is known here', token: HELD_UNDER + 1, status: 200, body: moved },
  {
    name: 'of a replaced leader: refused with the current token',
    token: HELD_UNDER - 1,
    status: 409,
    body: { error: 'a later holder is known', token: HELD_UNDER },
  },
  { name: 'of an earlier version, while one is about', status: 200, body: moved },
  {
    name: 'without a token, where every version sends one',
    required: true,
    status: 400,
    body: { error: `token must be an integer from 1 to ${Number.MAX_SAFE_INTEGER}`, field: 'token' },
  },
  {
    name: 'with a token that is no integer',
    token: '40',
    status: 400,
    body: { error: `token must be an integer from 1 to ${Number.MAX_SAFE_INTEGER}`, field: 'token' },
  },
  { name: 'where fencing is off', token: 1, enforce: false, status: 200, body: moved },
];
for (const row of orders) {
  test(`order: ${row.name}`, async () => {
    const audit = new DutyAudit(() => 0);
    const gate = new OrderGate({
      audit,
      tokensRequired: () => row.required ?? false,
      enforce: row.enforce ?? true,
    });
    gate.seen('L', HELD_UNDER);
    let carriedOut = 0;
    const requests = new PeerRequests({
      gate,
      transferMachines: () => {
        carriedOut += 1;
        return Promise.resolve(true);
      },
      releaseNow: () => Promise.resolve(true),
      acknowledge: () => true,
    });
    const order = { from: 0, moves: [], ...(row.token === undefined ? {} : { token: row.token }) };
    const reply = await requests.answer('/move', order);
    assert.deepEqual({ status: reply?.status, body: reply?.body }, { status: row.status, body: row.body });
    assert.equal(carriedOut, row.status === 200 ? 1 : 0);
    assert.equal(audit.refusalCount, row.status === 409 ? 1 : 0);
  });
}

test('order: a return asked for by a replaced holder of a share is refused, for that share alone', async () => {
  const gate = new OrderGate({ audit: new DutyAudit(() => 0), tokensRequired: () => true, enforce: true });
  gate.seen('1', HELD_UNDER);
  const requests = new PeerRequests({
    gate,
    transferMachines: () => Promise.resolve(true),
    releaseNow: () => Promise.resolve(true),
    acknowledge: () => true,
  });
  const statusOf = async (shardId: number, token: number): Promise<number | undefined> =>
    (await requests.answer('/return', { machines: ['i-1'], share: shardId, token }))?.status;
  assert.equal(await statusOf(1, HELD_UNDER - 1), 409);
  assert.equal(await statusOf(1, HELD_UNDER), 200);
  assert.equal(await statusOf(2, 1), 200);
  assert.equal(await requests.answer('/nothing', {}), null);
});

const returns: readonly {
  name: string;
  msSinceStoreAnswered?: number;
  leader?: string;
  answer?: unknown;
  asked: number;
  returned: boolean;
}[] = [
  { name: 'the leader says that they are gone', answer: { returned: true }, asked: 1, returned: true },
  { name: 'the leader does not answer', answer: null, asked: 1, returned: false },
  {
    name: 'the state service answers: the record is the way',
    msSinceStoreAnswered: 100,
    asked: 0,
    returned: false,
  },
  { name: 'this node leads', leader: 'n0', asked: 0, returned: true },
  { name: 'nobody leads', leader: '', asked: 0, returned: false },
];
for (const row of returns) {
  test(`urgent return: ${row.name}`, async () => {
    const orders: unknown[] = [];
    const returned = await releaseUrgently(
      {
        shardId: 2,
        duty: leaderDuties(HELD_UNDER, () => 0).leader('release'),
        me: 'n0',
        leaderNode: () => (row.leader === '' ? undefined : (row.leader ?? 'n1')),
        msSinceStoreAnswered: () => row.msSinceStoreAnswered ?? 60_000,
        releaseLocally: () => Promise.resolve(true),
        ask: (_node, _path, body) => {
          orders.push(body);
          return Promise.resolve(row.answer);
        },
      },
      ['i-1'],
    );
    assert.equal(returned, row.returned);
    const order = { machines: ['i-1'], share: 2, token: HELD_UNDER };
    assert.deepEqual(orders, row.asked === 1 ? [order] : []);
  });
}
