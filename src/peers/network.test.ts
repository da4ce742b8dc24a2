/**
 * Exchanges of heartbeats between two controllers on a virtual clock: their number, and whether each
 * controller's heartbeat stays recent.
 */
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
  /** Controllers whose requests are refused. */
  readonly refused: readonly string[];
  /** Whether controller `b` notifies the leader, controller `a`, every 400 ms. */
  readonly notifies: boolean;
  readonly exchanges: readonly [least: number, most: number];
}
const rows: readonly Row[] = [
  // The answer to a heartbeat is a heartbeat too: if both began exchanges, each would receive everything
  // twice.
  {
    name: 'one exchange per interval serves both controllers',
    refused: [],
    notifies: false,
    exchanges: [18, 22],
  },
  {
    name: 'the second controller begins exchanges when requests of the first are refused',
    refused: ['a'],
    notifies: false,
    exchanges: [13, 22],
  },
  {
    name: 'the first controller begins exchanges when requests of the second are refused',
    refused: ['b'],
    notifies: false,
    exchanges: [18, 22],
  },
  {
    name: 'a notification of the leader is sent before the interval ends',
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
      const createNetwork = (ownNode: string, other: string): PeerNetwork =>
        new PeerNetwork({
          ownNode,
          peers: [{ node: other, endpoint: `${other}:1` }],
          heartbeat: () => heartbeatFrom(ownNode),
          leader: () => 'a',
          now: () => Date.now(),
          answer: () => Promise.resolve(null),
          createHttpClient: () => ({
            request: async (method, path, body) => {
              if (row.refused.includes(ownNode)) return { _tag: 'noResponse', why: 'refused' };
              exchanges += 1;
              const target = networks.get(other);
              assert.ok(target);
              return answerOf(
                await target.handle({ method, path, query: '', body: { _tag: 'value', value: body } }),
              );
            },
          }),
        });
      networks.set('a', createNetwork('a', 'b'));
      networks.set('b', createNetwork('b', 'a'));
      const fibers = [...networks.values()].map((network) => Effect.runFork(network.run));
      let staleSamples = 0;
      for (let at = 0; at < 20_000; at += 20) {
        for (let k = 0; k < 6; k += 1) await new Promise((resolve) => setImmediate(resolve));
        mock.timers.tick(20);
        if (row.notifies && at % 400 === 0) networks.get('b')?.notifyLeader();
        if (
          at > 2_000 &&
          (!networks.get('a')?.view.recentHeartbeat('b') || !networks.get('b')?.view.recentHeartbeat('a'))
        )
          staleSamples += 1;
      }
      assert.equal(staleSamples, 0, 'both heartbeats stay recent');
      assert.ok(exchanges >= row.exchanges[0] && exchanges <= row.exchanges[1], `${exchanges} exchanges`);
      for (const fiber of fibers) Effect.runFork(Fiber.interrupt(fiber));
    } finally {
      mock.timers.reset();
    }
  });
}
