/** Heartbeats between two nodes on a virtual clock: how many exchanges, and whether each stays recent. */
import assert from 'node:assert/strict';
import { mock, test } from 'node:test';
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import type { CallOutcome, ServerResponse } from '../http/model.js';
import { heartbeatFrom } from '../testing/peer-heartbeats.js';
import { PeerNetwork } from './network.js';

const answerOf = (reply: ServerResponse): CallOutcome => ({
  _tag: 'response',
  status: reply.status,
  body: reply.body,
});

interface Row {
  readonly name: string;
  /** Nodes whose calls are refused. */
  readonly refused: readonly string[];
  /** Does node b notify the leader, node a, every 400 ms? */
  readonly notifies: boolean;
  readonly exchanges: readonly [least: number, most: number];
}
const rows: readonly Row[] = [
  // An answer to a heartbeat is a heartbeat too: were both to begin, each would receive everything twice.
  { name: 'one exchange an interval serves both nodes', refused: [], notifies: false, exchanges: [18, 22] },
  {
    name: 'the second node begins where calls of the first are refused',
    refused: ['a'],
    notifies: false,
    exchanges: [13, 22],
  },
  {
    name: 'the first node begins where calls of the second are refused',
    refused: ['b'],
    notifies: false,
    exchanges: [18, 22],
  },
  {
    name: 'a notification of the leader does not wait for the interval',
    refused: [],
    notifies: true,
    exchanges: [40, 70],
  },
];
for (const row of rows) {
  test(`heartbeat exchange: ${row.name}`, async () => {
    mock.timers.enable({ apis: ['setTimeout', 'Date', 'setInterval'] });
    try {
      const networks = new Map<string, PeerNetwork>();
      let exchanges = 0;
      const make = (me: string, other: string): PeerNetwork =>
        new PeerNetwork({
          ownNode: me,
          peers: [{ node: other, endpoint: `${other}:1` }],
          heartbeat: () => heartbeatFrom(me),
          leader: () => 'a',
          now: () => Date.now(),
          answer: () => Promise.resolve(null),
          createHttpClient: () => ({
            request: async (method, path, body) => {
              if (row.refused.includes(me)) return { _tag: 'noResponse', why: 'refused' };
              exchanges += 1;
              const target = networks.get(other);
              assert.ok(target);
              return answerOf(
                await target.handle({ method, path, query: '', body: { _tag: 'value', value: body } }),
              );
            },
          }),
        });
      networks.set('a', make('a', 'b'));
      networks.set('b', make('b', 'a'));
      const fibers = [...networks.values()].map((network) => Effect.runFork(network.run));
      let stale = 0;
      for (let at = 0; at < 20_000; at += 20) {
        for (let k = 0; k < 6; k += 1) await new Promise((resolve) => setImmediate(resolve));
        mock.timers.tick(20);
        if (row.notifies && at % 400 === 0) networks.get('b')?.notifyLeader();
        if (
          at > 2_000 &&
          (!networks.get('a')?.view.recentHeartbeat('b') || !networks.get('b')?.view.recentHeartbeat('a'))
        )
          stale += 1;
      }
      assert.equal(stale, 0, 'both heartbeats stay recent');
      assert.ok(exchanges >= row.exchanges[0] && exchanges <= row.exchanges[1], `${exchanges} exchanges`);
      for (const fiber of fibers) Effect.runFork(Fiber.interrupt(fiber));
    } finally {
      mock.timers.reset();
    }
  });
}
