/**
 * Tests that orders and their answers convert to and from their exact wire form. The expected texts must not
 * change when names in the code change.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as codec from './order-codec.js';
import type { TransferOrder, ReleaseOrder } from './orders.js';

const transferOrder: TransferOrder = {
  from: 2,
  transfers: [
    { machine: 'i-1', to: 0 },
    { machine: 'i-2', to: 1 },
  ],
};
const releaseOrder: ReleaseOrder = { machines: ['i-1', 'i-2'], shardId: 2 };

const written: readonly { readonly name: string; readonly value: unknown; readonly text: string }[] = [
  {
    name: 'an order to transfer machines',
    value: codec.writeTransferOrder(transferOrder, 40),
    text: '{"moves":[{"machine":"i-1","to":0},{"machine":"i-2","to":1}],"from":2,"token":40}',
  },
  {
    name: 'an order to release machines',
    value: codec.writeReleaseOrder(releaseOrder, 41),
    text: '{"machines":["i-1","i-2"],"share":2,"token":41}',
  },
  { name: 'the answer to a transfer', value: codec.writeTransferAnswer(true), text: '{"moved":true}' },
  { name: 'the answer to a release', value: codec.writeReleaseAnswer(false), text: '{"returned":false}' },
  {
    name: 'the answer to a malformed token',
    value: codec.writeMalformedOrder('token', 'token must be an integer'),
    text: '{"error":"token must be an integer","field":"token"}',
  },
  {
    name: 'the answer to a replaced holder',
    value: codec.writeStaleOrder(40),
    text: '{"error":"a later holder is known","token":40}',
  },
];
for (const row of written) {
  test(`order codec: ${row.name}`, () => assert.equal(JSON.stringify(row.value), row.text));
}

const read: readonly {
  readonly name: string;
  readonly text: string;
  readonly read: (body: unknown) => unknown;
  readonly decoded: unknown;
}[] = [
  {
    name: 'an order to transfer machines',
    text: '{"moves":[{"machine":"i-1","to":0},{"machine":"i-2","to":1}],"from":2,"token":40}',
    read: codec.readTransferOrder,
    decoded: transferOrder,
  },
  {
    name: 'an order to transfer machines with fields of a later version',
    text: '{"moves":[{"machine":"i-1","to":0,"later":1},{"machine":"i-2","to":1}],"from":2,"later":1}',
    read: codec.readTransferOrder,
    decoded: transferOrder,
  },
  {
    name: 'an order to release machines',
    text: '{"machines":["i-1","i-2"],"share":2,"token":41,"later":1}',
    read: codec.readReleaseOrder,
    decoded: releaseOrder,
  },
  {
    name: 'an order to release machines of an earlier version',
    text: '{"machines":["i-1"]}',
    read: codec.readReleaseOrder,
    decoded: { machines: ['i-1'] } satisfies ReleaseOrder,
  },
  { name: 'a token', text: '{"token":40}', read: codec.readOrderToken, decoded: 40 },
  { name: 'a malformed token, unchecked', text: '{"token":"40"}', read: codec.readOrderToken, decoded: '40' },
  {
    name: 'no token, of an earlier version',
    text: '{"from":1}',
    read: codec.readOrderToken,
    decoded: undefined,
  },
  {
    name: 'that machines are released',
    text: '{"returned":true}',
    read: codec.readReleaseAnswer,
    decoded: true,
  },
  {
    name: 'that machines are not released',
    text: '{"returned":false}',
    read: codec.readReleaseAnswer,
    decoded: false,
  },
  {
    name: 'an answer that is not a boolean',
    text: '{"returned":1}',
    read: codec.readReleaseAnswer,
    decoded: false,
  },
  { name: 'an answer without the field', text: '{}', read: codec.readReleaseAnswer, decoded: false },
  { name: 'no answer', text: 'null', read: codec.readReleaseAnswer, decoded: false },
];
for (const row of read) {
  test(`order codec: reads ${row.name}`, () => assert.deepEqual(row.read(JSON.parse(row.text)), row.decoded));
}
