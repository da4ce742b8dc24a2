/** Orders of replaced controllers are refused, and those of current ones carried out. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DutyAudit } from '@dalegate/fencing';
import { PeerRequests } from '../peers/peer-requests.js';
import { OrderVerifier } from './order-verifier.js';

/** The revision of the leader's claim. */
const CLAIM_REVISION = 40;

/** Peer requests that carry out every order that the verifier accepts. */
const peerRequestsWith = (
  orderVerifier: OrderVerifier,
  onTransfer: () => void = () => undefined,
): PeerRequests =>
  new PeerRequests({
    orderVerifier,
    transferMachines: () => {
      onTransfer();
      return Promise.resolve(true);
    },
    releaseNow: () => Promise.resolve(true),
    acknowledge: () => true,
  });

interface OrderCase {
  readonly name: string;
  readonly token?: unknown;
  readonly required?: boolean;
  readonly enforceFencing?: boolean;
  readonly status: number;
  readonly body: object;
}
const moved = { moved: true };
const orders: readonly OrderCase[] = [
  { name: 'from the current leader', token: CLAIM_REVISION, status: 200, body: moved },
  {
    name: 'from a later leader than the receiver knows',
    token: CLAIM_REVISION + 1,
    status: 200,
    body: moved,
  },
  {
    name: 'from a replaced leader: refused with the current token',
    token: CLAIM_REVISION - 1,
    status: 409,
    body: { error: 'a later holder is known', token: CLAIM_REVISION },
  },
  { name: 'without a token, while an earlier version is in use', status: 200, body: moved },
  {
    name: 'without a token, once every version sends one',
    required: true,
    status: 400,
    body: { error: `token must be an integer from 1 to ${Number.MAX_SAFE_INTEGER}`, field: 'token' },
  },
  {
    name: 'with a token that is not an integer',
    token: '40',
    status: 400,
    body: { error: `token must be an integer from 1 to ${Number.MAX_SAFE_INTEGER}`, field: 'token' },
  },
  {
    name: 'with an outdated token, while fencing is off',
    token: 1,
    enforceFencing: false,
    status: 200,
    body: moved,
  },
];
for (const row of orders) {
  test(`order: ${row.name}`, async () => {
    const audit = new DutyAudit(() => 0);
    const orderVerifier = new OrderVerifier({
      audit,
      tokensRequired: () => row.required ?? false,
      enforceFencing: row.enforceFencing ?? true,
    });
    orderVerifier.noteClaim('L', CLAIM_REVISION);
    let carriedOut = 0;
    const requests = peerRequestsWith(orderVerifier, () => (carriedOut += 1));
    const order = { from: 0, moves: [], ...(row.token === undefined ? {} : { token: row.token }) };
    const reply = await requests.answer('/move', order);
    assert.deepEqual({ status: reply?.status, body: reply?.body }, { status: row.status, body: row.body });
    assert.equal(carriedOut, row.status === 200 ? 1 : 0);
    assert.equal(audit.refusalCount, row.status === 409 ? 1 : 0);
  });
}

test('order: a release ordered by a replaced holder of a shard is refused, for that shard only', async () => {
  const orderVerifier = new OrderVerifier({
    audit: new DutyAudit(() => 0),
    tokensRequired: () => true,
    enforceFencing: true,
  });
  orderVerifier.noteClaim('1', CLAIM_REVISION);
  const requests = peerRequestsWith(orderVerifier);
  const statusOf = async (shardId: number, token: number): Promise<number | undefined> =>
    (await requests.answer('/return', { machines: ['i-1'], share: shardId, token }))?.status;
  assert.equal(await statusOf(1, CLAIM_REVISION - 1), 409);
  assert.equal(await statusOf(1, CLAIM_REVISION), 200);
  assert.equal(await statusOf(2, 1), 200);
  assert.equal(await requests.answer('/nothing', {}), null);
});
