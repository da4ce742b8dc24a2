/** The exact texts of the administration API's answers, which must not change with names in the code. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { tokenOf } from '@dalegate/fencing';
import { readDuties, writeDuties, writeDutiesOverview } from './admin-codec.js';
import type { DutiesReport, DutyReport } from './duties-report.js';

const duty: DutyReport = {
  duty: 'move',
  claim: 'L',
  state: 'held',
  open: 1,
  holder: {
    claim: 'L',
    token: tokenOf(40),
    node: 'n0',
    process: 'n0.1',
    from: 5,
    to: null,
    ended: null,
  },
  history: [
    {
      claim: 'L',
      token: tokenOf(7),
      node: 'n2',
      process: 'n2.3',
      from: 1,
      to: 4,
      ended: 'lease ended',
    },
  ],
  effects: [{ name: 'order to the holder of a share', fence: 'receiver', late: 'refused' }],
  refused: [
    {
      duty: 'move',
      claim: 'L',
      effect: 'order to the holder of a share',
      token: tokenOf(7),
      reason: 'stale order',
      at: 6,
    },
  ],
};
const DUTY =
  '{"duty":"move","claim":"L","state":"held","open":1,' +
  '"holder":{"claim":"L","token":40,"node":"n0","process":"n0.1","from":5,"to":null,"ended":null},' +
  '"history":[{"claim":"L","token":7,"node":"n2","process":"n2.3","from":1,"to":4,"ended":"lease ended"}],' +
  '"effects":[{"name":"order to the holder of a share","fence":"receiver","late":"refused"}],' +
  '"refused":[{"duty":"move","claim":"L","effect":"order to the holder of a share","token":7,' +
  '"reason":"stale order","at":6}]}';
const idle: DutyReport = {
  ...duty,
  state: 'idle',
  open: 0,
  holder: null,
  history: [],
  effects: [],
  refused: [],
};
const IDLE =
  '{"duty":"move","claim":"L","state":"idle","open":0,"holder":null,"history":[],"effects":[],"refused":[]}';

const overview: DutiesReport = {
  node: 'n0',
  duties: [duty],
  provisioning: {
    open: [{ name: 'r-40-1', machineType: 'g8', zone: 'a', spot: true, shardIds: [0, 1], at: 2 }],
    settled: [{ name: 'r-39-1', outcome: 'no capacity', machines: 0, at: 3 }],
    malformed: [{ n: 5 }],
  },
  releaseIntents: [
    { machine: 'i-9', shardId: 1, reason: 'idle', token: 12 },
    { machine: 'i-8', shardId: 0, reason: null, token: null },
  ],
  refusedSinceStart: 4,
};
const OVERVIEW =
  `{"node":"n0","duties":[${DUTY}],` +
  '"openRentals":[{"name":"r-40-1","machineType":"g8","zone":"a","spot":true,"shares":[0,1],"at":2}],' +
  '"settledRentals":[{"name":"r-39-1","outcome":"no capacity","machines":0,"at":3}],' +
  '"malformedIntents":[{"n":5}],' +
  '"releaseIntents":[{"machine":"i-9","share":1,"reason":"idle","token":12},' +
  '{"machine":"i-8","share":0,"reason":null,"token":null}],"refusedSinceStart":4}';
const unanswered: DutiesReport = {
  ...overview,
  duties: [],
  provisioning: null,
  releaseIntents: [],
};
const UNANSWERED =
  '{"node":"n0","duties":[],"openRentals":null,"settledRentals":null,"malformedIntents":null,' +
  '"releaseIntents":[],"refusedSinceStart":4}';

const rows: readonly { readonly name: string; readonly written: unknown; readonly text: string }[] = [
  { name: 'all duties', written: writeDutiesOverview(overview), text: OVERVIEW },
  {
    name: 'while the key-value store does not answer',
    written: writeDutiesOverview(unanswered),
    text: UNANSWERED,
  },
  { name: 'one duty', written: writeDuties('n0', [duty]), text: `{"node":"n0","duties":[${DUTY}]}` },
  {
    name: 'a duty without a holder',
    written: writeDuties('n0', [idle]),
    text: `{"node":"n0","duties":[${IDLE}]}`,
  },
];
for (const row of rows) {
  test(`duties codec: ${row.name}`, () => {
    assert.equal(JSON.stringify(row.written), row.text);
    assert.deepEqual(readDuties(row.text), JSON.parse(row.text));
  });
}

const states: readonly DutyReport['state'][] = ['idle', 'acquiring', 'held', 'draining', 'lost'];
for (const state of states) {
  test(`duties codec: the state "${state}" is written as this word`, () =>
    assert.equal(writeDuties('n0', [{ ...duty, state }]).duties[0]?.state, state));
}
