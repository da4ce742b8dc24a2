import assert from 'node:assert/strict';
import { mock, test } from 'node:test';
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import type { CallOutcome, ServerResponse } from '../http.js';
import type { PeerHeartbeat } from './heartbeat.js';
import { PeerNetwork } from './network.js';

/** Heartbeats between two nodes on a virtual clock: how many exchanges, and how fresh each stays. */
const beatOf = (from: string): PeerHeartbeat => ({
  from,
  incarnation: '1',
  lease: 1,
  storeSilenceMs: 0,
  summaries: [],
  counts: [],
  workersUnreachable: false,
  misroutedHeartbeats: {},
  demand: { requests: 0, changes: 0 },
  reservations: [],
});
const answerOf = (reply: ServerResponse): CallOutcome => ({
  _tag: 'response',
  status: reply.status,
  body: reply.body,
});

interface Row {
  readonly name: string;
  /** Nodes whose calls are refused. */
  readonly refused: readonly string[];
  readonly hurries: boolean;
  readonly exchanges: readonly [least: number, most: number];
}
const rows: readonly Row[] = [
  // An answer to a heartbeat is a heartbeat too: were both to begin, each would hear everything twice.
  { name: 'one exchange a beat does for both', refused: [], hurries: false, exchanges: [18, 22] },
  {
    name: 'the other begins where the first is refused',
    refused: ['a'],
    hurries: false,
    exchanges: [13, 22],
  },
  { name: 'and the other way round', refused: ['b'], hurries: false, exchanges: [18, 22] },
  { name: 'what is new does not wait for the beat', refused: [], hurries: true, exchanges: [40, 70] },
];
for (const row of rows) {
  test(`mesh: ${row.name}`, async () => {
    mock.timers.enable({ apis: ['setTimeout', 'Date', 'setInterval'] });
    try {
      const meshes = new Map<string, PeerNetwork>();
      let exchanges = 0;
      const make = (me: string, other: string): PeerNetwork =>
        new PeerNetwork({
          me,
          peers: [{ host_name: other, endpoint: `${other}:1` }],
          heartbeat: () => beatOf(me),
          leader: () => 'a',
          now: () => Date.now(),
          answer: () => Promise.resolve(null),
          createHttpClient: () => ({
            request: async (method, path, body) => {
              if (row.refused.includes(me)) return { _tag: 'noResponse', why: 'refused' };
              exchanges += 1;
              const target = meshes.get(other);
              assert.ok(target);
              return answerOf(
                await target.handle({ method, path, query: '', body: { _tag: 'value', value: body } }),
              );
            },
          }),
        });
      meshes.set('a', make('a', 'b'));
      meshes.set('b', make('b', 'a'));
      const fibers = [...meshes.values()].map((mesh) => Effect.runFork(mesh.run));
      let stale = 0;
      for (let at = 0; at < 20_000; at += 20) {
        for (let k = 0; k < 6; k += 1) await new Promise((resolve) => setImmediate(resolve));
        mock.timers.tick(20);
        if (row.hurries && at % 400 === 0) meshes.get('b')?.notifyLeader();
        if (at > 2_000 && (!meshes.get('a')?.fresh('b') || !meshes.get('b')?.fresh('a'))) stale += 1;
      }
      assert.equal(stale, 0, 'both stay fresh');
      assert.ok(exchanges >= row.exchanges[0] && exchanges <= row.exchanges[1], `${exchanges} exchanges`);
      for (const fiber of fibers) Effect.runFork(Fiber.interrupt(fiber));
    } finally {
      mock.timers.reset();
    }
  });
}
